package keys

import (
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const listSuffix = ".crl"

// RevocationListFile returns the path of an authority's revocation list in the folder.
func RevocationListFile(folder, authority string) string {
	return filepath.Join(folder, authority+listSuffix)
}

// Revocation holds the parameters of Revoke.
type Revocation struct {
	// Folder is a folder that Initialise created.
	Folder string
	// Files are the files of the certificates to revoke.
	Files []string
	Now   time.Time
	// Valid is the time from Now after which a newer list is due.
	Valid time.Duration
}

// Revoke adds the certificates to the revocation lists of their authorities in the folder and
// returns the paths of the files that it wrote. If one of the certificates can't be revoked, it
// changes nothing and the error is of type *Error.
func Revoke(r Revocation) ([]string, error) {
	added := make(map[string][]*big.Int)
	var names []string
	for _, file := range r.Files {
		certs, err := ReadCertificates(file)
		if err != nil {
			return nil, err
		}
		name, err := issuerIn(r.Folder, file, certs[0])
		if err != nil {
			return nil, err
		}
		if added[name] == nil {
			names = append(names, name)
		}
		added[name] = append(added[name], certs[0].SerialNumber)
	}
	written := make(map[string][]byte)
	for _, name := range names {
		list, err := r.extend(name, added[name])
		if err != nil {
			return nil, err
		}
		written[name] = list
	}
	var files []string
	for _, name := range names {
		file := RevocationListFile(r.Folder, name)
		if err := replaceFile(file, written[name]); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

// issuerIn returns the name of the folder's authority that signed the certificate.
func issuerIn(folder, file string, c *x509.Certificate) (string, error) {
	for _, name := range []string{AuthorityRouters, AuthorityOperators, AuthorityCallers, AuthorityTargets} {
		certs, err := ReadCertificates(CertFile(folder, name))
		if err != nil {
			continue
		}
		if !c.IsCA && c.CheckSignatureFrom(certs[0]) == nil {
			return name, nil
		}
	}
	return "", &Error{file, "none of the authorities in " + folder + " issued it", "name a certificate of this folder; revoke one of another authority with that authority"}
}

// extend returns the authority's next list in PEM.
func (r *Revocation) extend(name string, serials []*big.Int) ([]byte, error) {
	authority, err := openAuthority(r.Folder, name)
	if err != nil {
		return nil, err
	}
	number := new(big.Int)
	var entries []x509.RevocationListEntry
	file := RevocationListFile(r.Folder, name)
	if _, err := os.Stat(file); err == nil {
		m := &Material{authorities: []*x509.Certificate{authority.cert}}
		if err := m.loadRevocations(&Files{CA: CertFile(r.Folder, name), CRL: file}, nil); err != nil {
			return nil, err
		}
		old := m.revoked[string(authority.cert.RawSubjectPublicKeyInfo)]
		number, entries = old.Number, old.RevokedCertificateEntries
	}
	for _, serial := range serials {
		if !listed(entries, serial) {
			entries = append(entries, x509.RevocationListEntry{SerialNumber: serial, RevocationTime: r.Now})
		}
	}
	return authority.SignRevocationList(new(big.Int).Add(number, big.NewInt(1)), entries, r.Now, r.Valid)
}

func listed(entries []x509.RevocationListEntry, serial *big.Int) bool {
	for i := range entries {
		if entries[i].SerialNumber.Cmp(serial) == 0 {
			return true
		}
	}
	return false
}

// SignRevocationList returns a signed revocation list in PEM, whose successor is due at the duration valid
// after now.
func (a *Authority) SignRevocationList(number *big.Int, entries []x509.RevocationListEntry, now time.Time, valid time.Duration) ([]byte, error) {
	der, err := x509.CreateRevocationList(rand.Reader, &x509.RevocationList{
		Number: number, ThisUpdate: now, NextUpdate: now.Add(valid), RevokedCertificateEntries: entries,
	}, a.cert, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "sign a revocation list")
	}
	return pem.EncodeToMemory(&pem.Block{Type: blockRevocations, Bytes: der}), nil
}

// openAuthority reads an authority that Initialise created.
func openAuthority(folder, name string) (*Authority, error) {
	certs, err := ReadCertificates(CertFile(folder, name))
	if err != nil {
		return nil, err
	}
	key, err := ReadKey(KeyFile(folder, name))
	if err != nil {
		return nil, err
	}
	if !Matches(certs[0], key) {
		return nil, &Error{KeyFile(folder, name), "the key is not that of the authority", "put the authority's own key beside it"}
	}
	return &Authority{certs[0], key}, nil
}

// replaceFile replaces the file's content atomically. Otherwise a router could read a partly
// written file: it would refuse to load it, and a restart at that moment would fail.
func replaceFile(file string, data []byte) error {
	next, err := os.CreateTemp(filepath.Dir(file), "."+strings.TrimSuffix(filepath.Base(file), listSuffix)+"-*")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.Remove(next.Name())
	_, err = next.Write(data)
	if closeErr := next.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(next.Name(), certMode)
	}
	if err == nil {
		err = os.Rename(next.Name(), file)
	}
	return errors.Wrap(err, fmt.Sprintf("write %s", file))
}
