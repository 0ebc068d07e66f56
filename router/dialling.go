package router

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/core/model"
)

// dialling is how connections to targets are opened.
type dialling struct {
	// uploadRate is the least rate of bodies, in bytes a second.
	uploadRate int64
	timers     *config.Timers
	dial       Dial
	security   *security
	// plain allows plain text to targets that are not on loopback.
	plain bool
	// refused is told of an open connection to the target that is ended.
	refused func(target string, cause error)
}

func (r *Router) dialling() *dialling {
	s := r.opts.Settings
	return &dialling{timers: &s.Timers, uploadRate: int64(s.Limits.UploadRate), dial: r.opts.DialTarget, security: r.security, plain: s.TLS.Targets.PlainText,
		refused: func(target string, cause error) { r.connectionRefused(sideTargets, target, cause) }}
}

// tlsFor returns what gives the TLS of a target's connections; nil is plain text. The
// certificate must be valid for the target's name: an address that went to another
// server does not pass for the target.
func (d *dialling) tlsFor(spec *model.Target) func() *tls.Config {
	source := d.security.forService(spec.Service)
	if source == nil {
		return nil
	}
	name := spec.Name
	return func() *tls.Config { return source.ClientTLS(name) }
}

// acceptsFor returns what holds open connections to a target against the certificates
// and lists in force; nil in plain text.
func (d *dialling) acceptsFor(spec *model.Target) func(*tls.ConnectionState) error {
	source := d.security.forService(spec.Service)
	if source == nil {
		return nil
	}
	name := spec.Name
	return func(state *tls.ConnectionState) error {
		err := source.Accepts(state)
		if err != nil {
			d.refused(name, err)
		}
		return err
	}
}

// dialFor refuses to open a connection in plain text that nobody asked for. A dial of
// the embedding program's own is taken as it is.
func (d *dialling) dialFor(spec *model.Target) Dial {
	if d.dial != nil || d.plain || config.IsLoopback(spec.Address) || d.security.forService(spec.Service) != nil {
		return d.dial
	}
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.Errorf("no authority is named for the targets of %s, and plain text is not allowed: set tls.targets.ca, or tls.targets.plain_text = true", spec.Service)
	}
}
