// Package simnet simulates a network of deterministic state machines in simulated time,
// for tests and measurements. It delivers their messages with delay, loss and
// duplication, suspends and stops nodes, and cuts links, all from one seed. It runs in
// one goroutine and never reads a clock.
package simnet

import (
	"math/rand/v2"
	"time"
)

// resolution is the length of one step of simulated time; horizon is the number of steps
// that the calendar holds, which limits delays and suspensions.
const (
	resolution = 100 * time.Microsecond
	horizon    = 1 << 17
)

// Node is a state machine on the network.
type Node[M any] interface {
	// Tick is called at the interval Config.Tick, Deliver for each message.
	Tick(now time.Time)
	Deliver(now time.Time, from string, m M)
}

// Config holds the settings of a network.
type Config struct {
	// Tick is the interval between the ticks of a node.
	Tick time.Duration
	// MinDelay and MaxDelay limit the one-way delay, which is drawn uniformly.
	MinDelay, MaxDelay time.Duration
	// Loss and Duplicate are the probabilities, from 0 to 1, that a message is lost or
	// duplicated.
	Loss, Duplicate float64
}

// Net is a simulated network.
type Net[M any] struct {
	cfg      Config
	rng      *rand.Rand
	step     int64
	start    time.Time
	calendar [][]event[M]
	nodes    map[string]*host[M]
	// Blocked, if set, says whether the link between two nodes is cut.
	Blocked func(from, to string) bool
	// Delay, if set, is added to the drawn delay of each message between two nodes.
	Delay func(from, to string) time.Duration
	// OnSend, if set, is called with each message that is sent, including those then lost.
	OnSend func(from, to string, m M)
}

type host[M any] struct {
	name           string
	node           Node[M]
	suspendedUntil int64
	stopped        bool
}

type event[M any] struct {
	to   *host[M]
	from string
	m    M
	tick bool
	call func()
}

// New returns a network without nodes, whose simulated time begins at start.
func New[M any](cfg Config, start time.Time, seed uint64) *Net[M] {
	return &Net[M]{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		start:    start,
		calendar: make([][]event[M], horizon),
		nodes:    map[string]*host[M]{},
	}
}

// Now returns the simulated time.
func (n *Net[M]) Now() time.Time { return n.start.Add(time.Duration(n.step) * resolution) }

// Rand returns the network's random number generator.
func (n *Net[M]) Rand() *rand.Rand { return n.rng }

// Add starts a node, which replaces an earlier node of the same name. Its first tick comes
// at a random time within the interval.
func (n *Net[M]) Add(name string, node Node[M]) {
	if old := n.nodes[name]; old != nil {
		old.stopped = true
	}
	h := &host[M]{name: name, node: node}
	n.nodes[name] = h
	n.schedule(time.Duration(n.rng.Int64N(int64(n.cfg.Tick))), event[M]{to: h, tick: true})
}

// Kill stops a node permanently; messages in flight to it are lost.
func (n *Net[M]) Kill(name string) {
	if h := n.nodes[name]; h != nil {
		h.stopped = true
		delete(n.nodes, name)
	}
}

// Pause suspends a node for the duration d: its messages and ticks are delayed until the
// end of the suspension.
func (n *Net[M]) Pause(name string, d time.Duration) {
	if h := n.nodes[name]; h != nil {
		h.suspendedUntil = n.step + int64(d/resolution)
	}
}

// After calls f after d of simulated time.
func (n *Net[M]) After(d time.Duration, f func()) { n.schedule(d, event[M]{call: f}) }

// Send sends a message from one node to another.
func (n *Net[M]) Send(from, to string, m M) {
	if n.OnSend != nil {
		n.OnSend(from, to, m)
	}
	h := n.nodes[to]
	if h == nil || n.Blocked != nil && n.Blocked(from, to) {
		return
	}
	var extraDelay time.Duration
	if n.Delay != nil {
		extraDelay = n.Delay(from, to)
	}
	if n.rng.Float64() >= n.cfg.Loss {
		n.schedule(extraDelay+n.delay(), event[M]{to: h, from: from, m: m})
	}
	if n.cfg.Duplicate > 0 && n.rng.Float64() < n.cfg.Duplicate {
		n.schedule(extraDelay+n.delay(), event[M]{to: h, from: from, m: m})
	}
}

func (n *Net[M]) delay() time.Duration {
	spread := int64(n.cfg.MaxDelay - n.cfg.MinDelay)
	return n.cfg.MinDelay + time.Duration(n.rng.Int64N(spread+1))
}

// schedule adds an event to the calendar, at least one step ahead.
func (n *Net[M]) schedule(d time.Duration, e event[M]) {
	at := n.step + max(1, int64(d/resolution))
	if at-n.step >= horizon {
		panic("simnet: event beyond the horizon")
	}
	n.calendar[at%horizon] = append(n.calendar[at%horizon], e)
}

// Run advances the simulated time by d and dispatches the events that fall due.
func (n *Net[M]) Run(d time.Duration) {
	end := n.step + int64(d/resolution)
	for n.step < end {
		n.step++
		slot := n.calendar[n.step%horizon]
		for i := range slot {
			n.dispatch(&slot[i])
		}
		clear(slot)
		n.calendar[n.step%horizon] = slot[:0]
	}
}

func (n *Net[M]) dispatch(e *event[M]) {
	if e.call != nil {
		e.call()
		return
	}
	h := e.to
	if h.stopped {
		return
	}
	if h.suspendedUntil > n.step {
		// The node is suspended: its events are delayed, in order, until it resumes.
		n.schedule(time.Duration(h.suspendedUntil-n.step)*resolution, *e)
		return
	}
	n.handle(h, e)
}

func (n *Net[M]) handle(h *host[M], e *event[M]) {
	now := n.Now()
	if e.tick {
		h.node.Tick(now)
		n.schedule(n.cfg.Tick, event[M]{to: h, tick: true})
		return
	}
	h.node.Deliver(now, e.from, e.m)
}
