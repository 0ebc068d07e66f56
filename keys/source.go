package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Source is a set of files and the material loaded from it that is in force. It is safe for
// concurrent use.
type Source struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[Material]

	accepted atomic.Pointer[acceptedLeaf]

	// mu guards the rest and lets one reload run at a time.
	mu       sync.Mutex
	versions []fileVersion
	// failure is why the current files are not in force; nil if they are.
	failure error
	// warnedExpiry is the expiry state of the last notice about the material in force.
	warnedExpiry expiryState
	// overdue is the last notice's text about an overdue revocation list; empty if none is
	// overdue.
	overdue string
}

// fileVersion distinguishes the versions of a file without reading its content.
type fileVersion struct {
	changed time.Time
	size    int64
}

// Open loads the files. now is the wall clock; nil means time.Now. The error wraps one of type
// *Error.
func Open(f Files, now func() time.Time) (*Source, error) {
	if now == nil {
		now = time.Now
	}
	s := &Source{files: f, now: now}
	s.versions = s.fileVersions()
	m, err := Load(f, now())
	if err != nil {
		return nil, errors.Wrap(err, f.Table)
	}
	if m.ownRevoked != nil {
		return nil, errors.Wrap(&Error{f.Cert, m.ownRevoked.Error(), "have a new one issued"}, f.Table)
	}
	s.current.Store(m)
	return s, nil
}

// Table returns the settings' table of the files.
func (s *Source) Table() string { return s.files.Table }

// HasRevocationLists reports whether the files name revocation lists.
func (s *Source) HasRevocationLists() bool { return s.files.CRL != "" }

// Material returns the material in force.
func (s *Source) Material() *Material { return s.current.Load() }

// Failure returns why the current files are not in force; nil if they are.
func (s *Source) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Reload loads the files now. If they can't be put in force, it returns an error of type *Error
// and the old material stays in force. It is for programs that don't use a Watcher.
func (s *Source) Reload() error {
	_, err := s.reload(true)
	return err
}

func (s *Source) fileVersions() []fileVersion {
	var versions []fileVersion
	for _, file := range []string{s.files.Cert, s.files.Key, s.files.CA, s.files.CRL} {
		var version fileVersion
		if info, err := os.Stat(file); err == nil {
			version = fileVersion{info.ModTime(), info.Size()}
		}
		versions = append(versions, version)
	}
	return versions
}

// reload loads the files and puts them in force if they changed, if the last load failed, or if
// force is set. It returns whether there is a result to report, and why the files are refused.
// Without force, a failure that equals the last one is not reported again.
//
// The certificate and the key of a pair never change at the same moment. A load between the
// two changes finds a pair that does not match and refuses it, and the old pair stays in force
// until a later load finds both files replaced. The versions are read before the files, so that
// a file that changes while it is read is loaded again.
func (s *Source) reload(force bool) (report bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.fileVersions()
	if !force && s.failure == nil && slices.Equal(versions, s.versions) {
		return false, nil
	}
	m, err := load(s.files, s.now(), s.current.Load())
	repeated := err != nil && s.failure != nil && err.Error() == s.failure.Error()
	s.failure = err
	if err != nil {
		return force || !repeated, err
	}
	s.versions = versions
	s.current.Store(m)
	s.warnedExpiry = notExpiring
	return true, nil
}

// Verify checks the chain that a peer presented against the authorities that are in force now.
// They may differ from those at the connection's handshake.
func (s *Source) Verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.New("no certificate was shown")
	}
	return s.Material().verify(chain, x509.ExtKeyUsageClientAuth, s.now())
}

// Accepts returns an error if the peer's certificate of an open connection is no longer
// accepted. It does not check the certificate's usage, which the handshake checked.
func (s *Source) Accepts(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	m, now, leaf := s.Material(), s.now(), state.PeerCertificates[0]
	if a := s.accepted.Load(); a != nil && a.material == m && a.leaf.Equal(leaf) && !now.After(a.until) {
		return nil
	}
	if err := m.verify(state.PeerCertificates, x509.ExtKeyUsageAny, now); err != nil {
		return err
	}
	a := &acceptedLeaf{m, leaf, leaf.NotAfter}
	for _, c := range state.PeerCertificates {
		if c.NotAfter.Before(a.until) {
			a.until = c.NotAfter
		}
	}
	s.accepted.Store(a)
	return nil
}

// acceptedLeaf caches the last certificate that Accepts verified. After a reload, Accepts is
// called for each open connection, and most of them have the same certificate.
type acceptedLeaf struct {
	material *Material
	leaf     *x509.Certificate
	until    time.Time
}

// build creates the TLS configurations of the material.
func (m *Material) build() {
	m.server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientCAs:  m.roots,
		// With a ticket, a session could be resumed after the authority that it was checked
		// against has been removed.
		SessionTicketsDisabled: true,
	}
	m.client = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.roots}
	if m.cert != nil {
		m.server.Certificates = []tls.Certificate{*m.cert}
	}
}

// ServerTLS returns the configuration of a listener that requests no client certificates.
func (s *Source) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Material().cert, nil
		},
	}
}

// checkRevocation fails the handshake if the peer's certificate is revoked by the lists in
// force. It is called after the chains were verified.
func (s *Source) checkRevocation(state tls.ConnectionState) error {
	return s.Material().revoked.check(state.VerifiedChains)
}

// MutualTLS returns the configuration of a listener that checks client certificates against the
// authorities in force. protocols are the ALPN protocols, in order of preference.
func (s *Source) MutualTLS(auth tls.ClientAuthType, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: auth,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cfg := s.Material().server.Clone()
			cfg.ClientAuth = auth
			cfg.NextProtos = protocols
			cfg.VerifyConnection = s.checkRevocation
			return cfg, nil
		},
	}
}

// ClientTLS returns the configuration of an outgoing connection that is opened now, to a server
// whose certificate must be valid for the name.
func (s *Source) ClientTLS(name string) *tls.Config {
	m := s.Material()
	cfg := m.client.Clone()
	cfg.ServerName = name
	cfg.VerifyConnection = s.checkRevocation
	if m.cert != nil {
		// The certificate is presented whatever authorities the server requests, so that the
		// server can say which certificate it refuses.
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.Material().cert, nil
		}
	}
	return cfg
}
