package operator

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"tarragongw/keys"
)

// Identity is the authenticated sender of a call.
type Identity struct {
	// Name is the name in the certificate; empty if none was presented.
	Name string
	Role keys.Role
}

// Cause is the reason why the operator listener refused a call or connection; the causes
// below are all there are.
type Cause string

// The causes.
const (
	// CauseNoCertificate is a call without a certificate, CauseCertificate one whose
	// certificate is no longer valid, CauseRole one whose role is too low, CauseRevoked
	// one whose certificate is revoked, and CauseHandshake a connection whose TLS handshake
	// failed for another reason.
	CauseNoCertificate Cause = "no_certificate"
	CauseCertificate   Cause = "certificate"
	CauseRole          Cause = "role"
	CauseRevoked       Cause = "revoked"
	CauseHandshake     Cause = "handshake"
)

// Refusal is a call or connection that was refused; it had no effect.
type Refusal struct {
	Cause Cause
	// Name is the name in the certificate, if one was presented and is valid.
	Name string
	// Remote is the address of the sender.
	Remote string
	// Method and Path are empty for a handshake.
	Method string
	Path   string
	// Detail explains the refusal to operators.
	Detail string
}

// Guard admits only calls whose certificate has the role that their path requires.
type Guard struct {
	// Next handles the admitted calls.
	Next http.Handler
	// Identify returns the sender of the call; an error means that its certificate is not valid.
	Identify func(*http.Request) (Identity, error)
	// Refused is called for each refusal.
	Refused func(Refusal)

	roles *roleTable
}

// NewGuard returns a Guard that takes the required roles from Endpoints.
func NewGuard(next http.Handler, identify func(*http.Request) (Identity, error), refused func(Refusal)) *Guard {
	return &Guard{Next: next, Identify: identify, Refused: refused, roles: newRoleTable(Endpoints)}
}

// ServeHTTP implements http.Handler.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	required := g.roles.roleFor(r)
	if required == keys.RoleNone {
		g.Next.ServeHTTP(w, r)
		return
	}
	identity, err := g.Identify(r)
	switch {
	case err != nil:
		g.refuse(w, r, causeOf(err), "", "the certificate is not accepted: "+err.Error())
	case identity.Role.Covers(required):
		g.Next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, identity)))
	case identity.Name == "":
		g.refuse(w, r, CauseNoCertificate, "", fmt.Sprintf("this call needs a certificate with the role %s", required))
	default:
		g.refuse(w, r, CauseRole, identity.Name, fmt.Sprintf("this call needs the role %s; %s has %s", required, identity.Name, roleOrNone(identity.Role)))
	}
}

func (g *Guard) refuse(w http.ResponseWriter, r *http.Request, cause Cause, name, detail string) {
	g.Refused(Refusal{Cause: cause, Name: name, Remote: r.RemoteAddr, Method: r.Method, Path: r.URL.Path, Detail: detail})
	code := CodeForbidden
	if cause != CauseRole {
		code = CodeUnauthenticated
	}
	if cause == CauseCertificate || cause == CauseRevoked {
		// No further call on this connection would be answered.
		w.Header().Set("Connection", "close")
	}
	writeError(w, Errorf(code, "%s; nothing was changed", detail))
}

func causeOf(err error) Cause {
	var revoked *keys.RevokedError
	if errors.As(err, &revoked) {
		return CauseRevoked
	}
	return CauseCertificate
}

func roleOrNone(role keys.Role) string {
	if role == keys.RoleNone {
		return "none"
	}
	return string(role)
}

type identityKey struct{}

// authorOf returns the name under which a change is recorded: the name in the certificate
// if there is one, else the name that the call claims. Otherwise an operator could act
// under another operator's name.
func authorOf(ctx context.Context, claimed string) string {
	if identity, ok := ctx.Value(identityKey{}).(Identity); ok && identity.Name != "" {
		return identity.Name
	}
	return claimed
}
