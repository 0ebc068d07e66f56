package target

import (
	"sync"
	"sync/atomic"
	"time"
)

// Pool holds the connections to one target and sends attempts over them. It is
// safe for concurrent use. It never repeats a request.
type Pool struct {
	cfg PoolConfig
	// maxWorkConns is MaxConns less the share for control.
	maxWorkConns int
	// hasControl says that a Control has the reserved share.
	hasControl atomic.Bool
	// inlineSmallBodies says that bodies at hand are written together with their header.
	inlineSmallBodies bool

	// targetIdleTimeout is how long the target was last heard to keep a connection at rest, less a
	// margin, in nanoseconds; zero where it doesn't say.
	targetIdleTimeout atomic.Int64

	// rechecks counts the calls of Recheck.
	rechecks atomic.Uint64

	mu sync.Mutex
	// idle is a stack: the connection that rested last is used first, so that those
	// not needed grow old and close.
	idle    []*conn
	open    int
	inUse   int
	waiters []*waiter
	sweeper *time.Timer
	closed  bool
	drained chan struct{}
	counts  Counts
	// lastCloseCause says why the last connection was closed.
	lastCloseCause OpenCause
}

// OpenCause says why a connection is opened.
type OpenCause string

// The causes.
const (
	// OpenedFirst is the first connection to a target, OpenedBeside one beside others in use.
	OpenedFirst  OpenCause = "first"
	OpenedBeside OpenCause = "beside"
	// The others follow one that rested for too long, that the target had closed, that was
	// closed after an answer because the target said so or had not read the request, that an
	// exchange had broken, or on which one was cut off for its caller or its time.
	OpenedIdle      OpenCause = "rested"
	OpenedStale     OpenCause = "stale"
	OpenedEnded     OpenCause = "ended"
	OpenedBroken    OpenCause = "broken"
	OpenedCancelled OpenCause = "cancelled"
)

// Counts are the running totals of a pool.
type Counts struct {
	// Dials and DialErrors count attempts to open a connection and those that failed.
	Dials      uint64
	DialErrors uint64
	// Reuses counts exchanges on a connection that had rested.
	Reuses uint64
	// Stale counts connections found dead, or with unasked bytes, before reuse.
	Stale uint64
	// Aged counts connections closed for their age, their rest or their certificate.
	Aged uint64
	// Silent counts exchanges that the progress timeout ended.
	Silent uint64
	// Cancelled counts exchanges that the context ended.
	Cancelled uint64
	// Broken counts other exchanges whose connection could not be kept.
	Broken uint64
	// Refused counts requests that the target said it did not run.
	Refused uint64
	// Full counts attempts refused because no connection was free.
	Full uint64
}

// Stats is a pool's state at one moment.
type Stats struct {
	Counts
	// Open is the number of connections, those being opened included; InUse have an
	// exchange on them and Idle rest.
	Open, InUse, Idle int
	// Waiting is the number of attempts that wait for a connection.
	Waiting int
}

// New returns a pool for one target. It opens no connection yet.
func New(cfg PoolConfig) (*Pool, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, maxWorkConns: cfg.MaxConns - cfg.ControlConns, drained: make(chan struct{})}, nil
}

// Stats returns the pool's counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Counts: p.counts, Open: p.open, InUse: p.inUse, Idle: len(p.idle), Waiting: len(p.waiters)}
}

// CloseIdle closes the connections that rest, as a grantor does when its duty
// ends, so that its successor has the target's connection budget.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
}

// Close lets no new attempt in and closes connections as they come to rest.
// Exchanges in flight go on; Drained tells when the last has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	waiters := p.waiters
	p.waiters = nil
	if !p.closed {
		p.closed = true
		p.closeDrainedLocked()
	}
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	p.mu.Unlock()
	for _, w := range waiters {
		close(w.ready)
	}
	p.CloseIdle()
}

// Drained is closed when a closed pool has no exchange in flight.
func (p *Pool) Drained() <-chan struct{} { return p.drained }

func (p *Pool) closeDrainedLocked() {
	if p.closed && p.inUse == 0 {
		close(p.drained)
	}
}
