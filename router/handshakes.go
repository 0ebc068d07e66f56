package router

import (
	"crypto/tls"
	"log"
	"log/slog"
	"strings"

	"tarragongw/caller"
	"tarragongw/eventlog"
	"tarragongw/keys"
)

// handshakeMark begins net/http's line on a failed handshake, which is the only word
// that it gives of one.
const handshakeMark = "http: TLS handshake error from "

// handshakeLog takes the lines of a server that checks certificates.
type handshakeLog struct {
	log    *slog.Logger
	failed func(remote, detail string)
}

// Write implements io.Writer.
func (h *handshakeLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	rest, found := strings.CutPrefix(text, handshakeMark)
	if !found {
		h.log.Debug("net/http", "line", text)
		return len(line), nil
	}
	remote, detail, _ := strings.Cut(rest, ": ")
	h.failed(remote, detail)
	return len(line), nil
}

// checkCallers has callers' certificates checked where the settings name authorities.
func (r *Router) checkCallers(cfg *caller.Config) {
	source := r.security.callers
	if source == nil {
		return
	}
	cfg.Accepts = func(state *tls.ConnectionState) error {
		err := source.Accepts(state)
		if err != nil {
			r.connectionRefused(sideCallers, state.PeerCertificates[0].Subject.CommonName, err)
		}
		return err
	}
	cfg.ErrorLog = log.New(&handshakeLog{cfg.Logger, r.callerHandshakeFailed}, "", 0)
}

// Reasons for which a caller gets no connection.
const (
	callerRevoked   = "revoked"
	callerHandshake = "handshake"
)

func (r *Router) callerHandshakeFailed(remote, detail string) {
	reason := callerHandshake
	if keys.MentionsRevocation(detail) {
		reason = callerRevoked
	}
	r.tel.Scope().Tagged(map[string]string{"cause": reason}).Counter("caller_connections_refused_total").Inc(1)
	r.tellRefusal(eventlog.CallerRefused, "caller "+reason, detail, eventlog.F("reason", reason), eventlog.F("from", remote))
}
