package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Authority issues certificates for development and tests. Production systems use their
// organisation's own certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// serialBits is the length in bits of a random serial number, below the limit of 20 bytes in
// RFC 5280.
const serialBits = 127

// notBeforeMargin is how long before it is issued a certificate becomes valid, so that VMs
// whose clocks are behind accept it.
const notBeforeMargin = 5 * time.Minute

// Pair is a certificate and its private key in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Subject describes the holder of a certificate to be issued.
type Subject struct {
	// Name is the common name.
	Name string
	// DNS adds Name to the certificate's DNS names.
	DNS  bool
	Role Role
	// Hosts are further DNS names and IP addresses.
	Hosts []string
	Use   Use
}

// NewAuthority generates an authority whose certificate expires at the duration valid after
// now.
func NewAuthority(name string, now time.Time, valid time.Duration) (*Authority, *Pair, error) {
	template, err := newTemplate(pkix.Name{CommonName: name}, now, valid)
	if err != nil {
		return nil, nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := newKey()
	if err != nil {
		return nil, nil, err
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, nil, err
	}
	certs, err := parseCertificates(name, pair.Cert)
	if err != nil {
		return nil, nil, err
	}
	return &Authority{certs[0], key}, pair, nil
}

// Issue generates a private key and issues a certificate for it.
func (a *Authority) Issue(s Subject, now time.Time, valid time.Duration) (*Pair, error) {
	subject := pkix.Name{CommonName: s.Name}
	if s.Role != RoleNone {
		subject.OrganizationalUnit = []string{string(s.Role)}
	}
	template, err := newTemplate(subject, now, valid)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = s.Use.usages()
	if s.DNS {
		template.DNSNames = append(template.DNSNames, s.Name)
	}
	for _, host := range s.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, host)
		}
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	return sign(template, a.cert, key, a.key)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "generate a private key")
}

func newTemplate(subject pkix.Name, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: subject, NotBefore: now.Add(-notBeforeMargin), NotAfter: now.Add(valid),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey crypto.Signer) (*Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return nil, errors.Wrap(err, "sign a certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode a private key")
	}
	return &Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: blockKeySuffix, Bytes: raw}),
	}, nil
}
