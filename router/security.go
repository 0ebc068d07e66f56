package router

import (
	"crypto/tls"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/keys"
	"tarragongw/peer"
)

// security is the TLS of the router's sides. A nil configuration is plain text.
type security struct {
	callerTLS   *tls.Config
	operatorTLS *tls.Config
	peerTLS     *tls.Config
	dialPeer    func(router string) *tls.Config
	verifyPeer  func(remote peer.Identity, state *tls.ConnectionState) error

	// callers checks callers' certificates; nil where none are asked for.
	callers *keys.Source
	// peers checks routers' certificates; nil where Options.PeerTLS does.
	peers *keys.Source
	// operators checks operators' certificates; nil where Options.OperatorTLS does.
	operators *keys.Source
	// targets is for all targets but those of the services in byService.
	targets   *keys.Source
	byService map[string]*keys.Source

	// sources are all files that are watched.
	sources []*keys.Source
	// signals asks the watch to load all files now.
	signals chan struct{}
}

// openSecurity loads the files that the settings name. It fails where one is wrong,
// and where a listener would be open to other machines in plain text unasked.
func openSecurity(o *Options) (*security, error) {
	s := &security{
		callerTLS: o.CallerTLS, operatorTLS: o.OperatorTLS, peerTLS: o.PeerTLS, verifyPeer: o.VerifyPeer,
		byService: make(map[string]*keys.Source),
		sources:   append([]*keys.Source(nil), o.Keys...),
		signals:   make(chan struct{}, 1),
	}
	for _, open := range []func(*config.Router) error{s.openCallers, s.openOperators, s.openPeers, s.openTargets, s.checkPlain} {
		if err := open(o.Settings); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *security) open(f keys.Files) (*keys.Source, error) {
	source, err := keys.Open(f, nil)
	if err == nil {
		s.sources = append(s.sources, source)
	}
	return source, err
}

func (s *security) openCallers(r *config.Router) error {
	t := &r.TLS.Callers
	if t.Cert == "" || s.callerTLS != nil {
		return nil
	}
	source, err := s.open(keys.Files{Table: "tls.callers", Cert: t.Cert, Key: t.Key, CA: t.CA, CRL: t.CRL, Use: keys.Server})
	if err != nil {
		return err
	}
	if t.CA == "" {
		s.callerTLS = source.ServerTLS()
		return nil
	}
	s.callers = source
	s.callerTLS = source.MutualTLS(tls.RequireAndVerifyClientCert, "h2", "http/1.1")
	return nil
}

func (s *security) openOperators(r *config.Router) error {
	t := &r.TLS.Operator
	if t.Cert == "" || s.operatorTLS != nil {
		return nil
	}
	source, err := s.open(keys.Files{Table: "tls.operator", Cert: t.Cert, Key: t.Key, CA: t.CA, CRL: t.CRL, Use: keys.Server})
	if err != nil {
		return err
	}
	s.operators = source
	// The balancer asks /readyz without a certificate; the guard refuses the rest.
	s.operatorTLS = source.MutualTLS(tls.VerifyClientCertIfGiven, "http/1.1")
	return nil
}

func (s *security) openPeers(r *config.Router) error {
	t := &r.TLS.Peers
	if t.Cert == "" || s.peerTLS != nil {
		return nil
	}
	source, err := s.open(keys.Files{
		Table: "tls.peers", Cert: t.Cert, Key: t.Key, CA: t.CA, CRL: t.CRL,
		Use: keys.Both, Name: r.Name, Role: keys.RoleRouter, IssuedByCA: true,
	})
	if err != nil {
		return err
	}
	s.peers = source
	s.peerTLS = source.MutualTLS(tls.RequireAndVerifyClientCert)
	s.dialPeer = source.ClientTLS
	s.verifyPeer = verifyRouter
	return nil
}

// verifyRouter holds a router's claim against its certificate, which the handshake
// has verified.
//
// What would go wrong: whoever holds any certificate of the authority, such as one
// lost router's, passes for every router, and takes over targets in their names. One
// would notice terms that grow without a loss.
func verifyRouter(remote peer.Identity, state *tls.ConnectionState) error {
	if state == nil || len(state.VerifiedChains) == 0 {
		return claimErrorf(causeNoCertificate, "no verified certificate")
	}
	leaf := state.PeerCertificates[0]
	if !keys.HasRole(leaf, keys.RoleRouter) {
		return claimErrorf(causeWrongRole, "the certificate %q lacks the organisational unit %q", leaf.Subject.CommonName, keys.RoleRouter)
	}
	if err := leaf.VerifyHostname(remote.Name); err != nil {
		return claimErrorf(causeWrongName, "the certificate %q is not valid for the name %q that was claimed", leaf.Subject.CommonName, remote.Name)
	}
	return nil
}

func (s *security) openTargets(r *config.Router) error {
	t := &r.TLS.Targets
	var err error
	if t.CA != "" {
		s.targets, err = s.openTarget(t, "tls.targets", t.CA, t.CRL)
	}
	for _, service := range slices.Sorted(maps.Keys(t.ServiceCA)) {
		if err == nil {
			s.byService[service], err = s.openTarget(t, "tls.targets.service_ca."+service, t.ServiceCA[service], t.ServiceCRL[service])
		}
	}
	return err
}

func (s *security) openTarget(t *config.TargetsTLS, table, ca, crl string) (*keys.Source, error) {
	return s.open(keys.Files{Table: table, Cert: t.Cert, Key: t.Key, CA: ca, CRL: crl, Use: keys.Client})
}

// forService returns the source for the targets of the service; nil is plain text.
func (s *security) forService(service string) *keys.Source {
	if source := s.byService[service]; source != nil {
		return source
	}
	return s.targets
}

// checkPlain refuses a listener that other machines reach in plain text unless its
// settings say so.
func (s *security) checkPlain(r *config.Router) error {
	for _, l := range []struct {
		setting, address, table string
		tls                     *tls.Config
		allowed                 bool
	}{
		{"listen.caller", r.Listen.Caller, "tls.callers", s.callerTLS, r.TLS.Callers.PlainText},
		{"listen.operator", r.Listen.Operator, "tls.operator", s.operatorTLS, r.TLS.Operator.PlainText},
		{"listen.peer", r.Listen.Peer, "tls.peers", s.peerTLS, r.TLS.Peers.PlainText},
	} {
		if l.tls == nil && !l.allowed && !config.IsLoopback(l.address) {
			return errors.Errorf("%s = %q would be open to other machines in plain text; name the files of [%s], or set %s.plain_text = true",
				l.setting, l.address, l.table, l.table)
		}
	}
	return nil
}

// acceptsPeer holds the certificate of an open session against what is in force.
func (s *security) acceptsPeer(state *tls.ConnectionState) error {
	if s.peers == nil {
		return nil
	}
	return s.peers.Accepts(state)
}

func isRevoked(err error) bool { return peerCauseOf(err) == causeRevoked }

// isTargets says whether the source is for connections to targets.
func (s *security) isTargets(source *keys.Source) bool {
	if source == s.targets {
		return true
	}
	for _, one := range s.byService {
		if one == source {
			return true
		}
	}
	return false
}
