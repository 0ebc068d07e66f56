package caller

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Server serves callers over HTTP/1.1 and HTTP/2, in clear text or over TLS.
type Server struct {
	*Handler
	cfg    Config
	http   *http.Server
	limits *connLimits
	// cancelBase cancels the base context of all requests with a cause.
	cancelBase context.CancelCauseFunc

	// mu guards listeners, which is nil once no more connections are accepted.
	mu        sync.Mutex
	listeners map[net.Listener]struct{}
}

// NewServer returns a server for the handler. tlsConfig is nil for clear text; it is not
// cloned, so that its hooks can renew certificates.
func NewServer(handler *Handler, tlsConfig *tls.Config) *Server {
	return newServer(handler, handler.cfg, tlsConfig)
}

// NewServerWith is NewServer for clear text with a Config of its own for connections, so that
// a handler can be created before the connection limits are known.
func NewServerWith(handler *Handler, cfg Config) *Server {
	return newServer(handler, cfg.withDefaults(), nil)
}

func newServer(handler *Handler, cfg Config, tlsConfig *tls.Config) *Server {
	s := &Server{Handler: handler, cfg: cfg, limits: newConnLimits(cfg), listeners: map[net.Listener]struct{}{}}
	s.limits.recheckRound.Store(1)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	base, cancelBase := context.WithCancelCause(context.Background())
	s.cancelBase = cancelBase
	if tlsConfig == nil {
		s.limits.newPipeline = func(c *callerConn) *pipeline { return newPipeline(c, base, cfg.MaxPipelined, handler.startPipelined) }
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
		ConnContext:       withCallerConn,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: cfg.MaxStreams,
			SendPingTimeout:      cfg.PingAfter,
			PingTimeout:          cfg.PingTimeout,
			WriteByteTimeout:     cfg.AnswerWindow,
		},
	}
	s.http.ConnState = s.connStateChanged
	if cfg.ErrorLog != nil {
		s.http.ErrorLog = cfg.ErrorLog
	}
	return s
}

// Serve accepts callers' connections until Shutdown or a failure of the listener. After
// Shutdown it returns nil.
func (s *Server) Serve(l net.Listener) error {
	limited := &limitListener{Listener: l, limits: s.limits}
	if !s.addListener(l) {
		return nil
	}
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(limited, "", "")
	} else {
		err = s.http.Serve(limited)
	}
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Conns returns the number of callers' open connections and of those refused by the limits
// since the start.
func (s *Server) Conns() (open int, refused int64) {
	return s.limits.open(), s.limits.refused.Load()
}

func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrapConn(conn))
}

func unwrapConn(conn net.Conn) *callerConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}
