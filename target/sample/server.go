package sample

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/model"
	"tarragongw/target"
)

const (
	defaultLogLimit   = 100_000
	readHeaderTimeout = 10 * time.Second
)

// Config holds the settings of a Server.
type Config struct {
	// Name is the target's name.
	Name string
	// Address to listen on; "" means a free port of 127.0.0.1.
	Address string
	// Slots limits the requests in flight; the server sheds those beyond. Zero means no limit.
	Slots int
	// NoShed accepts requests beyond Slots instead of refusing them, so that Busiest shows
	// how many requests routers send at once.
	NoShed bool
	// Grants says which properties of grants the server checks.
	Grants model.GrantCheck
	// Undivided says that the service is not divided by key.
	Undivided bool
	// Work is the time that each request takes.
	Work time.Duration
	// ColdFor is how long the server is cold after its start; ColdWork is the additional
	// time that a request takes while it is cold.
	ColdFor  time.Duration
	ColdWork time.Duration
	// Now returns the time for grants, executions and the cold start; nil means time.Now.
	Now func() time.Time
	// TLS is the configuration of the listener; nil means plain text.
	TLS *tls.Config
	// Log collects executions; nil means a new log for this server alone.
	Log *Log
	// Seen, if set, is called with each request for work when it arrives. It must not
	// retain the request.
	Seen func(*http.Request)
}

// Server is a small target, whose faults can be switched while it runs.
type Server struct {
	Faults Faults

	cfg     Config
	started time.Time

	mu         sync.Mutex
	grants     *Grants
	values     map[string]entry
	busy       int
	busiest    int
	arrivals   int
	busyByUnit map[string]int
	draining   bool

	http      *http.Server
	listener  net.Listener
	stop      context.CancelFunc
	stopped   context.Context
	serveDone chan struct{}
	// handlers counts the running handlers. It is incremented only under mu and only until
	// stopped is done, so that no handler starts while Close waits.
	handlers sync.WaitGroup
}

// entry is the state of one key.
type entry struct {
	value   string
	version uint64
}

func newGrants(cfg *Config) *Grants {
	g := NewGrants(cfg.Grants)
	g.Undivided = cfg.Undivided
	return g
}

// New returns a server that is not listening yet; its Handler can be used at once.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = NewLog(defaultLogLimit)
	}
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	s := &Server{
		cfg:        cfg,
		started:    cfg.Now(),
		grants:     newGrants(&cfg),
		values:     map[string]entry{},
		busyByUnit: map[string]int{},
		serveDone:  make(chan struct{}),
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	return s
}

// Start starts listening and serves requests until Close.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "sample: listen")
	}
	s.listener = listener
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, TLSConfig: s.cfg.TLS}
	go func() {
		defer close(s.serveDone)
		_ = s.serve(listener) // returns ErrServerClosed after Close
	}()
	return nil
}

func (s *Server) serve(listener net.Listener) error {
	if s.cfg.TLS != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// Addr returns the host:port of a started server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Log returns the log of executions.
func (s *Server) Log() *Log { return s.cfg.Log }

// Close closes all connections, ends the requests in flight without running them, and
// waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		<-s.serveDone
	}
	s.handlers.Wait()
}

// Shutdown stops accepting connections and waits until the requests in flight have ended
// or ctx is done. Then it closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	return s.http.Shutdown(ctx)
}

// Busiest returns the greatest number of requests that were in flight at once.
func (s *Server) Busiest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busiest
}

// Busy returns the number of requests in flight.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Arrivals returns the number of requests that reached the server, refused ones
// included.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Drain makes the server report that it wants no new work. It still runs the requests
// that it receives, because the grantor decides when to stop sending.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+target.PathGrants, s.serveGrants)
	mux.HandleFunc("GET "+target.PathHealth, s.serveHealth)
	mux.HandleFunc("/", s.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.registerHandler() {
			panic(http.ErrAbortHandler) // ends the connection without an answer
		}
		defer s.handlers.Done()
		mux.ServeHTTP(w, r)
	})
}

// registerHandler adds a handler to handlers; false means that the server is closed.
func (s *Server) registerHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped.Err() != nil {
		return false
	}
	s.handlers.Add(1)
	return true
}

func (s *Server) cold() bool { return s.cfg.Now().Sub(s.started) < s.cfg.ColdFor }

// load is called with mu held.
func (s *Server) load() float64 {
	if faults := s.Faults.current(); faults.misreportLoad {
		return faults.reportedLoad
	}
	if s.cfg.Slots == 0 {
		return 0
	}
	return float64(s.busy) / float64(s.cfg.Slots)
}
