package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/quarantine"
	"tarragongw/duty"
)

const (
	// maxDoubtful bounds the targets that are checked at the same time, and maxBrokenSends the sends
	// of one of them that are remembered.
	maxDoubtful    = 64
	maxBrokenSends = 64
	// crashMemory is how long a crash is remembered: a send that it broke off may be noticed later
	// than the crash itself.
	crashMemory = 5 * time.Second
)

// crashCheckDelays are the pauses before each check whether a target still accepts connections. The
// system closes the sockets of a process that has crashed in any order, so that its listening socket
// may be open for a moment after a connection has ended.
var crashCheckDelays = []time.Duration{0, 50 * time.Millisecond, 250 * time.Millisecond, time.Second}

// crashWatch finds out which targets crashed while requests of this router were in flight there. A
// connection that ends without an answer is no proof: a target may reset one when it is full. That
// the target's address then refuses connections is: nothing listens there any more. A target that is
// draining, or not known any more, may end with requests in flight, so it is left out.
type crashWatch struct {
	g *Gateway
	// onCrash is called with the suspects of a crash: the requests that were in flight.
	onCrash func(t *directory.Target, suspects []quarantine.Suspect)

	mu sync.Mutex
	// doubtful has the targets that broke off sends, by instance.
	doubtful map[directory.Target]*doubtfulTarget
}

// doubtfulTarget is a target that broke off sends and is being checked, or that has crashed.
type doubtfulTarget struct {
	target  directory.Target
	crashed bool
	sends   []quarantine.Suspect
}

func newCrashWatch(g *Gateway, onCrash func(*directory.Target, []quarantine.Suspect)) *crashWatch {
	return &crashWatch{g: g, onCrash: onCrash, doubtful: map[directory.Target]*doubtfulTarget{}}
}

// brokeOff records that a target broke off a send without a whole answer.
func (w *crashWatch) brokeOff(t *directory.Target, s quarantine.Suspect) {
	if !w.g.isActive(t) {
		return
	}
	key := poolKey(t)
	w.mu.Lock()
	doubtful := w.doubtful[key]
	begin := doubtful == nil && len(w.doubtful) < maxDoubtful
	if begin {
		doubtful = &doubtfulTarget{target: key}
		w.doubtful[key] = doubtful
	}
	if doubtful == nil || len(doubtful.sends) >= maxBrokenSends {
		w.mu.Unlock()
		return
	}
	doubtful.sends = append(doubtful.sends, s)
	crashed := doubtful.crashed
	w.mu.Unlock()
	if crashed {
		w.report(&key, []quarantine.Suspect{s})
	}
	if begin {
		w.g.workers.Run(func() { w.check(doubtful) })
	}
}

// check tries to connect to a target until that is refused, or until all tries have been made.
func (w *crashWatch) check(doubtful *doubtfulTarget) {
	defer w.forget(doubtful)
	for _, delay := range crashCheckDelays {
		if !duty.Sleep(w.g.lifetime, delay) {
			return
		}
		if w.hasCrashed(doubtful) || refusesConnections(w.g.lifetime, doubtful.target.Address) {
			w.crashed(doubtful)
			duty.Sleep(w.g.lifetime, crashMemory)
			return
		}
	}
}

func (w *crashWatch) hasCrashed(doubtful *doubtfulTarget) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return doubtful.crashed
}

// connectFailed records that a connection to a target could not be opened.
func (w *crashWatch) connectFailed(t *directory.Target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	doubtful := w.doubtful[poolKey(t)]
	w.mu.Unlock()
	if doubtful != nil {
		w.crashed(doubtful)
	}
}

// crashed reports a crash and the sends that it broke off, once.
func (w *crashWatch) crashed(doubtful *doubtfulTarget) {
	w.mu.Lock()
	if doubtful.crashed {
		w.mu.Unlock()
		return
	}
	doubtful.crashed = true
	sends := doubtful.sends
	w.mu.Unlock()
	w.g.countCrash(doubtful.target.Service)
	w.report(&doubtful.target, sends)
}

func (w *crashWatch) report(t *directory.Target, suspects []quarantine.Suspect) {
	fingerprints := make([]string, 0, len(suspects))
	for _, s := range suspects {
		fingerprints = append(fingerprints, s.Fingerprint.String())
	}
	w.g.log.Warn("target crashed", "service", t.Service, "target", t.ID, "born", t.StartUnixMilli, "address", t.Address,
		"in_flight", len(suspects), "fingerprints", fingerprints)
	w.onCrash(t, suspects)
}

func (w *crashWatch) forget(doubtful *doubtfulTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.doubtful, doubtful.target)
}

// refusesConnections reports whether nothing listens at an address.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// isActive reports whether a target is known and doesn't drain.
func (g *Gateway) isActive(t *directory.Target) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for i := range g.targets {
		if known := &g.targets[i]; known.ID == t.ID && known.StartUnixMilli == t.StartUnixMilli {
			return !known.Draining
		}
	}
	return false
}

// countCrash counts a target of the service that crashed with requests of this router in flight.
func (g *Gateway) countCrash(service string) {
	if g.opts.Telemetry != nil {
		g.opts.Telemetry.Scope().Tagged(map[string]string{"service": service}).Counter("target_crashes_total").Inc(1)
	}
}
