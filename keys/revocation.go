package keys

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"strings"
	"time"
)

const blockRevocations = "X509 CRL"

// revocations are the revocation lists in force, by the authority's public key. They are not
// kept by certificate, because an authority's certificate may be reissued with the same key.
type revocations map[string]*revocationList

// revocationList is one authority's list. It is immutable.
type revocationList struct {
	*x509.RevocationList
	authority string
	serials   map[string]struct{}
}

// loadRevocations reads the lists of the file and checks them against the authorities and
// against the lists of before, the material in force, which may be nil.
//
// Without the check against the lists in force, a file that was restored from a backup, mixed
// up or truncated would make a revoked certificate valid again; this would be noticed only by
// requests under the revoked name. An authority that was removed from the file of authorities
// no longer needs a list.
func (m *Material) loadRevocations(f *Files, before *Material) error {
	data, err := readFile(f.CRL)
	if err != nil {
		return err
	}
	if err := m.parseRevocations(f, data); err != nil {
		return err
	}
	return m.checkNotOlder(f, before)
}

// parseRevocations sets m.revoked to the lists in data.
func (m *Material) parseRevocations(f *Files, data []byte) error {
	m.revoked = make(revocations)
	for len(bytes.TrimSpace(data)) > 0 {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			return &Error{f.CRL, "the file holds data that is not a PEM block, or a truncated PEM block", rewriteListHint}
		}
		if err := m.addList(f, block); err != nil {
			return err
		}
	}
	if len(m.revoked) == 0 {
		return &Error{f.CRL, "it holds no revocation list of an authority in " + f.CA, rewriteListHint}
	}
	return nil
}

const rewriteListHint = "write the authority's list again as a PEM block X509 CRL"

// addList adds the revocation list in the block to m.revoked.
func (m *Material) addList(f *Files, block *pem.Block) error {
	if block.Type != blockRevocations {
		return &Error{f.CRL, fmt.Sprintf("it holds a block %s", block.Type), rewriteListHint}
	}
	parsed, err := x509.ParseRevocationList(block.Bytes)
	if err != nil {
		return &Error{f.CRL, fmt.Sprintf("list %d can't be read: %v", len(m.revoked)+1, err), rewriteListHint}
	}
	authority := m.issuerOf(parsed)
	if authority == nil {
		// The authority was removed from its file before the list, as while it is replaced.
		return nil
	}
	if err := parsed.CheckSignatureFrom(authority); err != nil {
		return &Error{f.CRL, fmt.Sprintf("the list is not signed by %q, which it names as its issuer: %v", authority.Subject.CommonName, err), rewriteListHint}
	}
	list, err := newRevocationList(f.CRL, parsed, authority)
	if err != nil {
		return err
	}
	key := string(authority.RawSubjectPublicKeyInfo)
	if m.revoked[key] != nil {
		return &Error{f.CRL, fmt.Sprintf("it holds two lists of %q", list.authority), "keep only the one with the higher number"}
	}
	m.revoked[key] = list
	return nil
}

// issuerOf returns the authority that the list names as its issuer, or nil if it is not one of
// m.authorities. It does not check the signature.
func (m *Material) issuerOf(list *x509.RevocationList) *x509.Certificate {
	for _, authority := range m.authorities {
		sameKey := len(list.AuthorityKeyId) == 0 || len(authority.SubjectKeyId) == 0 || bytes.Equal(list.AuthorityKeyId, authority.SubjectKeyId)
		if sameKey && bytes.Equal(list.RawIssuer, authority.RawSubject) {
			return authority
		}
	}
	return nil
}

// newRevocationList returns the authority's list if it is complete and has a number.
func newRevocationList(file string, parsed *x509.RevocationList, authority *x509.Certificate) (*revocationList, error) {
	list := &revocationList{parsed, authority.Subject.CommonName, make(map[string]struct{})}
	if parsed.Number == nil {
		return nil, &Error{file, fmt.Sprintf("the list of %q has no number, so that an older one can't be detected", list.authority), rewriteListHint}
	}
	for _, extension := range parsed.Extensions {
		// A delta list, or a list of only some kinds of certificates, is not complete. Such
		// lists have critical extensions.
		if extension.Critical {
			return nil, &Error{file, fmt.Sprintf("the list of %q has the critical extension %s, which is not supported", list.authority, extension.Id), "have the whole list written, without it"}
		}
	}
	for _, entry := range parsed.RevokedCertificateEntries {
		list.serials[string(entry.SerialNumber.Bytes())] = struct{}{}
	}
	return list, nil
}

// checkNotOlder refuses lists that are older than those in force, and a file that lacks one of
// those in force.
func (m *Material) checkNotOlder(f *Files, before *Material) error {
	if before == nil {
		return nil
	}
	for _, authority := range m.authorities {
		key := authority.RawSubjectPublicKeyInfo
		old, now := before.revoked[string(key)], m.revoked[string(key)]
		switch {
		case old == nil:
		case now == nil:
			return &Error{f.CRL, fmt.Sprintf("the file lacks the list of %q, whose number %s is in force", old.authority, old.Number), "put the list back, or take the authority out of " + f.CA}
		case now.Number.Cmp(old.Number) < 0:
			return &Error{f.CRL, fmt.Sprintf("the list of %q has the number %s, and %s is in force", old.authority, now.Number, old.Number), "put the newest list in place"}
		case now.Number.Cmp(old.Number) == 0 && !bytes.Equal(now.RawTBSRevocationList, old.RawTBSRevocationList):
			return &Error{f.CRL, fmt.Sprintf("the list of %q has the same number %s as the one in force but a different content", old.authority, now.Number), "have it written with a higher number"}
		}
	}
	return nil
}

// RevokedError says that a certificate is in its authority's revocation list.
type RevokedError struct {
	// Name is the certificate's common name.
	Name      string
	Serial    *big.Int
	Authority string
	// Number is the number of the list.
	Number *big.Int
}

// revokedText is part of the text of each RevokedError.
const revokedText = "is revoked by list"

// Error implements error.
func (e *RevokedError) Error() string {
	return fmt.Sprintf("the certificate %q with the serial number %x %s %s of %q", e.Name, e.Serial, revokedText, e.Number, e.Authority)
}

// MentionsRevocation reports whether the text is that of an error that wraps a *RevokedError. It
// is for libraries that pass on only the text of an error.
func MentionsRevocation(text string) bool { return strings.Contains(text, revokedText) }

// check returns an error if every chain has a revoked certificate. The chains must have been
// verified: leaf first, each certificate signed by the next.
func (r revocations) check(chains [][]*x509.Certificate) error {
	if len(r) == 0 {
		return nil
	}
	var found error
	for _, chain := range chains {
		err := r.checkChain(chain)
		if err == nil {
			return nil
		}
		found = err
	}
	return found
}

func (r revocations) checkChain(chain []*x509.Certificate) error {
	for i := 0; i+1 < len(chain); i++ {
		list := r[string(chain[i+1].RawSubjectPublicKeyInfo)]
		if list == nil {
			continue
		}
		if _, revoked := list.serials[string(chain[i].SerialNumber.Bytes())]; revoked {
			return &RevokedError{chain[i].Subject.CommonName, chain[i].SerialNumber, list.authority, list.Number}
		}
	}
	return nil
}

// DescribeRevocationLists describes the revocation lists in force; it is empty if there are none.
func (m *Material) DescribeRevocationLists() string {
	var lists []string
	for _, authority := range m.authorities {
		if list := m.revoked[string(authority.RawSubjectPublicKeyInfo)]; list != nil {
			lists = append(lists, fmt.Sprintf("list %s of %q revokes %d certificates", list.Number, list.authority, len(list.serials)))
		}
	}
	return strings.Join(lists, "; ")
}

// OwnRevoked returns an error if the source's own certificate is revoked, so that peers refuse
// it. The list that revokes it is in force nevertheless.
func (m *Material) OwnRevoked() error { return m.ownRevoked }

// Overdue says which list in force should have been replaced by a newer one; it is empty if
// there is none. An overdue list stays in force, so that no certificate becomes valid or
// invalid because of the list's age.
func (m *Material) Overdue(now time.Time) string {
	for _, list := range m.revoked {
		if !list.NextUpdate.IsZero() && now.After(list.NextUpdate) {
			return fmt.Sprintf("a newer list of %q was due at %s", list.authority, list.NextUpdate.UTC().Format(time.RFC3339))
		}
	}
	return ""
}

// RevokedCount returns the number of certificates that the lists in force revoke.
func (m *Material) RevokedCount() int {
	var count int
	for _, list := range m.revoked {
		count += len(list.serials)
	}
	return count
}

// ReadRevocationLists reads the revocation lists of a PEM file, which must hold at least one. It does not
// check their signatures. The error is of type *Error.
func ReadRevocationLists(file string) ([]*x509.RevocationList, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	var lists []*x509.RevocationList
	for {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			break
		}
		if block.Type != blockRevocations {
			continue
		}
		list, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return nil, &Error{file, fmt.Sprintf("list %d can't be read: %v", len(lists)+1, err), rewriteListHint}
		}
		lists = append(lists, list)
	}
	if len(lists) == 0 {
		return nil, &Error{file, "it holds no revocation list", rewriteListHint}
	}
	return lists, nil
}
