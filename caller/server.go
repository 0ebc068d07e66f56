package caller

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// unusedGrace is how long a stopping server waits for the first byte on a fresh
// connection: a request that is on its way must not be cut.
const unusedGrace = 500 * time.Millisecond

// lastWords is how long a stopping server that cuts requests off has to tell their callers.
// Without it a caller finds its connection reset and knows nothing.
const lastWords = 300 * time.Millisecond

// Server serves callers over HTTP/1.1 and HTTP/2, in clear text or over TLS.
type Server struct {
	*Handler
	cfg    Config
	http   *http.Server
	limits *connLimits
	// expire ends all requests with a cause.
	expire context.CancelCauseFunc
}

// NewServer returns a server around the handler. tlsConfig is nil for clear
// text; it is used as it is, so that its hooks can renew certificates.
func NewServer(handler *Handler, tlsConfig *tls.Config) *Server {
	return newServer(handler, handler.cfg, tlsConfig)
}

// NewServerWith is NewServer in clear text with connection limits of its own: a handler
// may be there before what bounds its callers is known.
func NewServerWith(handler *Handler, cfg Config) *Server {
	return newServer(handler, cfg.withDefaults(), nil)
}

func newServer(handler *Handler, cfg Config, tlsConfig *tls.Config) *Server {
	s := &Server{Handler: handler, cfg: cfg, limits: newConnLimits(cfg)}
	s.limits.round.Store(1)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	base, expire := context.WithCancelCause(context.Background())
	s.expire = expire
	if cfg.LookAhead > 0 && tlsConfig == nil {
		s.limits.lookAhead = func(c *callerConn) *lookAhead { return newLookAhead(c, base, cfg.LookAhead, handler.beginEarly) }
	}
	s.http = &http.Server{
		Handler:           handler,
		BaseContext:       func(net.Listener) context.Context { return base },
		TLSConfig:         tlsConfig,
		Protocols:         &protocols,
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(cfg.Logger.Handler(), slog.LevelDebug),
		ConnContext:       rememberConn,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: cfg.MaxStreams,
			SendPingTimeout:      cfg.PingAfter,
			PingTimeout:          cfg.PingTimeout,
			WriteByteTimeout:     cfg.AnswerWindow,
		},
	}
	if cfg.Accepts != nil {
		s.http.ConnState = s.changed
	}
	if cfg.ErrorLog != nil {
		s.http.ErrorLog = cfg.ErrorLog
	}
	return s
}

// Serve accepts callers' connections until Shutdown or a failure of the
// listener; after Shutdown it returns nil.
func (s *Server) Serve(l net.Listener) error {
	limited := &limitListener{Listener: l, limits: s.limits}
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(limited, "", "")
	} else {
		err = s.http.Serve(limited)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Shutdown accepts no more connections and waits for the requests in flight:
// HTTP/1.1 answers carry "Connection: close" from now on and HTTP/2 connections
// get GOAWAY. When ctx ends first, requests that still wait for their answer are told that
// their time is over, and what is left after lastWords is cut. It returns how many requests
// were not answered otherwise.
func (s *Server) Shutdown(ctx context.Context) (cut int) {
	s.logStop("callers are let go")
	s.awaitEarly(ctx)
	s.logStop("callers' connections are closed")
	done := make(chan error, 1)
	go func() { done <- s.http.Shutdown(ctx) }()
	grace := time.NewTimer(unusedGrace)
	defer grace.Stop()
	for waiting := true; waiting; {
		select {
		case err := <-done:
			if err == nil {
				return 0
			}
			waiting = false
		case <-grace.C:
			s.limits.closeUnused()
		}
	}
	cut = int(s.InFlight())
	s.limits.expire()
	s.expire(context.DeadlineExceeded)
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if s.http.Shutdown(last) != nil {
		_ = s.http.Close()
	}
	return cut
}

// logStop logs a step of the shutdown with what is open and under way.
func (s *Server) logStop(step string) {
	s.cfg.Logger.Info(step, "open", s.limits.open(), "in_flight", s.InFlight(), "before_their_turn", s.limits.early())
}

// awaitEarly waits until no answer is left that waits for its turn: net/http closes each
// connection after the answer that is under way, and those behind it would be lost.
func (s *Server) awaitEarly(ctx context.Context) {
	ticker := time.NewTicker(earlyPoll)
	defer ticker.Stop()
	for s.limits.early() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// earlyPoll is how often a stopping server looks whether answers wait for their turn.
const earlyPoll = 10 * time.Millisecond

// Conns returns the number of callers' open connections and how many were
// refused by the limits since the start.
func (s *Server) Conns() (open int, refused int64) {
	return s.limits.open(), s.limits.refused.Load()
}

func rememberConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrapConn(conn))
}

func unwrapConn(conn net.Conn) *callerConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}
