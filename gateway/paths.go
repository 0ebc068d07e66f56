package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/reach"
	"tarragongw/peer/feed"
	"tarragongw/target"
)

const (
	// pathCheckInterval is how often lost paths are looked through for those to be probed.
	pathCheckInterval = 100 * time.Millisecond
	// minDialTime is the part of dialTimeout after which a connection that was not opened counts as timed
	// out; before it, the request's own time was over.
	minDialTime = dialTimeout * 4 / 5
	// maxLoggedTargets bounds the targets that one log line names.
	maxLoggedTargets = 16
)

// errPathLost is why requests that may be repeated are aborted: the path to their target is cut.
var errPathLost = errors.New("the path to the target is lost")

// paths are this router's ways to the targets: its own connections, and through other routers while its own
// are cut.
type paths struct {
	g *Gateway
	// wake has a value while there is something new to tell the leader.
	wake chan struct{}
	// connections counts the connections through other routers.
	connections atomic.Uint64

	mu      sync.Mutex
	tracker *reach.Tracker
	targets map[string]directory.Target
	// aborters are those of requests that were sent directly, may be repeated, and have no answer yet.
	aborters map[string]map[*target.Aborter]bool
	// relays are the routers through which targets may be reached, without this one, and relayNotBefore
	// says when one that could not be reached may be used again.
	relays         []feed.Relay
	relayNotBefore map[string]time.Time
	// checking is set while lost paths are probed regularly.
	checking bool
	// told is what the leader was last told; untold is set if it has to be told again.
	told        feed.Reach
	untold      bool
	unavailable bool
}

func newPaths(g *Gateway) *paths {
	return &paths{
		g: g, wake: make(chan struct{}, 1), tracker: reach.NewTracker(), aborters: map[string]map[*target.Aborter]bool{},
		relayNotBefore: map[string]time.Time{},
	}
}

func (p *paths) setTargets(targets []directory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = make(map[string]directory.Target, len(targets))
	for _, t := range targets {
		p.targets[t.ID] = t
	}
	p.tracker.SetTargets(targets)
	for id := range p.aborters {
		if _, known := p.targets[id]; !known {
			delete(p.aborters, id)
		}
	}
	p.tellLocked()
}

// choose returns the path for a request. Unless it is relayed, ended has to be called when it has ended.
func (p *paths) choose(d *dispatch.Decision) reach.Path {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.tracker.Choose(now, d.Target.ID, d.ServiceTime, len(p.relays) > 0)
	if path != reach.Relayed {
		p.tracker.Sent(now, d.Target.ID)
	}
	return path
}

// findsRelay reports whether a request whose direct connection failed is to go through another router.
func (p *paths) findsRelay(d *dispatch.Decision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Choose(time.Now(), d.Target.ID, d.ServiceTime, len(p.relays) > 0) == reach.Relayed
}

// ended records that a request that was sent directly has ended, or that its answer has begun.
func (p *paths) ended(id string, answered bool, aborter *target.Aborter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Ended(id)
	if answered {
		p.tracker.Answered(time.Now(), id)
	}
	if aborter != nil {
		delete(p.aborters[id], aborter)
	}
}

// abortIfLost makes the aborter be used when the direct path to the target is lost, until ended is called.
func (p *paths) abortIfLost(id string, aborter *target.Aborter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aborters[id] == nil {
		p.aborters[id] = map[*target.Aborter]bool{}
	}
	p.aborters[id][aborter] = true
}

// explains reports whether a failure says nothing about the target, because its path is lost.
func (p *paths) explains(id string, f *fault.Fault) bool {
	if errors.Is(f, errPathLost) {
		return true
	}
	return errors.Is(f, syscall.ECONNREFUSED) && !errors.Is(f, errRelayed) && p.isLost(id)
}

// isLost reports whether the direct path to the target is lost.
func (p *paths) isLost(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsLost(id)
}

// directDialer returns the function that opens direct connections to a target.
func (p *paths) directDialer(t *directory.Target) dialFunc {
	id := t.ID
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		began := time.Now()
		conn, err := p.g.opts.DialTarget(ctx, network, address)
		p.dialed(id, time.Since(began), err)
		return conn, err
	}
}

// dialed records whether a direct connection could be opened.
func (p *paths) dialed(id string, took time.Duration, err error) {
	timedOut := isTimeout(err)
	if err != nil && (errors.Is(err, context.Canceled) || timedOut && took < minDialTime) {
		return // the request ended first
	}
	now := time.Now()
	p.mu.Lock()
	if err == nil {
		if p.tracker.Proved(now, id) {
			p.pathRestored(id)
		}
		p.mu.Unlock()
		return
	}
	lost := p.tracker.ConnectFailed(now, id, !timedOut)
	var aborters []*target.Aborter
	if timedOut { // where connections are refused, those that are open may still be alive
		aborters = p.abortersOf(lost)
	}
	p.pathsLost(lost)
	p.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	for _, aborter := range aborters {
		aborter.AbortWith(&fault.Fault{Kind: fault.TargetLost, Cause: errPathLost, Detail: errPathLost.Error()})
	}
	p.g.pools.closeIdle(func(id *poolID) bool { return !id.relayed && slices.Contains(lost, id.target.ID) })
	p.retry(lost)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// abortersOf returns the aborters of requests that hang at the targets; the caller holds the lock.
func (p *paths) abortersOf(ids []string) []*target.Aborter {
	var aborters []*target.Aborter
	for _, id := range ids {
		for aborter := range p.aborters[id] {
			aborters = append(aborters, aborter)
		}
	}
	return aborters
}

// pathsLost begins to look for other ways to targets; the caller holds the lock.
func (p *paths) pathsLost(lost []string) {
	if len(lost) == 0 {
		return
	}
	p.g.log.Warn("paths to targets lost", "targets", lost[:min(len(lost), maxLoggedTargets)], "lost", len(p.tracker.Lost()), "of", p.tracker.Targets(), "relays", len(p.relays))
	p.tellLocked()
	if !p.checking {
		p.checking = true
		time.AfterFunc(pathCheckInterval, p.probe)
	}
}

// pathRestored records that a target is reached directly again; the caller holds the lock.
func (p *paths) pathRestored(id string) {
	p.g.log.Info("path to target restored", "target", id, "lost", len(p.tracker.Lost()), "of", p.tracker.Targets())
	p.tellLocked()
}

// retry makes targets whose path is lost get requests again at once if there are relays.
func (p *paths) retry(ids []string) {
	p.mu.Lock()
	services := map[string]string{}
	for _, id := range ids {
		if t, known := p.targets[id]; known && len(p.relays) > 0 {
			services[id] = t.Service
		}
	}
	p.mu.Unlock()
	for id, name := range services {
		if s := p.g.service(name); s != nil {
			s.pathFound(id)
		}
	}
}

// probe opens connections on lost paths that are due, until none is lost.
func (p *paths) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tracker.Lost()) == 0 || p.g.lifetime.Err() != nil {
		p.checking = false
		return
	}
	for _, id := range p.tracker.Probes(time.Now()) {
		t := p.targets[id]
		p.g.workers.Run(func() { p.probeTarget(&t) })
	}
	time.AfterFunc(pathCheckInterval, p.probe)
}

// probeTarget opens a direct connection to a target.
func (p *paths) probeTarget(t *directory.Target) {
	ctx, cancel := context.WithTimeout(p.g.lifetime, dialTimeout)
	defer cancel()
	conn, err := p.directDialer(t)(ctx, "tcp", t.Address)
	if err == nil {
		conn.Close()
	}
}
