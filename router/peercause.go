package router

import (
	"crypto/x509"
	"fmt"
	"net"
	"strings"

	"github.com/pkg/errors"

	"tarragongw/keys"
	"tarragongw/peer"
)

// peerCause is the closed list of reasons for which two routers don't talk.
type peerCause string

// The causes.
const (
	causeNoCertificate    peerCause = "no_certificate"
	causeUnknownAuthority peerCause = "unknown_authority"
	causeExpired          peerCause = "expired"
	causeRevoked          peerCause = "revoked"
	causeWrongRole        peerCause = "wrong_role"
	causeWrongName        peerCause = "wrong_name"
	causeWrongVersion     peerCause = "wrong_version"
	// causeOldLife is an incarnation below one that is known.
	causeOldLife peerCause = "old_incarnation"
	// causeLimit is a limit of this router, or that it is stopping.
	causeLimit peerCause = "limit"
	// causeOtherSide is a refusal by the other side.
	causeOtherSide peerCause = "other_side"
	// causeBroken is a connection that ended, or that spoke something else.
	causeBroken peerCause = "broken"
)

// certificateCauses are those that the other side's certificate or version gives.
var certificateCauses = map[peerCause]bool{
	causeUnknownAuthority: true, causeExpired: true, causeRevoked: true,
	causeWrongRole: true, causeWrongName: true, causeWrongVersion: true,
}

// claimError is a router's claim that its certificate does not bear out.
type claimError struct {
	cause peerCause
	text  string
}

func (e *claimError) Error() string { return e.text }

func claimErrorf(cause peerCause, format string, args ...any) error {
	return &claimError{cause, fmt.Sprintf(format, args...)}
}

// peerCauseOf sorts the error with which a session was refused, or with which one ended.
func peerCauseOf(err error) peerCause {
	var claim *claimError
	if errors.As(err, &claim) {
		return claim.cause
	}
	for known, cause := range map[error]peerCause{
		peer.ErrVersion: causeWrongVersion, peer.ErrIdentity: causeWrongName, peer.ErrStale: causeOldLife,
		peer.ErrLimit: causeLimit, peer.ErrRefused: causeOtherSide,
	} {
		if errors.Is(err, known) {
			return cause
		}
	}
	return handshakeCause(err)
}

// noCertificate is what crypto/tls says of a client that shows none; it has no type.
const noCertificate = "client didn't provide a certificate"

// remoteError is how crypto/tls marks an alert of the other side.
const remoteError = "remote error"

func handshakeCause(err error) peerCause {
	var revoked *keys.RevokedError
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	var name x509.HostnameError
	var op *net.OpError
	switch {
	case errors.As(err, &revoked):
		return causeRevoked
	case errors.As(err, &unknown):
		return causeUnknownAuthority
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return causeExpired
	case errors.As(err, &invalid) && invalid.Reason == x509.IncompatibleUsage:
		return causeWrongRole
	case errors.As(err, &name):
		return causeWrongName
	case errors.As(err, &op) && op.Op == remoteError:
		return causeOtherSide
	case err != nil && strings.Contains(err.Error(), noCertificate):
		return causeNoCertificate
	default:
		return causeBroken
	}
}
