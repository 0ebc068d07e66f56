package router

import (
	"crypto/x509"
	"log"
	"net"
	"net/http"

	"tarragongw/keys"
	"tarragongw/operator"
)

// newOperatorServer puts the guard of roles in front of the operators' endpoint.
func (r *Router) newOperatorServer() *http.Server {
	server := &http.Server{
		Handler:           operator.NewGuard(r.admin, r.identify, r.operatorRefused),
		ReadHeaderTimeout: operatorHeaderTimeout,
		MaxHeaderBytes:    operatorHeaderBytes,
		IdleTimeout:       operatorIdleTimeout,
		TLSConfig:         r.security.operatorTLS,
		ErrorLog:          log.New(&handshakeLog{r.log, r.operatorHandshakeFailed}, "", 0),
	}
	if source := r.security.operators; source != nil {
		r.operatorConns = &connGuard{
			accepts: source.Accepts,
			refused: func(name string, cause error) { r.connectionRefused(sideOperators, name, cause) },
		}
		server.ConnState = r.operatorConns.changed
	}
	return server
}

func (r *Router) serveOperators(l net.Listener) error {
	if r.security.operatorTLS == nil {
		return r.operatorServer.Serve(l)
	}
	return r.operatorServer.ServeTLS(l, "", "")
}

// identify says who makes an operators' call.
//
// Without TLS the VM's own users may do anything, as they could by the files of the
// process; whoever calls from elsewhere may only read.
//
// A certificate is checked again at each call: a connection that stays open must not
// outlive its certificate, or the authority that was taken away.
func (r *Router) identify(req *http.Request) (operator.Identity, error) {
	if r.security.operatorTLS == nil {
		return plainIdentity(req.RemoteAddr), nil
	}
	if req.TLS == nil || len(req.TLS.VerifiedChains) == 0 {
		return operator.Identity{}, nil
	}
	leaf := req.TLS.PeerCertificates[0]
	if err := r.stillValid(req.TLS.PeerCertificates); err != nil {
		// The guard ends the connection with its answer.
		r.connectionRefused(sideOperators, leaf.Subject.CommonName, err)
		return operator.Identity{}, err
	}
	return operator.Identity{Name: leaf.Subject.CommonName, Role: keys.OperatorRole(leaf)}, nil
}

func (r *Router) stillValid(chain []*x509.Certificate) error {
	if r.security.operators == nil {
		return nil
	}
	return r.security.operators.Verify(chain)
}

func plainIdentity(remote string) operator.Identity {
	host, _, err := net.SplitHostPort(remote)
	if err == nil && net.ParseIP(host).IsLoopback() {
		return operator.Identity{Role: keys.RoleAdminister}
	}
	return operator.Identity{Role: keys.RoleRead}
}

func (r *Router) operatorHandshakeFailed(remote, detail string) {
	reason := operator.CauseHandshake
	if keys.MentionsRevocation(detail) {
		reason = operator.CauseRevoked
	}
	r.operatorRefused(operator.Refusal{Cause: reason, Remote: remote, Detail: detail})
}
