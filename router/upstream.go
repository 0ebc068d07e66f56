package router

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/admit"
	"tarragongw/core/admission"
	"tarragongw/core/model"
	"tarragongw/core/request"
	"tarragongw/target"
)

// upstream is what this router keeps for one target that it has to do with: the
// connections, the admission gate, and the work in flight.
type upstream struct {
	spec    model.Target
	pool    *target.Pool
	control *target.Control
	gate    *admit.Gate
	// flights is the work in flight; state that is made anew shares it with what was
	// before, for the work goes on.
	flights *flights
	// load is by class: batch work that waits does not keep interactive work waiting, so
	// it must not drive it to the other targets.
	load [request.Batch + 1]loadMeter
	// direct and choice are the evidence for the two sets of the health duty.
	direct evidence
	choice evidence
	// loads is what each unit takes of the target's slots.
	loads *unitLoads
	// granted says that an order was answered since the health duty's last tick.
	granted atomic.Bool
	pacing  pacing
	// settling guards the steps that open or close the gate.
	settling sync.Mutex
	// users counts who holds the state; ended means that it can be held no more.
	users atomic.Int64
	// used says that it was held since the health duty last looked.
	used atomic.Bool
	// restsSince is when the health duty found it unused first; it is that duty's alone.
	restsSince time.Time
}

// ended is the number of users of state that was dropped or replaced.
const ended = -1

// hold keeps the state until release. It reports false where the state has ended.
func (u *upstream) hold() bool {
	for {
		n := u.users.Load()
		if n == ended {
			return false
		}
		if u.users.CompareAndSwap(n, n+1) {
			break
		}
	}
	if !u.used.Load() {
		u.used.Store(true)
	}
	return true
}

// release gives back what hold kept.
func (u *upstream) release() { u.users.Add(-1) }

// end keeps the state from being held, unless somebody does, and reports whether nobody
// does. revive takes it back.
func (u *upstream) end() bool { return u.users.CompareAndSwap(0, ended) }

func (u *upstream) revive() { u.users.Store(0) }

// newUpstream opens nothing yet; connections are opened as work comes.
func newUpstream(spec *model.Target, service *model.Service, dialling *dialling) (*upstream, error) {
	timers := dialling.timers
	pool, err := target.New(target.PoolConfig{
		Address:         spec.Address,
		MaxConns:        spec.Connections,
		MaxAge:          timers.ConnAge,
		MaxIdle:         timers.ConnIdle,
		DialTimeout:     timers.Dial,
		ProgressTimeout: service.ProgressTimeout,
		TLS:             dialling.tlsFor(spec),
		Accepts:         dialling.acceptsFor(spec),
		Dial:            dialling.dialFor(spec),
	})
	if err != nil {
		return nil, err
	}
	control, err := target.NewControl(pool)
	if err != nil {
		return nil, err
	}
	gate := admit.New(admission.Config{
		Slots:       spec.Slots,
		QueueLength: service.QueueLength,
		BatchShare:  service.BatchShare,
	})
	return &upstream{
		spec: *spec, pool: pool, control: control, gate: gate, flights: new(flights), loads: newUnitLoads(),
		pacing: newPacing(dialling.uploadRate, service.Timeout),
	}, nil
}

// close ends the connections; work in flight is cut off.
func (u *upstream) close() {
	u.gate.Close()
	u.control.Close()
	u.pool.Close()
}

// fits reports whether the upstream can go on under a new configuration. The
// drain mark and labels do not concern it.
func (u *upstream) fits(spec *model.Target) bool {
	old, now := u.spec, *spec
	old.Drain, now.Drain = false, false
	old.Labels, now.Labels = nil, nil
	return reflect.DeepEqual(old, now)
}
