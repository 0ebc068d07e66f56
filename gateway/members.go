package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/kv"
)

const (
	// memberTTL is how long a router that ended without a word is still counted. The
	// count only divides what all routers share, so it may lag.
	memberTTL = 30 * time.Second
	// The renewal is also what shows that the store answers this router: watches that it
	// never answered would else be waited for to their end.
	memberRenewInterval = time.Second
	// subscribedRenewInterval is that of a router that is fed: it waits for no watch, and its leader says
	// when the store doesn't answer.
	subscribedRenewInterval = 8 * time.Second
	// renewJitter is the part by which that is shortened at random, so that a fleet that
	// started together doesn't call together.
	renewJitter = 0.25
	// probeEvery is how often a store that doesn't answer is asked, on average, and maxProbe
	// the longest such pause: the leader that a router waits for may be cut off for longer
	// than the router, which must then find the store by itself.
	probeEvery = 400 * time.Millisecond
	maxProbe   = 800 * time.Millisecond
)

// members keeps this router's own record in the store, by which the others count it.
type members struct {
	g        *Gateway
	renewals chan struct{}
	// mu guards the lease and left, which says that the record is to stay away; what a
	// router that stops would write anew counts it for as long as it lasts.
	mu    sync.Mutex
	lease kv.LeaseID
	left  bool
	// failing says that the last call failed, probe how long a router that follows a leader
	// waits before the next.
	failing bool
	probe   time.Duration
}

func newMembers(g *Gateway) *members {
	return &members{g: g, renewals: make(chan struct{}, 1), probe: probeEvery}
}

// renewNow has the record renewed at once, because it may be gone or the store away.
func (m *members) renewNow() {
	select {
	case m.renewals <- struct{}{}:
	default:
	}
}

// run keeps the record until ctx ends, and then removes it.
func (m *members) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.renew(ctx)
		m.g.era()
		m.recordResult(err)
		pause := memberRenewInterval
		if m.g.subscription.isSubscribed() {
			pause = time.Duration(float64(subscribedRenewInterval) * (1 - renewJitter*rand.Float64()))
		}
		if m.failing {
			pause = m.probePause()
		}
		select {
		case <-time.After(pause):
		case <-m.renewals:
		case <-ctx.Done():
		}
	}
}

// probePause is the pause before a store that doesn't answer is asked again. Refused calls
// cost as much as others; a router that follows a leader is told when the store is back, and
// asks less and less often.
func (m *members) probePause() time.Duration {
	pause := probeEvery
	if m.g.subscription.waits() {
		pause = min(m.probe, maxProbe)
		m.probe = 2 * pause
	}
	return time.Duration(float64(pause) * (0.5 + rand.Float64()))
}

// recordResult opens or shuts the gate for all other calls by how this one ended.
func (m *members) recordResult(err error) {
	if err != nil {
		if !m.failing {
			m.g.log.Warn("own record not kept", "err", err)
		}
		m.failing = true
		m.g.gate.shut()
		return
	}
	m.g.gate.open()
	m.probe = probeEvery
	if m.failing {
		m.failing = false
		m.g.subscription.rewatch()
	}
}

func (m *members) renew(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return nil
	}
	if m.lease != (kv.LeaseID{}) {
		err := m.g.storeFor(forOwn).KeepLease(ctx, m.lease)
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		m.lease = kv.LeaseID{}
	}
	lease, _, err := m.g.storeFor(forOwn).NewLease(ctx, max(memberTTL, m.g.opts.LeaseMin))
	if err != nil {
		return err
	}
	_, _, err = m.g.storeFor(forOwn).Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: routerPrefix + m.g.opts.Name, Value: []byte(m.g.opts.DataCentre), Lease: lease}}})
	if err != nil {
		return err
	}
	m.lease = lease
	return nil
}

// leave removes the record.
func (m *members) leave(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return
	}
	m.left = true
	if m.lease == (kv.LeaseID{}) {
		return
	}
	if err := m.g.storeFor(forOwn).EndLease(ctx, m.lease); err != nil {
		m.g.log.Warn("own record not removed; it lapses", "err", err)
	}
}
