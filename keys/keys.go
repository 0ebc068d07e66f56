// Package keys loads the certificates, private keys and authorities that the settings name,
// checks them, and reloads them without closing connections.
//
// A Source is one set of files. Its TLS configurations read the material in force through an
// atomic pointer at each handshake, so that a reload affects only new connections.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"
)

// Error is a problem with a file.
type Error struct {
	File string
	// Text says what is wrong, and Fix how to correct it.
	Text string
	Fix  string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s; %s", e.File, e.Text, e.Fix) }

// Use is the purpose for which a certificate is presented.
type Use int

// The uses.
const (
	// Server is for listeners, Client for outgoing connections, and Both for routers.
	Server Use = iota
	Client
	Both
)

func (u Use) usages() []x509.ExtKeyUsage {
	switch u {
	case Server:
		return []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	case Client:
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	default:
		return []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
}

// Files names a set of PEM files and the conditions that they must meet.
type Files struct {
	// Table is the table of the settings that names the files.
	Table string
	// Cert and Key are empty if no certificate is presented to peers; CA is empty if peers'
	// certificates are not checked.
	Cert string
	Key  string
	CA   string
	// CRL holds revocation lists of the authorities in CA; empty if there are none.
	CRL string
	// Use is the purpose of the certificate in Cert.
	Use Use
	// Name is a name that the certificate must be valid for; empty allows any.
	Name string
	// Role is a role that the certificate must carry; empty allows any.
	Role Role
	// IssuedByCA requires that an authority in CA issued the certificate.
	IssuedByCA bool
}

// Material is the checked content of a set of files, ready for handshakes. It is immutable.
type Material struct {
	cert  *tls.Certificate
	roots *x509.CertPool
	// authorities are the certificates in roots.
	authorities []*x509.Certificate
	revoked     revocations
	// ownRevoked is not nil if the certificate in cert is itself revoked.
	ownRevoked error
	// expiry is the earliest expiry of all certificates, and expiryFile the file with that
	// certificate.
	expiry     time.Time
	expiryFile string
	// server is the base of the configurations that Source.MutualTLS uses.
	server *tls.Config
	client *tls.Config
}

// Expiry returns the earliest expiry of the certificates, and the file with that certificate.
func (m *Material) Expiry() (time.Time, string) { return m.expiry, m.expiryFile }

// noteExpiry lowers m.expiry to t, the expiry of a certificate in the file, if t is earlier.
func (m *Material) noteExpiry(t time.Time, file string) {
	if m.expiryFile == "" || t.Before(m.expiry) {
		m.expiry, m.expiryFile = t, file
	}
}

// Load reads and checks the files. The error is of type *Error.
func Load(f Files, now time.Time) (*Material, error) { return load(f, now, nil) }

// load reads and checks the files. Their revocation lists must not be older than those of
// before, the material in force, which may be nil.
func load(f Files, now time.Time, before *Material) (*Material, error) {
	m := &Material{}
	if f.CA != "" {
		if err := m.loadAuthorities(f.CA, now); err != nil {
			return nil, err
		}
	}
	if f.CRL != "" {
		if err := m.loadRevocations(&f, before); err != nil {
			return nil, err
		}
	}
	if f.Cert != "" {
		if err := m.loadCertificate(&f, now); err != nil {
			return nil, err
		}
	}
	m.build()
	return m, nil
}

func (m *Material) loadAuthorities(file string, now time.Time) error {
	certs, err := ReadCertificates(file)
	if err != nil {
		return err
	}
	m.roots, m.authorities = x509.NewCertPool(), certs
	var latest *x509.Certificate
	for _, c := range certs {
		if !c.IsCA {
			return &Error{file, fmt.Sprintf("%q is not an authority's certificate", c.Subject.CommonName), "name the file of the authority that signs, not one that it signed"}
		}
		m.roots.AddCert(c)
		if latest == nil || c.NotAfter.After(latest.NotAfter) {
			latest = c
		}
	}
	// While an authority is replaced, the file holds the old and the new one, and the old one
	// may have expired.
	if err := checkTime(file, latest, now); err != nil {
		return err
	}
	m.noteExpiry(latest.NotAfter, file)
	return nil
}

func (m *Material) loadCertificate(f *Files, now time.Time) error {
	certs, err := ReadCertificates(f.Cert)
	if err != nil {
		return err
	}
	key, err := ReadKey(f.Key)
	if err != nil {
		return err
	}
	leaf := certs[0]
	if !Matches(leaf, key) {
		return &Error{f.Key, "the key is not that of the certificate in " + f.Cert, "replace both files together; the router retries loading them"}
	}
	m.cert = &tls.Certificate{PrivateKey: key, Leaf: leaf}
	for _, c := range certs {
		if err := checkTime(f.Cert, c, now); err != nil {
			return err
		}
		m.cert.Certificate = append(m.cert.Certificate, c.Raw)
		m.noteExpiry(c.NotAfter, f.Cert)
	}
	return m.checkPurpose(f, certs, now)
}

// checkPurpose checks that the certificate meets the conditions in f. Otherwise all peers would
// refuse the certificate, which is harder to diagnose than an error at loading.
func (m *Material) checkPurpose(f *Files, certs []*x509.Certificate, now time.Time) error {
	leaf := certs[0]
	for _, usage := range f.Use.usages() {
		if !allowsUsage(leaf, usage) {
			return &Error{f.Cert, "the certificate's extended key usage lacks " + usageNames[usage], "have one issued with it"}
		}
	}
	if f.Role != RoleNone && !HasRole(leaf, f.Role) {
		return &Error{f.Cert, fmt.Sprintf("the certificate lacks the organisational unit %q", f.Role), "have one issued with it"}
	}
	if f.Name != "" && leaf.VerifyHostname(f.Name) != nil {
		return &Error{f.Cert, fmt.Sprintf("the certificate is not valid for the name %q", f.Name), "have one issued with it as a DNS name"}
	}
	if !f.IssuedByCA {
		return nil
	}
	chains, err := m.chains(certs, f.Use.usages()[0], now)
	if err != nil {
		return &Error{f.Cert, fmt.Sprintf("the authority in %s did not issue the certificate: %v", f.CA, err), "add the authority's certificate to the file, or have one issued by it"}
	}
	m.ownRevoked = m.revoked.check(chains)
	return nil
}

var usageNames = map[x509.ExtKeyUsage]string{
	x509.ExtKeyUsageServerAuth: "serverAuth",
	x509.ExtKeyUsageClientAuth: "clientAuth",
}

// allowsUsage reports whether the certificate allows the extended key usage. A certificate that
// names no usage allows all.
func allowsUsage(c *x509.Certificate, usage x509.ExtKeyUsage) bool {
	if len(c.ExtKeyUsage) == 0 && len(c.UnknownExtKeyUsage) == 0 {
		return true
	}
	for _, has := range c.ExtKeyUsage {
		if has == usage || has == x509.ExtKeyUsageAny {
			return true
		}
	}
	return false
}

// verify checks a chain, leaf first, against the authorities and their revocation lists.
func (m *Material) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) error {
	chains, err := m.chains(chain, usage, now)
	if err != nil {
		return err
	}
	return m.revoked.check(chains)
}

// chains verifies a chain, leaf first, and returns the chains to the authorities.
func (m *Material) chains(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) ([][]*x509.Certificate, error) {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	return chain[0].Verify(x509.VerifyOptions{
		Roots: m.roots, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
}

// checkTime checks that the certificate is valid at now.
func checkTime(file string, c *x509.Certificate, now time.Time) error {
	if now.Before(c.NotBefore) {
		return &Error{file, fmt.Sprintf("the certificate %q is valid only from %s", c.Subject.CommonName, c.NotBefore.UTC().Format(time.RFC3339)), "wait until then, or set the VM's clock"}
	}
	if now.After(c.NotAfter) {
		return &Error{file, fmt.Sprintf("the certificate %q ended at %s", c.Subject.CommonName, c.NotAfter.UTC().Format(time.RFC3339)), "have a new one issued"}
	}
	return nil
}
