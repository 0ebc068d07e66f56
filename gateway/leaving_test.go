package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/internal/waittest"
)

// drainLimit is the time after the acknowledgement of its leaving within which a target may get requests.
const drainLimit = 2 * time.Second

// newLeavingFleet starts gateways in front of targets with keys, and waits until all serve.
func newLeavingFleet(t *testing.T, gateways int) *fleet {
	f := newFleet(t, 0, keyedConfig, keyedTarget("k0"), keyedTarget("k1"), keyedTarget("k2"))
	f.knownWithin = drainLimit
	for i := range gateways {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	for _, g := range f.gateways {
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/read/1", key: 100})
	}
	return f
}

// lateArrivals returns the requests that reached a target later than drainLimit after a time.
func (f *fleet) lateArrivals(id string, left time.Time) (late []string) {
	for _, a := range f.targets[id].Arrivals() {
		if a.At.Sub(left) > drainLimit {
			late = append(late, a.ID+" after "+a.At.Sub(left).String())
		}
	}
	return late
}

// Guards against routers that send requests for keys to a leaving target for as long as the leader has not moved the keys.
func TestLeavingHolderGetsNoLateRequestsWhileTheLeaderIsHeldUp(t *testing.T) {
	retryOnStall(t, func() error {
		f := newLeavingFleet(t, 3)
		old := f.holder(100)
		f.links[f.leader().opts.Name].tablesHeldUp.Store(true)
		f.targets[old].Drain(f.store)
		left := time.Now()
		for time.Since(left) < drainLimit+time.Second {
			for _, g := range f.gateways {
				began := time.Now()
				a := f.send(g, call{method: http.MethodGet, path: "/read/1", key: 100})
				assert.Assert(t, a.err == nil && (a.status == http.StatusOK || a.status == http.StatusServiceUnavailable), "%v %v", a.status, a.err)
				if took := time.Since(began); a.status != http.StatusOK && took > 300*time.Millisecond {
					return errors.Errorf("refused after %v", took)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if late := f.lateArrivals(old, left); len(late) > 0 {
			return errors.Errorf("%d requests came late to %s, the last %s", len(late), old, late[len(late)-1])
		}
		f.links[f.leader().opts.Name].tablesHeldUp.Store(false)
		waittest.Until(t, "the gateways serve", func() bool { return f.leader() != nil })
		return nil
	})
}

// heldUpClock is the clock of a process that can be held up: hold makes it go on as if a while had passed.
type heldUpClock struct {
	clock.Boot
	held     atomic.Int64
	readings atomic.Int64
	then     func()
}

// Now implements clock.Clock.
func (c *heldUpClock) Now() time.Duration {
	if c.readings.Add(-1) == 0 {
		c.then()
	}
	return c.Boot.Now() + time.Duration(c.held.Load())
}

// atReading calls a function before the reading of the clock that follows n others.
func (c *heldUpClock) atReading(n int, f func()) {
	c.then = f
	c.readings.Store(int64(n + 1))
}

func (c *heldUpClock) hold(d time.Duration) { c.held.Add(int64(d)) }

// Guards against a request that is placed by a state that ends before its first byte, tried again at once as often as it may be, and
// refused.
func TestRequestsArePlacedByAStateThatLastsUntilTheyAreSent(t *testing.T) {
	g, _ := idleGateway(t)
	c := &heldUpClock{}
	g.opts.Clock = c
	reads := 0
	var f *freshness
	f = newFreshness(g, "targets", time.Second, func() error {
		reads++
		f.confirm(c.Now())
		return nil
	})
	c.hold(f.expiry() - c.Now() - sendReserve/2)
	f.await(t.Context())
	assert.Equal(t, reads, 1)
	assert.Assert(t, f.expiry()-c.Now() > sendReserve)
}

// heldUpFleet has a follower whose process is held up while the only target leaves and another one joins.
type heldUpFleet struct {
	*fleet
	clock    *heldUpClock
	follower *Gateway
	// left is when the hold-up had ended, which lasted longer than the target may get requests; nil before.
	left    atomic.Pointer[time.Time]
	leaving sync.Once
	// connecting is called before a connection to a target is opened; nil for nothing.
	connecting func()
}

func newHeldUpFleet(t *testing.T) *heldUpFleet {
	f := &heldUpFleet{fleet: newFleet(t, 0, plainConfig, plainTarget("p0")), clock: &heldUpClock{}}
	f.targets["p1"] = plainTarget("p1")
	f.knownWithin, f.proxied, f.fleet.clock = drainLimit, true, f.clock
	f.onDial = func() {
		if f.connecting != nil {
			f.connecting()
		}
	}
	for i := range 2 {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	for _, g := range f.gateways {
		f.awaitTarget("p0")
		waittest.Until(t, "the gateway is ready", g.synced.Load)
		if g != f.leader() {
			f.follower = g
		}
	}
	return f
}

// arrivalTime is within which requests arrive that were sent before a hold-up.
const arrivalTime = 100 * time.Millisecond

// holdUp makes the target leave, and holds the processes up for longer than the limit before they learn that.
func (f *heldUpFleet) holdUp() {
	f.leaving.Do(func() {
		for _, proxy := range f.proxies {
			proxy.setSilent(true)
		}
		f.targets["p1"].Register(f.store)
		f.targets["p0"].Drain(f.store)
		f.clock.hold(drainLimit + time.Second)
		time.Sleep(arrivalTime)
		now := time.Now()
		f.left.Store(&now)
	})
}

// arrivedSince returns how many requests have reached the target that left since the hold-up had ended.
func (f *heldUpFleet) arrivedSince() (n int) {
	left := f.left.Load()
	if left == nil {
		return 0 // the request has ended before
	}
	for _, a := range f.targets["p0"].Arrivals() {
		if a.At.After(*left) {
			n++
		}
	}
	return n
}

// heldUpSteps is at how many readings of the clock after a request began TestRequestsHeldUpAtAnyStep holds processes up.
const heldUpSteps = 12

// Guards against requests that reach a target that has left, because this process was held up after it last learned
// anything: before a request is placed, while it waits for a connection, or between any two readings of the clock.
func TestRequestsHeldUpAtAnyStepReachNoTargetThatHasLeft(t *testing.T) {
	read := func(f *heldUpFleet) int {
		return f.send(f.follower, call{method: http.MethodGet, path: "/read/1", key: -1}).status
	}
	// prepare is called before the request.
	steps := map[string]func(f *heldUpFleet){
		"before it is placed": func(f *heldUpFleet) { read(f); f.holdUp() },
		"at its connection":   func(f *heldUpFleet) { f.connecting = f.holdUp },
	}
	for n := range heldUpSteps {
		steps[fmt.Sprintf("at reading %d of the clock", n+1)] = func(f *heldUpFleet) {
			read(f)
			f.clock.atReading(n, f.holdUp)
		}
	}
	for name, prepare := range steps {
		t.Run(name, func(t *testing.T) {
			retryOnStall(t, func() error {
				f := newHeldUpFleet(t)
				prepare(f)
				began := time.Now()
				status := read(f)
				f.leaving.Do(func() {}) // from now on nothing is held up
				if took := time.Since(began); took > time.Second {
					return errors.Errorf("answered after %v", took)
				}
				if n := f.arrivedSince(); n > 0 {
					return errors.Errorf("%d requests reached the target after it had left; status %d", n, status)
				}
				assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "status %d", status)
				return nil
			})
		})
	}
}

// Guards against routers that refuse requests or hold them for long where nobody can confirm their state: while the
// store answers neither them nor the leader.
func TestRequestsGoOnWhileNobodyConfirmsTheState(t *testing.T) {
	retryOnStall(t, func() error {
		f := newHeldUpFleet(t)
		for _, proxy := range f.proxies {
			proxy.setSilent(true)
		}
		for _, link := range f.links {
			link.cut.Store(true)
		}
		f.clock.hold(drainLimit)
		for i := range 5 {
			began := time.Now()
			a := f.send(f.follower, call{method: http.MethodGet, path: "/read/1", key: -1})
			if took := time.Since(began); a.status != http.StatusOK || took > 2*maxStateWait {
				return errors.Errorf("request %d: status %d after %v", i, a.status, took)
			}
		}
		return nil
	})
}

// Guards against requests that are served by an old configuration, because this process was held up after it last
// learned anything.
func TestRequestAfterAHoldUpIsServedByTheNewestConfiguration(t *testing.T) {
	retryOnStall(t, func() error {
		f := newHeldUpFleet(t)
		for _, proxy := range f.proxies {
			proxy.setSilent(true)
		}
		f.configure(strings.ReplaceAll(plainConfig, "/read/", "/look/"))
		f.clock.hold(drainLimit + time.Second)
		if a := f.send(f.follower, call{method: http.MethodGet, path: "/look/1", key: -1}); a.status != http.StatusOK {
			return errors.Errorf("a new route: status %d", a.status)
		}
		if a := f.send(f.follower, call{method: http.MethodGet, path: "/read/1", key: -1}); a.status != http.StatusNotFound {
			return errors.Errorf("a route that was dropped: status %d", a.status)
		}
		return nil
	})
}

// Guards against requests that are written after their right to be sent has lapsed, and against a connection that is given up
// for one that lapsed before it was written.
func TestRequestWhoseRightHasLapsedIsNotWritten(t *testing.T) {
	dials := atomic.Int32{}
	f := newFleet(t, 0, plainConfig, plainTarget("p0"))
	f.onDial = func() { dials.Add(1) }
	g := f.start(routerName(0))
	waittest.Until(t, "the gateway is ready", g.synced.Load)
	lapsed := atomic.Bool{}
	limit := g.pools.sendLimit
	g.pools.sendLimit = func(t *directory.Target, started bool) time.Duration {
		if lapsed.Load() && !started {
			return 0
		}
		return limit(t, started)
	}
	read := func() int { return f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1}).status }
	assert.Equal(t, read(), http.StatusOK)
	lapsed.Store(true)
	assert.Equal(t, read(), http.StatusServiceUnavailable)
	lapsed.Store(false)
	assert.Equal(t, read(), http.StatusOK)
	before := dials.Load()
	g.sends.setLeaving(map[keyspace.Holder]time.Time{{Target: "p0", StartUnixMilli: 1}: time.Now().Add(-drainLimit)})
	assert.Equal(t, read(), http.StatusServiceUnavailable)
	g.sends.setLeaving(nil)
	assert.Equal(t, read(), http.StatusOK)
	assert.Equal(t, dials.Load(), before)
	assert.Equal(t, len(f.targets["p0"].Arrivals()), 3)
}
