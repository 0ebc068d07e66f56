package target

import (
	"sync"
	"sync/atomic"
	"time"
)

// Pool holds the connections to one target and sends requests over them. It never retries a
// request. It is safe for concurrent use.
type Pool struct {
	cfg PoolConfig
	// maxWorkConns is MaxConns less ControlConns.
	maxWorkConns int
	// hasControl is set once a Control uses the reserved connections.
	hasControl atomic.Bool
	// inlineSmallBodies makes small bodies that are in memory be written together with their
	// header; see inlineBody.
	inlineSmallBodies bool

	// idleLimit is how long the target keeps an idle connection open according to its
	// latest Keep-Alive header, less a margin, in nanoseconds; zero if it hasn't said.
	idleLimit atomic.Int64

	// rechecks counts the calls of Recheck.
	rechecks atomic.Uint64

	mu sync.Mutex
	// idle is a stack: the most recently used connection is used first, so that surplus
	// connections stay idle and are closed.
	idle    []*conn
	open    int
	inUse   int
	waiters []*waiter
	sweeper *time.Timer
	closed  bool
	drained chan struct{}
	counts  Counts
	// lastCloseCause is why a connection was closed last.
	lastCloseCause OpenCause
}

// OpenCause is the reason why a connection is opened.
type OpenCause string

// Reasons for opening a connection.
const (
	// OpenedFirst is the first connection to a target; OpenedBeside is one opened while others
	// are in use.
	OpenedFirst  OpenCause = "first"
	OpenedBeside OpenCause = "beside"
	// The other reasons are why the previous connection was closed: it was idle for too long,
	// or its age or certificate ended it (OpenedIdle); the target had closed it while it was
	// idle (OpenedStale); it was closed after a response, because the target asked for that or
	// had not read the whole request (OpenedEnded); an exchange failed on it (OpenedBroken);
	// or an exchange on it ended early, because the caller left or the deadline passed
	// (OpenedCancelled).
	OpenedIdle      OpenCause = "rested"
	OpenedStale     OpenCause = "stale"
	OpenedEnded     OpenCause = "ended"
	OpenedBroken    OpenCause = "broken"
	OpenedCancelled OpenCause = "cancelled"
	// OpenedAgain is a connection for a request that was sent or refused before on those that are idle.
	OpenedAgain OpenCause = "sent-again"
)

// Counts are the running totals of a pool.
type Counts struct {
	// Dials and DialErrors count attempts to open a connection and those that failed.
	Dials      uint64
	DialErrors uint64
	// Reuses counts exchanges on a reused connection.
	Reuses uint64
	// Stale counts connections that were found closed, or with unasked bytes, before reuse.
	Stale uint64
	// Aged counts connections closed because of their age, idle time or certificate.
	Aged uint64
	// Silent counts exchanges that ended at the progress timeout.
	Silent uint64
	// Cancelled counts exchanges that were cancelled or ran into their deadline.
	Cancelled uint64
	// Broken counts other exchanges after which the connection could not be reused.
	Broken uint64
	// Refused counts requests that the target stated it did not run.
	Refused uint64
	// Full counts attempts refused because no connection was free.
	Full uint64
}

// Stats is a snapshot of a pool's state.
type Stats struct {
	Counts
	// Open is the number of connections, including those being opened. InUse of them have an
	// exchange in flight or are being opened; Idle are idle.
	Open, InUse, Idle int
	// Waiting is the number of attempts that are queued for a connection.
	Waiting int
}

// New returns a pool for one target. It opens no connections yet.
func New(cfg PoolConfig) (*Pool, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, maxWorkConns: cfg.MaxConns - cfg.ControlConns, drained: make(chan struct{})}, nil
}

// Stats returns the pool's state and counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Counts: p.counts, Open: p.open, InUse: p.inUse, Idle: len(p.idle), Waiting: len(p.waiters)}
}

// CloseIdle closes the idle connections. A grantor calls it when its responsibility for the
// target ends, so that its successor can use the target's connection budget.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
}

// Close refuses new attempts and closes connections as they become idle. Exchanges in flight
// continue; Drained is closed when the last has ended.
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

// Drained returns a channel that is closed once the pool is closed and has no exchange in
// flight.
func (p *Pool) Drained() <-chan struct{} { return p.drained }

// closeDrainedLocked closes the drained channel if the closed pool is unused. The caller
// holds mu.
func (p *Pool) closeDrainedLocked() {
	if p.closed && p.inUse == 0 {
		close(p.drained)
	}
}
