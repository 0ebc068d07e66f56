package router

import (
	"sync"
	"time"

	"tarragongw/core/ownership"
)

// survey counts what is not served. It is worked out anew only where the
// configuration or the routing table changed.
type survey struct {
	// units is the number of all units, and unserved of those without an owner or
	// whose owner has no grantor, by service.
	units    int
	unserved map[string]int
	// orphans are the targets without a grantor, in order of name.
	orphans []string
	// duties is the number of targets whose grantor this router is.
	duties int
}

func (s *survey) unservedUnits() int {
	var n int
	for _, count := range s.unserved {
		n += count
	}
	return n
}

// surveyor keeps the last survey and since when something is unserved.
type surveyor struct {
	r *Router

	mu    sync.Mutex
	view  *view
	table *ownership.Table
	last  *survey
	// since is when the first of what is unserved now was noticed; zero: nothing is.
	since time.Time
	// total is the time in which something was unserved.
	total time.Duration
}

// now returns the present survey and since when something is unserved.
func (s *surveyor) now() (*survey, time.Time) {
	v, table := s.r.view.Load(), s.r.table.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil || s.view != v || s.table != table {
		s.view, s.table, s.last = v, table, s.r.survey(v, table)
		s.note(time.Now())
	}
	return s.last, s.since
}

// note keeps the time in which something is unserved.
func (s *surveyor) note(now time.Time) {
	bad := s.last.unservedUnits() > 0 || len(s.last.orphans) > 0
	switch {
	case bad && s.since.IsZero():
		s.since = now
	case !bad && !s.since.IsZero():
		s.total += now.Sub(s.since)
		s.since = time.Time{}
	}
}

// unavailable returns the time in which something was unserved, as far as this
// router saw.
func (s *surveyor) unavailable() time.Duration {
	_, since := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if since.IsZero() {
		return s.total
	}
	return s.total + time.Since(since)
}

func (r *Router) survey(v *view, table *ownership.Table) *survey {
	out := &survey{unserved: make(map[string]int)}
	if v == nil {
		return out
	}
	m := v.model()
	for i := range m.Targets {
		grantor := table.Grantor(m.Targets[i].Name)
		if grantor.Router == "" {
			out.orphans = append(out.orphans, m.Targets[i].Name)
		}
		if grantor.Router == r.self.Name && grantor.Incarnation == r.self.Incarnation {
			out.duties++
		}
	}
	for i := range m.Services {
		name := m.Services[i].Name
		for _, unit := range v.compiled.Units(name) {
			out.units++
			if owner, grantor := table.Lookup(unit); owner.Target == "" || grantor.Router == "" {
				out.unserved[name]++
			}
		}
	}
	return out
}
