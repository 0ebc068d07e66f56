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
	// Slots bounds the requests worked on at once; more are shed. Zero means no bound.
	Slots int
	// NoShed takes work beyond Slots instead of refusing it, so that Busiest shows what
	// routers send.
	NoShed bool
	// Grants says what it checks by itself.
	Grants model.GrantCheck
	// Undivided says that its service is not divided by key.
	Undivided bool
	// Work is the time that each request takes.
	Work time.Duration
	// ColdFor is how long it is cold after its start, and ColdWork what a request
	// takes in addition meanwhile.
	ColdFor  time.Duration
	ColdWork time.Duration
	// Now tells the time for grants, records and the cold start; nil means time.Now.
	Now func() time.Time
	// TLS is for the listener; nil is plain text.
	TLS *tls.Config
	// Log collects executions; nil means a log of its own.
	Log *Log
	// Seen is shown each request for work as it arrives; nil means nobody. It must not
	// keep it.
	Seen func(*http.Request)
}

// Server is a small target.
type Server struct {
	// Faults are its switches.
	Faults Faults

	cfg     Config
	started time.Time

	mu       sync.Mutex
	grants   *Grants
	values   map[string]entry
	busy     int
	busiest  int
	arrivals int
	busyUnit map[string]int
	draining bool

	http     *http.Server
	listener net.Listener
	stop     context.CancelFunc
	stopped  context.Context
	served   chan struct{}
	// handlers is counted up under mu, and not at all once stopped has ended: none begins
	// beside Close's wait.
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

// New returns a server that doesn't listen yet; its Handler can be used at once.
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
		cfg:      cfg,
		started:  cfg.Now(),
		grants:   newGrants(&cfg),
		values:   map[string]entry{},
		busyUnit: map[string]int{},
		served:   make(chan struct{}),
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	return s
}

// Start listens and serves until Close.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return errors.Wrap(err, "sample: listen")
	}
	s.listener = listener
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, TLSConfig: s.cfg.TLS}
	go func() {
		defer close(s.served)
		_ = s.serve(listener) // always ends with ErrServerClosed, by Close
	}()
	return nil
}

func (s *Server) serve(listener net.Listener) error {
	if s.cfg.TLS != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

// Addr returns host:port of a started server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Log returns the log of executions.
func (s *Server) Log() *Log { return s.cfg.Log }

// Close cuts all connections, ends the work in flight without running it and
// waits for it.
func (s *Server) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
		<-s.served
	}
	s.handlers.Wait()
}

// Shutdown accepts no connection any more and waits until the work in flight has
// ended or ctx has; then it closes what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	return s.http.Shutdown(ctx)
}

// Busiest returns the greatest number of requests that were at work at once.
func (s *Server) Busiest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busiest
}

// Busy returns the number of requests at work.
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

// Drain makes the server say that it wants no new work. It goes on running what
// it is sent, as the grantor decides when to stop sending.
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
		if !s.arrive() {
			panic(http.ErrAbortHandler) // ends the connection without an answer
		}
		defer s.handlers.Done()
		mux.ServeHTTP(w, r)
	})
}

// arrive counts a handler in, unless the server is closed.
func (s *Server) arrive() bool {
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
	if lie := s.Faults.now(); lie.lieLoad {
		return lie.load
	}
	if s.cfg.Slots == 0 {
		return 0
	}
	return float64(s.busy) / float64(s.cfg.Slots)
}
