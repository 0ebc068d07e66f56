package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/routes"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// The platform's limit of retries, as in the options of fleet.start.
const (
	testRetryShare  = 0.2
	testRetryMin    = 60
	testRetryWindow = 10 * time.Second
)

// retryLoad sends requests through routers to targets that refuse all of them, and records when.
type retryLoad struct {
	f *fleet

	mu       sync.Mutex
	sent     []time.Time
	arrived  map[string]bool
	retries  []time.Time
	gateways []*Gateway
}

// newRetryLoad makes the targets of the fleet refuse all requests.
func newRetryLoad(f *fleet) *retryLoad {
	l := &retryLoad{f: f, arrived: map[string]bool{}, gateways: slices.Clone(f.gateways)}
	for _, target := range f.targets {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			l.recordArrival(r.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	return l
}

func (l *retryLoad) recordArrival(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrived[id] {
		l.retries = append(l.retries, time.Now())
	}
	l.arrived[id] = true
}

// run sends a request through each router every interval until the time is over.
func (l *retryLoad) run(d, interval time.Duration) {
	var sending sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		l.mu.Lock()
		gateways := slices.Clone(l.gateways)
		l.mu.Unlock()
		for _, g := range gateways {
			l.mu.Lock()
			l.sent = append(l.sent, time.Now())
			l.mu.Unlock()
			sending.Add(1)
			go func() {
				defer sending.Done()
				l.f.send(g, call{method: http.MethodGet, path: "/read/x", key: -1, left: time.Second})
			}()
		}
	}
	sending.Wait()
}

// restart crashes the router at an index and starts another one under its name.
func (l *retryLoad) restart(i int) {
	l.mu.Lock()
	old := l.gateways[i]
	l.mu.Unlock()
	abandon(old)
	g := l.f.start(old.opts.Name)
	waittest.Until(l.f.t, "the started router is ready", g.synced.Load)
	l.mu.Lock()
	l.gateways[i] = g
	l.mu.Unlock()
}

// check fails the test if any window has more retries than the platform allows.
func (l *retryLoad) check() {
	l.f.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Assert(l.f.t, len(l.retries) > 0, "nothing was retried")
	for _, from := range l.retries {
		n := countBetween(l.retries, from, from.Add(testRetryWindow))
		requests := max(countBetween(l.sent, from, from.Add(testRetryWindow)), countBetween(l.sent, from.Add(-testRetryWindow), from),
			countBetween(l.sent, from.Add(-testRetryWindow/2), from.Add(testRetryWindow/2)))
		limit := testRetryShare*float64(requests) + testRetryMin
		assert.Assert(l.f.t, float64(n) <= limit, "%d retries in a window with %d requests, %v allowed", n, requests, limit)
	}
}

func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func refusingFleet(t *testing.T, routers int) *fleet {
	var targets []*platformtest.Target
	for i := range 4 {
		targets = append(targets, plainTarget(fmt.Sprintf("p%d", i)))
	}
	f := newFleet(t, routers, plainConfig, targets...)
	for _, g := range f.gateways {
		waittest.Until(t, "the routers are counted", func() bool { return g.countedRouters() == routers })
	}
	return f
}

// Guards against retries over the limit because each start of a router gives it a new share of them.
func TestRestartsOfRoutersAddNoRetries(t *testing.T) {
	const routers = 4
	l := newRetryLoad(refusingFleet(t, routers))
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(testRetryWindow, 100*time.Millisecond)
	}()
	for restarts := 0; ; restarts++ {
		select {
		case <-done:
			l.check()
			return
		case <-time.After(200 * time.Millisecond):
			l.restart(restarts % routers)
		}
	}
}

// Guards against retries over the limit because routers that are cut off from the store are no longer counted,
// and all others divide the limit among fewer.
func TestRoutersThatAreNoLongerCountedAddNoRetries(t *testing.T) {
	const routers = 6
	f := refusingFleet(t, routers)
	leader := f.leader()
	for _, g := range f.gateways {
		waittest.Until(t, "it is subscribed or leads", func() bool { return g == leader || g.subscription.isSubscribed() })
	}
	l := newRetryLoad(f)
	go func() {
		time.Sleep(testRetryWindow / 10)
		for _, g := range f.gateways {
			if g != leader {
				f.links[g.opts.Name].cut.Store(true)
				f.store.Delete(routerPrefix + g.opts.Name)
			}
		}
	}()
	l.run(testRetryWindow, 100*time.Millisecond)
	l.check()
}

// Guards against a router that opens as many connections to a target as that accepts from all routers, because
// it has not counted them yet or their records were lost.
func TestConnectionsAreDividedAmongRoutersThatAreNotCounted(t *testing.T) {
	uncounted := &Gateway{}
	uncounted.view.Store(newView(&routes.Config{Services: []routes.Service{{Name: "any", MaxConns: 40}}}, nil))
	assert.Equal(t, uncounted.connLimit("any"), connsPerRouter(40, assumedRouters))
	f := newFleet(t, 1, plainConfig, plainTarget("p"))
	g := f.gateways[0]
	waittest.Until(t, "the router is counted", func() bool { return g.countedRouters() == 1 })
	const maxConns = 40 // of plainConfig
	assert.Equal(t, g.connLimit("any"), connsPerRouter(maxConns, 1))
	g.setRouters(10)
	g.setRouters(1)
	assert.Equal(t, g.connLimit("any"), connsPerRouter(maxConns, 10))
}
