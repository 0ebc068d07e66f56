package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// revoke adds certificates of the folder to their authorities' revocation lists.
func revoke(t *testing.T, dir string, names ...string) {
	t.Helper()
	r := Revocation{Folder: dir, Now: start, Valid: valid}
	for _, name := range names {
		r.Files = append(r.Files, CertFile(dir, name))
	}
	_, err := Revoke(r)
	assert.NilError(t, err)
}

func certificates(t *testing.T, dir, name string) []*x509.Certificate {
	t.Helper()
	certs, err := ReadCertificates(CertFile(dir, name))
	assert.NilError(t, err)
	return certs
}

// forgedList returns a list that names the routers' authority as its issuer but is signed with
// another key.
func forgedList(t *testing.T, dir string) string {
	t.Helper()
	other, _, err := NewAuthority(AuthorityRouters, start, valid)
	assert.NilError(t, err)
	other.cert = certificates(t, dir, AuthorityRouters)[0]
	list := &x509.RevocationList{Number: big.NewInt(99), ThisUpdate: start, NextUpdate: start.Add(valid)}
	issuer := *other.cert
	issuer.PublicKey = other.key.Public()
	der, err := x509.CreateRevocationList(nil, list, &issuer, other.key)
	assert.NilError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: blockRevocations, Bytes: der}))
}

// TestRefusedListFileKeepsTheListInForce guards against a revoked certificate being accepted
// again after the file of the list in force is replaced by one that is damaged, forged, older
// or of another authority. New lists must be checked against those in force.
func TestRefusedListFileKeepsTheListInForce(t *testing.T) {
	dir := makeFolder(t)
	f := peerFiles(dir, "r1")
	f.CRL = RevocationListFile(dir, AuthorityRouters)
	first := read(t, f.CRL)
	revoke(t, dir, "r2")
	good := read(t, f.CRL)
	s := newWatchedSource(t, f)
	a, err := openAuthority(dir, AuthorityRouters)
	assert.NilError(t, err)
	same, err := a.SignRevocationList(big.NewInt(2), nil, start, valid)
	assert.NilError(t, err)
	refused := func(err error) bool { var r *RevokedError; return errors.As(err, &r) && r.Name == "r2" }
	at := start
	for name, tc := range map[string]struct{ list, want string }{
		"older":               {first, "has the number 1, and 2 is in force"},
		"same number":         {string(same), "has the same number 2 as the one in force but a different content"},
		"empty":               {"", "holds no revocation list"},
		"cut short":           {good[:len(good)/2], "truncated PEM block"},
		"followed by another": {good + good, "two lists"},
		"a certificate":       {read(t, f.Cert), "holds a block CERTIFICATE"},
		"damaged":             {strings.Replace(good, "-----\nM", "-----\nA", 1), "can't be read"},
		"not signed by it":    {forgedList(t, dir), "not signed by"},
		"another authority's": {read(t, RevocationListFile(dir, AuthorityTargets)), "no revocation list of an authority"},
	} {
		at = at.Add(time.Minute)
		replaceFileAt(t, f.CRL, tc.list, at)
		assert.DeepEqual(t, s.checkOnce(false), []Change{Refused})
		assert.ErrorContains(t, s.Failure(), tc.want, name)
		assert.Assert(t, refused(s.Verify(certificates(t, dir, "r2"))), name)
		assert.NilError(t, s.Verify(certificates(t, dir, "r1")), name)
		replaceFileAt(t, f.CRL, good, at.Add(time.Second))
		s.checkOnce(false)
		assert.NilError(t, s.Failure())
	}
	revoke(t, dir, "r1")
	// The revocation of the source's own certificate is in force as well, and a restart would
	// fail.
	assert.DeepEqual(t, s.checkOnce(false), []Change{Reloaded, Revoked})
	_, err = Open(f, func() time.Time { return start })
	assert.ErrorContains(t, err, "is revoked by list 3")
	assert.Assert(t, refused(s.Verify(certificates(t, dir, "r2"))))
	assert.ErrorContains(t, s.Accepts(&tls.ConnectionState{PeerCertificates: certificates(t, dir, "r1")}), "is revoked by list 3")
	assert.Equal(t, s.Material().RevokedCount(), 2)
	// An overdue list stays in force and is reported once.
	s.now = start.Add(valid + time.Second)
	assert.DeepEqual(t, s.checkOnce(false), []Change{Expired, ListOverdue})
	assert.Equal(t, len(s.checkOnce(false)), 0)
}

// TestListOfARemovedAuthorityIsIgnored checks that a list may stay in its file after its
// authority was removed, as happens while an authority is replaced.
func TestListOfARemovedAuthorityIsIgnored(t *testing.T) {
	dir, next := makeFolder(t), makeFolder(t)
	f := Files{Table: "tls.operator", CA: CertFile(dir, AuthorityOperators), CRL: RevocationListFile(dir, AuthorityOperators)}
	s := newWatchedSource(t, f)
	for i, file := range []struct{ name, text string }{
		{f.CA, read(t, f.CA) + read(t, CertFile(next, AuthorityOperators))},
		{f.CRL, read(t, f.CRL) + read(t, RevocationListFile(next, AuthorityOperators))},
		{f.CA, read(t, CertFile(next, AuthorityOperators))},
		{f.CRL, read(t, RevocationListFile(next, AuthorityOperators))},
	} {
		replaceFileAt(t, file.name, file.text, start.Add(time.Duration(i+1)*time.Minute))
		assert.DeepEqual(t, s.checkOnce(false), []Change{Reloaded})
	}
}

// TestHandshakesRefuseRevokedCertificates checks that both sides of a handshake refuse a revoked
// certificate of the other side.
func TestHandshakesRefuseRevokedCertificates(t *testing.T) {
	dir := makeFolder(t)
	open := func(name string, list bool) *Source {
		f := peerFiles(dir, name)
		if list {
			f.CRL = RevocationListFile(dir, AuthorityRouters)
		}
		s, err := Open(f, func() time.Time { return start })
		assert.NilError(t, err)
		return s
	}
	revoke(t, dir, "r2")
	for _, check := range []bool{false, true} {
		r1, r2 := open("r1", check), open("r2", false)
		assert.Equal(t, handshake(t, r1.MutualTLS(tls.RequireAndVerifyClientCert), r2.ClientTLS("r1")) != nil, check)
		assert.Equal(t, handshake(t, r2.MutualTLS(tls.RequireAndVerifyClientCert), r1.ClientTLS("r2")) != nil, check)
	}
}

// handshake returns the error of either side that wraps a *RevokedError, or nil.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	now := func() time.Time { return start }
	server.Time, client.Time = now, now
	inner := server.GetConfigForClient
	server.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		cfg, err := inner(h)
		cfg.Time = now
		return cfg, err
	}
	serverConn, clientConn := net.Pipe()
	defer serverConn.Close()
	defer clientConn.Close()
	accepting, dialling := tls.Server(serverConn, server), tls.Client(clientConn, client)
	done := make(chan error, 1)
	go func() { done <- accepting.Handshake(); serverConn.Close() }()
	err := dialling.Handshake()
	clientConn.Close()
	for _, err := range []error{err, <-done} {
		var r *RevokedError
		if errors.As(err, &r) {
			return err
		}
	}
	return nil
}

func TestRevokeChangesNothingIfOneCertificateCannotBeRevoked(t *testing.T) {
	dir := makeFolder(t)
	before := read(t, RevocationListFile(dir, AuthorityRouters))
	for file, want := range map[string]string{
		CertFile(makeFolder(t), "r2"):   "none of the authorities",
		CertFile(dir, AuthorityRouters): "none of the authorities",
		filepath.Join(dir, "none"):      "no such file",
	} {
		_, err := Revoke(Revocation{Folder: dir, Files: []string{CertFile(dir, "r1"), file}, Now: start, Valid: valid})
		assert.ErrorContains(t, err, want)
	}
	assert.Equal(t, read(t, RevocationListFile(dir, AuthorityRouters)), before)
}
