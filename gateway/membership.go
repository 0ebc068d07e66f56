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
	// memberTTL is how long a crashed router is still counted. The count may lag, because it is only
	// used to divide limits among all routers.
	memberTTL = 30 * time.Second
	// memberRenewInterval is how often a router without a feed renews its record. The renewal also
	// shows whether the store answers this router; otherwise watches that the store never answers
	// would only be noticed when they time out.
	memberRenewInterval = time.Second
	// subscribedRenewInterval is the interval of a router with a feed: it has no pending watches, and
	// its leader reports when the store doesn't answer.
	subscribedRenewInterval = 8 * time.Second
	// renewJitter is the largest share by which that interval is shortened at random, to spread the
	// calls of routers that were started together.
	renewJitter = 0.25
	// maxRecordTries bounds how often the record is written at once because another one was there.
	maxRecordTries = 3
	// probeInterval is the average pause between calls to a store that doesn't answer, and
	// maxProbePause its upper limit for a router that learns in another way that the store answers
	// again: by its leader, or by the renewals of its own lease if it leads. The leader may be cut
	// off for longer than the router, which must then find out by itself.
	probeInterval = 400 * time.Millisecond
	maxProbePause = 800 * time.Millisecond
)

// membership keeps this router's own record in the store, by which the others count it.
type membership struct {
	g *Gateway
	// renewals and probes ask for a renewal, see renewNow and probeNow.
	renewals, probes chan struct{}
	// mu guards lease, its ttl and removed. removed is set once the record was removed for good: if a renewal
	// wrote it again, the stopped router would be counted until the record expires.
	mu      sync.Mutex
	lease   kv.LeaseID
	ttl     time.Duration
	removed bool
	// failing is set if the last call failed; nextProbePause is the next pause of a router with a
	// connected leader.
	failing        bool
	nextProbePause time.Duration
}

func newMembership(g *Gateway) *membership {
	return &membership{g: g, renewals: make(chan struct{}, 1), probes: make(chan struct{}, 1), nextProbePause: probeInterval}
}

// renewNow triggers an immediate renewal, because the record may be gone or the store reachable again.
func (m *membership) renewNow() { notify(m.renewals) }

// probeNow does the same because the store may be unreachable, unless that is known.
func (m *membership) probeNow() { notify(m.probes) }

// notify wakes who waits for a channel of length one, now or the next time that it waits.
func notify(requests chan struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// drain takes back a notify that nobody has noticed.
func drain(requests chan struct{}) {
	select {
	case <-requests:
	default:
	}
}

// run keeps the record until ctx ends, and then removes it.
func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		drain(m.probes) // this call answers them
		err := m.renew(ctx)
		m.g.era()
		m.recordResult(err)
		pause, probes := memberRenewInterval, m.probes
		if m.g.subscription.isSubscribed() {
			pause = time.Duration(float64(subscribedRenewInterval) * (1 - renewJitter*rand.Float64()))
		}
		if m.failing {
			// Each call that the store has left without an answer asks for a probe.
			pause, probes = m.probePause(), nil
		}
		select {
		case <-time.After(pause):
		case <-m.renewals:
		case <-probes:
		case <-ctx.Done():
		}
	}
}

// probePause returns the pause before the next call to a store that doesn't answer. Refused calls cost
// as much as others. A router with a connected leader is told when the store answers again, and
// doubles its pauses up to maxProbePause.
func (m *membership) probePause() time.Duration {
	pause := probeInterval
	if m.g.leading.Load() || m.g.subscription.hasConnectedLeader() {
		pause = min(m.nextProbePause, maxProbePause)
		m.nextProbePause = 2 * pause
	}
	return time.Duration(float64(pause) * (0.5 + rand.Float64()))
}

// recordResult opens or shuts the gate for all other calls, depending on the result of this one.
func (m *membership) recordResult(err error) {
	if err != nil {
		if !m.failing {
			m.g.log.Warn("own record not renewed", "err", err)
		}
		m.failing = true
		m.g.gate.shut()
		return
	}
	m.g.gate.open()
	m.nextProbePause = probeInterval
	if m.failing {
		m.failing = false
		m.g.subscription.restartWatches()
	}
}

func (m *membership) renew(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed {
		return nil
	}
	sent := m.g.opts.Clock.Now()
	if m.lease != (kv.LeaseID{}) {
		err := m.g.storeFor(purposeOwnRecord).RenewLease(ctx, m.lease)
		if err == nil {
			m.g.share.recorded(sent + m.ttl)
		}
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		m.lease = kv.LeaseID{}
		m.g.share.unrecorded()
		sent = m.g.opts.Clock.Now()
	}
	lease, ttl, err := m.g.storeFor(purposeOwnRecord).NewLease(ctx, max(memberTTL, m.g.opts.LeaseMin))
	if err != nil {
		return err
	}
	if err := m.write(ctx, lease); err != nil {
		return err
	}
	m.lease, m.ttl = lease, ttl
	m.g.share.recorded(sent + ttl)
	return nil
}

// write writes the record, with the lease, in place of the one that is in the store. A write that the store carries out late, of
// this process or of a former one of the router, then finds another record and has no effect. Otherwise the record would hang on
// a lease that nobody renews, and be gone for good with it.
func (m *membership) write(ctx context.Context, lease kv.LeaseID) error {
	own := kv.Put{Key: routerPrefix + m.g.opts.Name, Value: m.g.ownRecord(), Lease: lease}
	present := kv.Condition{Key: own.Key}
	var err error
	for range maxRecordTries {
		var current []kv.Record
		_, current, err = m.g.storeFor(purposeOwnRecord).Commit(ctx, kv.Txn{Conditions: []kv.Condition{present}, Puts: []kv.Put{own}})
		if !errors.Is(err, kv.ErrConflict) || len(current) == 0 {
			return err
		}
		present.Revision = current[0].Revision
	}
	return err
}

// remove removes the record for good.
func (m *membership) remove(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed {
		return
	}
	m.removed = true
	m.g.share.unrecorded()
	if m.lease == (kv.LeaseID{}) {
		return
	}
	if err := m.g.storeFor(purposeOwnRecord).EndLease(ctx, m.lease); err != nil {
		m.g.log.Warn("own record not removed; it expires later", "err", err)
	}
}
