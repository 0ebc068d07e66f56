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

// callerConn is a caller's connection. It is counted by connLimits.
type callerConn struct {
	net.Conn
	limits *connLimits
	ip     string
	// receivedBytes is set once a byte was read. ended is set once the connection was closed
	// or a read failed with an error other than a timeout.
	receivedBytes, ended atomic.Bool
	// served counts the requests whose turn has come; http2 means that they are HTTP/2
	// streams.
	served atomic.Int64
	http2  atomic.Bool
	// opened is when the connection was accepted. idleSince is the time from then until the
	// connection became idle, or zero while a request is in flight.
	opened    time.Time
	idleSince atomic.Int64
	// requestCtx is the context of the request in flight that is cancelled when the connection
	// ends; nil if there is none.
	requestCtx  atomic.Pointer[reqctx.Context]
	closeOnce   sync.Once
	certificate certificateState
	// pipeline reads ahead of the request in flight; nil if the connection uses TLS.
	pipeline *pipeline
	// arrivedAt is when the request in flight arrived; zero if unknown.
	arrivedAt time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 && !c.receivedBytes.Load() {
		c.receivedBytes.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancelRequests()
	}
	return n, err
}

func (c *callerConn) read(p []byte) (int, error) {
	if c.pipeline != nil {
		return c.pipeline.Read(p)
	}
	return c.Conn.Read(p)
}

// cancelRequests cancels the request in flight, those that were started before their turn, and
// any that is attached later.
func (c *callerConn) cancelRequests() {
	c.ended.Store(true)
	if c.pipeline != nil {
		c.pipeline.cancel()
	}
	if ctx := c.requestCtx.Load(); ctx != nil {
		ctx.Cancel()
	}
}

// attach makes the end of the connection cancel ctx. The server reads from the connection
// before it calls the request's handler, so the end may already have been read.
func (c *callerConn) attach(ctx *reqctx.Context) {
	c.requestCtx.Store(ctx)
	if c.ended.Load() {
		ctx.Cancel()
	}
}

// countRequest counts a request whose turn has come and returns its number on its connection,
// or zero if the connection is unknown.
func countRequest(r *http.Request) int64 {
	c := connOf(r)
	if c == nil {
		return 0
	}
	if r.ProtoMajor >= 2 {
		c.http2.Store(true)
	}
	return c.served.Add(1)
}

// arrivalOf returns when the request that is served now arrived, as far as that is known; else now.
func arrivalOf(w http.ResponseWriter, r *http.Request, now time.Time) time.Time {
	if a, pipelined := w.(*pipelinedAnswer); pipelined {
		return a.arrivedAt
	}
	if c := connOf(r); c != nil && r.ProtoMajor == 1 && !c.arrivedAt.IsZero() {
		return c.arrivedAt
	}
	return now
}

// detach undoes attach when the handler of the request returns.
func (c *callerConn) detach() { c.requestCtx.Store(nil) }

// watchedConn returns the connection of r if its reads detect that the caller closed it, and
// nil otherwise. They do for HTTP/1.1 in clear text and a request without a body, because the
// server then reads from the connection while the handler runs.
func watchedConn(r *http.Request) *callerConn {
	if r.ProtoMajor != 1 || r.TLS != nil || r.Body != http.NoBody {
		return nil
	}
	return connOf(r)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.limits.release(c) })
	err := c.Conn.Close()
	c.cancelRequests()
	return err
}

// connLimits tracks the open connections and bounds their number, in total and per IP address.
// Its lock is taken when a connection opens or closes, not for each request.
type connLimits struct {
	maxConns, maxPerIP int
	// newPipeline creates the pipeline of a connection; nil if connections use TLS.
	newPipeline func(c *callerConn) *pipeline
	refused     atomic.Int64
	// recheckRound counts the calls of Server.Recheck. It starts at one, so that the
	// certificate of each connection is also checked once after the handshake.
	recheckRound atomic.Uint64

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	perIP map[string]int
}

func newConnLimits(cfg Config) *connLimits {
	return &connLimits{
		maxConns: cfg.MaxConns, maxPerIP: cfg.MaxConnsPerAddress,
		conns: map[*callerConn]struct{}{}, perIP: map[string]int{},
	}
}

// admit registers a connection. It returns nil if a limit is reached.
func (l *connLimits) admit(conn net.Conn) *callerConn {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		ip = conn.RemoteAddr().String()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns || l.perIP[ip] >= l.maxPerIP {
		l.refused.Add(1)
		return nil
	}
	c := &callerConn{Conn: conn, limits: l, ip: ip, opened: time.Now()}
	if l.newPipeline != nil {
		c.pipeline = l.newPipeline(c)
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

// pipelined returns the number of requests that were started early and whose turn has not
// come.
func (l *connLimits) pipelined() int {
	n := 0
	for _, c := range l.all() {
		if c.pipeline != nil {
			n += c.pipeline.outstanding()
		}
	}
	return n
}

// closeUnused closes the connections on which no byte has been received. A load balancer opens
// connections in advance, and the Shutdown of net/http would wait five seconds for each.
func (l *connLimits) closeUnused() {
	for _, c := range l.unused() {
		_ = c.Close()
	}
}

// expireRequests ends the attached requests that wait for an answer as if their deadline had
// passed.
func (l *connLimits) expireRequests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if ctx := c.requestCtx.Load(); ctx != nil {
			ctx.Expire()
		}
	}
}

func (l *connLimits) unused() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unused []*callerConn
	for c := range l.conns {
		if !c.receivedBytes.Load() {
			unused = append(unused, c)
		}
	}
	return unused
}

// limitListener closes connections beyond the limits as soon as they are accepted, so that a
// load balancer tries another VM at once.
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
