package caller

import (
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/reqctx"
)

// callerConn is a caller's connection that the limits count.
type callerConn struct {
	net.Conn
	limits *connLimits
	ip     string
	// active is set once a byte arrived, ended once a read failed for good.
	active, ended atomic.Bool
	// served counts the requests whose turn has come; streams says that they come on HTTP/2.
	served  atomic.Int64
	streams atomic.Bool
	// opened is when the connection was accepted, and restsSince how long after that it came
	// to rest; zero while a request is under way.
	opened     time.Time
	restsSince atomic.Int64
	// request is what ends with the connection; nil where there is none.
	request atomic.Pointer[reqctx.Context]
	once    sync.Once
	trust   trust
	// ahead begins requests before their turn; nil where none are.
	ahead *lookAhead
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 && !c.active.Load() {
		c.active.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end()
	}
	return n, err
}

func (c *callerConn) read(p []byte) (int, error) {
	if c.ahead != nil {
		return c.ahead.Read(p)
	}
	return c.Conn.Read(p)
}

// end cancels the request under way, those that were begun before their turn, and any that
// is attached later.
func (c *callerConn) end() {
	c.ended.Store(true)
	if c.ahead != nil {
		c.ahead.end()
	}
	if ctx := c.request.Load(); ctx != nil {
		ctx.Cancel()
	}
}

// attach lets the connection's end cancel the request. The server reads from the
// connection before the request's handler is called, so that the end may have been
// read already.
func (c *callerConn) attach(ctx *reqctx.Context) {
	c.request.Store(ctx)
	if c.ended.Load() {
		ctx.Cancel()
	}
}

// countTurn counts a request whose turn has come and returns its number on its connection.
func countTurn(r *http.Request) int64 {
	c := connOf(r)
	if c == nil {
		return 0
	}
	if r.ProtoMajor >= 2 {
		c.streams.Store(true)
	}
	return c.served.Add(1)
}

// detach is called when the request's handler returns.
func (c *callerConn) detach() { c.request.Store(nil) }

// watchedConn returns the connection whose reads tell of the caller's end: that of
// HTTP/1.1 in clear text and of a request without a body, for then the server reads
// from it while the handler runs. For all others nil.
func watchedConn(r *http.Request) *callerConn {
	if r.ProtoMajor != 1 || r.TLS != nil || r.Body != http.NoBody {
		return nil
	}
	return connOf(r)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.limits.release(c) })
	err := c.Conn.Close()
	c.end()
	return err
}

// connLimits counts connections in all and for each IP address. Its lock is
// taken when a connection opens or closes, not for a request.
type connLimits struct {
	most, mostPerIP int
	// lookAhead returns what begins a connection's requests early, or nil.
	lookAhead func(c *callerConn) *lookAhead
	refused   atomic.Int64
	// round counts the calls of Server.Recheck; it begins with one, so that each
	// connection is asked for once after its handshake.
	round atomic.Uint64

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	perIP map[string]int
}

func newConnLimits(cfg Config) *connLimits {
	return &connLimits{
		most: cfg.MaxConns, mostPerIP: cfg.MaxConnsPerAddress,
		conns: map[*callerConn]struct{}{}, perIP: map[string]int{},
	}
}

// admit returns nil where a limit is reached.
func (l *connLimits) admit(conn net.Conn) *callerConn {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		ip = conn.RemoteAddr().String()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.most || l.perIP[ip] >= l.mostPerIP {
		l.refused.Add(1)
		return nil
	}
	c := &callerConn{Conn: conn, limits: l, ip: ip, opened: time.Now()}
	if l.lookAhead != nil {
		c.ahead = l.lookAhead(c)
	}
	l.conns[c] = struct{}{}
	l.perIP[ip]++
	return c
}

func (l *connLimits) release(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.perIP[c.ip]--; l.perIP[c.ip] == 0 {
		delete(l.perIP, c.ip)
	}
}

func (l *connLimits) all() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// open returns the number of open connections.
func (l *connLimits) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// early returns the number of requests that were begun and whose turn has not come.
func (l *connLimits) early() int {
	n := 0
	for _, c := range l.all() {
		if c.ahead != nil {
			n += c.ahead.outstanding()
		}
	}
	return n
}

// closeUnused closes the connections on which no request has come yet. A
// balancer opens connections ahead of need, and net/http's Shutdown would wait
// five seconds for each.
func (l *connLimits) closeUnused() {
	for _, c := range l.unused() {
		_ = c.Close()
	}
}

// expire ends the requests that wait for an answer as if their time were over.
func (l *connLimits) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if ctx := c.request.Load(); ctx != nil {
			ctx.Expire()
		}
	}
}

func (l *connLimits) unused() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unused []*callerConn
	for c := range l.conns {
		if !c.active.Load() {
			unused = append(unused, c)
		}
	}
	return unused
}

// limitListener closes connections beyond the limits as soon as they are
// accepted, so that a balancer tries another VM at once.
type limitListener struct {
	net.Listener
	limits *connLimits
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.limits.admit(conn); admitted != nil {
			return admitted, nil
		}
		_ = conn.Close()
	}
}
