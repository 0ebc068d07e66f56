package router

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"tarragongw/core/model"
	"tarragongw/target"
)

// upstreams keeps the state of the targets that this router has to do with: those
// that it sends to or is the grantor of. A router knows of thousands of targets and
// sends to few; state for each, and duties that look at each, would take more memory
// and processor time than all else.
//
// State is made when it is first held, and dropped once it rested long enough (see
// healthDuty.rest). What was dropped is as if it had never been made.
type upstreams struct {
	r *Router
	// living is the state by target; a map is not changed once stored.
	living atomic.Pointer[map[string]*upstream]

	// mu guards the steps that change living or put a view in force, so that nothing is
	// made of a configuration that is in force no more.
	mu     sync.Mutex
	closed bool
}

func newUpstreams(r *Router) *upstreams {
	s := &upstreams{r: r}
	s.living.Store(&map[string]*upstream{})
	return s
}

// all returns what is kept by target; it must not be changed, and belongs to nobody.
func (s *upstreams) all() map[string]*upstream { return *s.living.Load() }

// hold returns a target's state and keeps it from being dropped until release; nil
// where the target is not configured.
func (s *upstreams) hold(name string) *upstream {
	if u := s.all()[name]; u != nil && u.hold() {
		return u
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.all()[name]; u != nil && u.hold() {
		return u
	}
	v := s.r.view.Load()
	if v == nil || s.closed {
		return nil
	}
	u := s.build(v, name, nil)
	if u == nil {
		return nil
	}
	u.hold()
	next := maps.Clone(s.all())
	next[name] = u
	s.living.Store(&next)
	return u
}

// settled returns a target's state once whoever makes, replaces or drops it is through,
// or nil.
//
// What would go wrong without the lock: state is made and its gate opened under a duty
// that ends just then; who ends it finds no state yet, and the gate stays open.
func (s *upstreams) settled(name string) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all()[name]
}

// build makes the state of a target under a view, with its gate as duty, verdict and
// mark ask for; nil where the target is not configured. prior is what it takes the
// place of. mu is held.
func (s *upstreams) build(v *view, name string, prior *upstream) *upstream {
	spec := v.compiled.Target(name)
	if spec == nil {
		return nil
	}
	u, err := newUpstream(spec, v.compiled.Service(spec.Service), s.r.dialling())
	if err != nil {
		// newView checked the same; the target is not reached until it is configured anew.
		s.r.log.Error("no connections to a target", "target", name, "error", err)
		return nil
	}
	if prior != nil {
		u.flights, u.loads = prior.flights, prior.loads
	}
	s.r.settle(u)
	return u
}

// configure puts a view in force and makes anew what no longer fits it. It returns what
// is needed no more, and the targets whose state was made anew for the same server.
func (s *upstreams) configure(next *view) (gone []*upstream, anew []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.view.Store(next)
	living := maps.Clone(s.all())
	for name, old := range living {
		spec := next.compiled.Target(name)
		if spec != nil && old.fits(spec) {
			continue
		}
		gone = append(gone, old)
		delete(living, name)
		u := s.build(next, name, old)
		if u == nil {
			continue
		}
		living[name] = u
		if sameServer(&old.spec, spec) {
			anew = append(anew, name)
		}
	}
	s.living.Store(&living)
	return gone, anew
}

// drop ends a target's state unless it is used, or this router is the target's grantor,
// and reports whether it did.
func (s *upstreams) drop(name string) bool {
	s.mu.Lock()
	u := s.all()[name]
	if u == nil || !u.end() {
		s.mu.Unlock()
		return false
	}
	// From here on nobody can hold it: who begins a duty or a request waits for the lock.
	if s.r.gate.Load().Term(name) != 0 || u.used.Load() {
		u.revive()
		s.mu.Unlock()
		return false
	}
	next := maps.Clone(s.all())
	delete(next, name)
	s.living.Store(&next)
	s.mu.Unlock()
	u.close()
	return true
}

// close ends all connections; nothing is made afterwards.
func (s *upstreams) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, u := range s.all() {
		u.close()
	}
}

// checkTargets returns an error where a target's connections can't be as configured.
func checkTargets(m *model.Model) error {
	for i := range m.Targets {
		spec := &m.Targets[i]
		cfg := target.PoolConfig{Address: spec.Address, MaxConns: spec.Connections}
		if err := cfg.Check(); err != nil {
			return errors.Wrapf(err, "target %s", spec.Name)
		}
	}
	return nil
}
