package crashguard

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/quarantine"
	"tarragongw/duty"
)

const (
	// maxDoubtful bounds the targets that are checked at the same time, and maxBrokenSends the sends
	// of one of them that are remembered.
	maxDoubtful    = 64
	maxBrokenSends = 64
	// checkInterval is the least time between two checks of a target. A target that resets
	// connections when it is full must not get more of them for that.
	checkInterval = 5 * time.Second
	// sendMemory is how long before or after a crash is noticed a send may have been broken off by
	// it: for longer than the checks take.
	sendMemory = time.Second
	// checkTimeout bounds one check whether a target accepts connections.
	checkTimeout = 350 * time.Millisecond
)

// crashCheckDelays are the pauses before each check whether a target still accepts connections. The
// system closes the sockets of a process that has crashed in any order, so that its listening socket
// may be open for a moment after a connection has ended.
var crashCheckDelays = []time.Duration{0, 100 * time.Millisecond}

// Target is one instance of a target.
type Target struct {
	Service, ID string
	// StartUnixMilli is zero if instances of the target can't be told apart.
	StartUnixMilli int64
	// Address is where the target listens, as host:port.
	Address string
}

func (t *Target) instance() quarantine.Instance {
	return quarantine.Instance{Target: t.ID, StartUnixMilli: t.StartUnixMilli}
}

// watch finds out which targets crashed while requests of this router were in flight there. A
// connection that ends without an answer is no proof: a target may reset one when it is full. That
// the target's address then refuses connections is: nothing listens there any more. A target that is
// draining, or not known any more, may end with requests in flight, so it is left out.
type watch struct {
	opts *Options
	// onCrash is called with the suspects of a crash: the requests that were in flight.
	onCrash func(t *Target, suspects []quarantine.Suspect)

	mu sync.Mutex
	// doubtful has the targets that broke off sends, by instance.
	doubtful map[Target]*doubtfulTarget
}

// doubtfulTarget is a target that broke off sends and is being checked, was checked lately, or has
// crashed.
type doubtfulTarget struct {
	target  Target
	crashed bool
	// sends are those that were broken off within sendMemory, oldest first.
	sends []brokenSend
}

type brokenSend struct {
	at      time.Time
	suspect quarantine.Suspect
}

// dropOld drops the sends that were broken off more than sendMemory ago.
func (d *doubtfulTarget) dropOld(now time.Time) {
	d.sends = slices.DeleteFunc(d.sends, func(s brokenSend) bool { return now.Sub(s.at) > sendMemory })
}

func newWatch(opts *Options, onCrash func(*Target, []quarantine.Suspect)) *watch {
	return &watch{opts: opts, onCrash: onCrash, doubtful: map[Target]*doubtfulTarget{}}
}

// brokeOff records that a target broke off a send without a whole answer.
func (w *watch) brokeOff(t *Target, s quarantine.Suspect) {
	if !w.opts.IsActive(t) {
		return
	}
	key, now := *t, time.Now()
	w.mu.Lock()
	doubtful := w.doubtful[key]
	begin := doubtful == nil && len(w.doubtful) < maxDoubtful
	if begin {
		doubtful = &doubtfulTarget{target: key}
		w.doubtful[key] = doubtful
	}
	if doubtful == nil {
		w.mu.Unlock()
		return
	}
	if doubtful.dropOld(now); len(doubtful.sends) >= maxBrokenSends {
		w.mu.Unlock()
		return
	}
	doubtful.sends = append(doubtful.sends, brokenSend{now, s})
	crashed := doubtful.crashed
	w.mu.Unlock()
	if crashed {
		w.report(&key, []quarantine.Suspect{s})
	}
	if begin {
		w.opts.Run(func() { w.check(doubtful) })
	}
}

// check tries to connect to a target until that is refused, or until all tries have been made. For the
// rest of checkInterval only failed connections of requests tell that the target has crashed.
func (w *watch) check(doubtful *doubtfulTarget) {
	defer w.forget(doubtful)
	for _, delay := range crashCheckDelays {
		if !duty.Sleep(w.opts.Lifetime, delay) {
			return
		}
		if w.hasCrashed(doubtful) || w.refusesConnections(doubtful.target.Address) {
			w.crashed(doubtful)
			// Some of the sends that it broke off may be noticed a little later.
			duty.Sleep(w.opts.Lifetime, sendMemory)
			return
		}
	}
	duty.Sleep(w.opts.Lifetime, checkInterval)
}

func (w *watch) hasCrashed(doubtful *doubtfulTarget) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return doubtful.crashed
}

// connectFailed records that a connection to a target could not be opened.
func (w *watch) connectFailed(t *Target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	doubtful := w.doubtful[*t]
	w.mu.Unlock()
	if doubtful != nil {
		w.crashed(doubtful)
	}
}

// crashed reports a crash and the sends that it broke off, once.
func (w *watch) crashed(doubtful *doubtfulTarget) {
	w.mu.Lock()
	if doubtful.crashed {
		w.mu.Unlock()
		return
	}
	doubtful.crashed = true
	doubtful.dropOld(time.Now())
	var suspects []quarantine.Suspect
	for _, s := range doubtful.sends {
		suspects = append(suspects, s.suspect)
	}
	w.mu.Unlock()
	w.opts.count("target_crashes_total", doubtful.target.Service)
	w.report(&doubtful.target, suspects)
}

func (w *watch) report(t *Target, suspects []quarantine.Suspect) {
	fingerprints := make([]string, 0, len(suspects))
	for _, s := range suspects {
		fingerprints = append(fingerprints, s.Fingerprint.String())
	}
	w.opts.Log.Warn("target crashed", "service", t.Service, "target", t.ID, "born", t.StartUnixMilli, "address", t.Address,
		"in_flight", len(suspects), "fingerprints", fingerprints)
	w.onCrash(t, suspects)
}

func (w *watch) forget(doubtful *doubtfulTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.doubtful, doubtful.target)
}

// refusesConnections reports whether nothing listens at an address.
func (w *watch) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(w.opts.Lifetime, checkTimeout)
	defer cancel()
	conn, err := w.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
