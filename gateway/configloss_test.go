package gateway

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"tarragongw/internal/waittest"
)

// configApply is the time within which a change of the configuration is in force at all routers.
const configApply = 2 * time.Second

// newLossyFleet starts gateways whose connections to the store and to each other can be cut.
func newLossyFleet(t *testing.T, gateways int) *fleet {
	f := newFleet(t, 0, plainConfig, plainTarget("p0"), plainTarget("p1"))
	f.knownWithin, f.proxied = configApply, true
	for i := range gateways {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	return f
}

// awaitSubscribed waits until one router leads and all others follow it.
func (f *fleet) awaitSubscribed() {
	f.t.Helper()
	waittest.Until(f.t, "a router leads", func() bool { return f.leader() != nil })
	for _, g := range f.gateways {
		waittest.Until(f.t, "it is subscribed or leads", func() bool { return g == f.leader() || g.subscription.isSubscribed() })
	}
}

// awaitVersion waits until the last configuration is in force at a gateway, and returns how long that took
// since a time.
func (f *fleet) awaitVersion(g *Gateway, since time.Time) time.Duration {
	f.t.Helper()
	waittest.Until(f.t, "the configuration is in force", func() bool { return int(g.view.Load().config.Version) == f.version })
	return time.Since(since)
}

// Guards against a change that comes into force too late because the leader first loses the store and then routers
// no longer hear each other: the wait for each next step began anew.
func TestChangeIsInForceInTimeWhereFeedsAreLostInSteps(t *testing.T) {
	retryOnStall(t, func() error {
		f := newLossyFleet(t, 4)
		leader := f.leader()
		contact := func() time.Time {
			leader.subscription.mu.Lock()
			defer leader.subscription.mu.Unlock()
			return *leader.subscription.targetsWatch.lastContact.Load()
		}
		before := contact()
		waittest.Until(t, "the store answers the leader", func() bool { return contact().After(before) })
		f.links[leader.opts.Name].cut.Store(true)
		changed := time.Now()
		f.configure(plainConfig)
		time.Sleep(time.Until(contact().Add(freshnessLimit - 50*time.Millisecond)))
		for _, proxy := range f.proxies {
			proxy.setSilent(true)
		}
		for _, g := range f.gateways {
			if g == leader {
				continue
			}
			if took := f.awaitVersion(g, changed); took > configApply {
				return errors.Errorf("in force at %s after %v", g.opts.Name, took)
			}
		}
		return nil
	})
}
