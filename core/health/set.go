package health

import (
	"iter"
	"slices"
	"sort"
	"time"
)

// Set judges the targets of one service.
type Set struct {
	cfg Config
	// targets are sorted by name, so that equal events give equal verdicts.
	targets []*target
	// size is the number of the service's targets, including those that are not judged.
	size        int
	changes     []Change
	commonCause bool
}

// NewSet returns an empty set.
func NewSet(cfg Config) *Set { return &Set{cfg: cfg.withDefaults()} }

// Add begins to judge a target; a cold one starts with a low weight. A target that is
// already in the set is not changed.
func (s *Set) Add(now time.Time, name string, cold bool) {
	i, found := s.find(name)
	if found {
		return
	}
	t := &target{name: name, since: now, ejection: s.cfg.Ejection, lastSuccess: now}
	if cold {
		t.state = SlowStart
	}
	s.targets = slices.Insert(s.targets, i, t)
}

// SetSize sets the number of the service's targets. Targets that were not added count in
// shares of the service's targets as if nothing were known against them.
func (s *Set) SetSize(targets int) { s.size = targets }

func (s *Set) total() int { return max(s.size, len(s.targets)) }

// Names iterates over the names of the judged targets, in order.
func (s *Set) Names() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, t := range s.targets {
			if !yield(t.name) {
				return
			}
		}
	}
}

// Clean reports whether there is no evidence against a target, so that removing it
// changes no verdict. A target that is not judged has none.
func (s *Set) Clean(now time.Time, name string) bool {
	t := s.get(name)
	return t == nil || s.clean(now, t)
}

func (s *Set) clean(now time.Time, t *target) bool {
	failing := t.consecutiveFailures > 0 || t.stalls > 0 || t.connectFailures > 0 || !t.doubtSince.IsZero()
	_, samples := t.rate(now)
	return t.state == Healthy && !t.draining && !failing && samples == 0 &&
		t.ejection <= s.cfg.Ejection && t.currentPenalty(now, s.cfg.HintHalfLife) < negligiblePenalty
}

// negligiblePenalty is the penalty for reports below which it is ignored.
const negligiblePenalty = 1e-3

// Prune removes the targets without evidence against them for which kept is false.
func (s *Set) Prune(now time.Time, kept func(name string) bool) {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool { return !kept(t.name) && s.clean(now, t) })
}

// Remove stops judging a target.
func (s *Set) Remove(name string) {
	if i, found := s.find(name); found {
		s.targets = slices.Delete(s.targets, i, i+1)
	}
}

func (s *Set) find(name string) (int, bool) {
	return sort.Find(len(s.targets), func(i int) int {
		switch {
		case name < s.targets[i].name:
			return -1
		case name > s.targets[i].name:
			return 1
		}
		return 0
	})
}

func (s *Set) get(name string) *target {
	if i, found := s.find(name); found {
		return s.targets[i]
	}
	return nil
}

// Result records the result of a request; an unknown target is ignored.
func (s *Set) Result(now time.Time, name string, r Result) {
	if t := s.get(name); t != nil {
		t.record(now, r)
	}
}

// Probe records the result of a probe on a fresh connection.
func (s *Set) Probe(now time.Time, name string, ok bool) {
	if t := s.get(name); t != nil {
		t.probe(now, ok)
	}
}

// Report records a target's report about itself.
func (s *Set) Report(now time.Time, name string, r Report) {
	if t := s.get(name); t != nil {
		t.report(now, r, s.cfg.HintHalfLife)
	}
}

// SetDraining marks a target as draining or no longer draining.
func (s *Set) SetDraining(name string, draining bool) {
	if t := s.get(name); t != nil {
		t.draining = draining
	}
}

// WantsProbe reports whether a probe on a fresh connection is needed to decide on a
// suspected failure.
func (s *Set) WantsProbe(name string) bool {
	t := s.get(name)
	return t != nil && !t.doubtSince.IsZero()
}

// State returns the verdict on a target; an unknown target is Lost.
func (s *Set) State(name string) State {
	if t := s.get(name); t != nil {
		return t.state
	}
	return Lost
}

// Latency returns the mean latency of answered requests; zero if there were none.
func (s *Set) Latency(name string) time.Duration {
	if t := s.get(name); t != nil {
		return time.Duration(t.latency * float64(time.Second))
	}
	return 0
}

// CommonCause reports whether so many targets are unreachable at once that none is declared
// lost.
func (s *Set) CommonCause() bool { return s.commonCause }

// Weight returns the share of its normal work that a target should get, from 0 to 1.
func (s *Set) Weight(now time.Time, name string) float64 {
	t := s.get(name)
	if t == nil {
		return 0
	}
	trust := 1 - t.currentPenalty(now, s.cfg.HintHalfLife)
	switch t.state {
	case Healthy:
		return trust
	case Suspect:
		return trust * suspectWeight
	case SlowStart:
		return trust * s.slowStartWeight(now, t)
	default:
		return 0
	}
}

func (s *Set) slowStartWeight(now time.Time, t *target) float64 {
	part := now.Sub(t.since).Seconds() / s.cfg.SlowStart.Seconds()
	return min(max(part, s.cfg.SlowStartFloor), 1)
}

// Tick judges all targets and returns the changes in order of name; the slice is valid
// until the next call. Call it about every 100 ms.
func (s *Set) Tick(now time.Time) []Change {
	s.changes = s.changes[:0]
	median := s.medianLatency()
	s.commonCause = s.unreachableShare(now) > s.cfg.MaxLost
	for _, t := range s.targets {
		s.judge(now, t, median)
	}
	s.eject(now)
	slices.SortStableFunc(s.changes, func(a, b Change) int {
		if a.Target < b.Target {
			return -1
		}
		if a.Target > b.Target {
			return 1
		}
		return 0
	})
	return s.changes
}

// unreachableShare returns the share of the service's targets that are lost or whose
// connections fail; zero if there is at most one of them.
func (s *Set) unreachableShare(now time.Time) float64 {
	unreachable := 0
	for _, t := range s.targets {
		if t.state == Lost || (t.connectFailures > 0 && now.After(t.lastSuccess)) {
			unreachable++
		}
	}
	if unreachable <= 1 {
		return 0
	}
	return float64(unreachable) / float64(s.total())
}

func (s *Set) medianLatency() float64 {
	var seen []float64
	for _, t := range s.targets {
		if t.latencySamples >= s.cfg.MinSamples {
			seen = append(seen, t.latency)
		}
	}
	if len(seen) < 3 {
		return 0
	}
	slices.Sort(seen)
	return seen[len(seen)/2]
}

// judge reaches all verdicts except ejection, which is limited over all targets.
func (s *Set) judge(now time.Time, t *target, median float64) {
	switch {
	case t.draining:
		s.change(now, t, Draining, "marked as leaving")
	case t.state == Draining:
		s.beginSlowStart(now, t, "mark taken back")
	case t.state == Lost:
		if t.connectFailures == 0 {
			s.beginSlowStart(now, t, "answers again")
		}
	case s.unreachable(now, t):
		s.change(now, t, Lost, "no connection works")
	case t.state == Ejected:
		s.endEjection(now, t)
	case t.state == SlowStart && now.Sub(t.since) < s.cfg.SlowStart:
	default:
		s.judgeByRequests(now, t, median)
	}
}

func (s *Set) unreachable(now time.Time, t *target) bool {
	return !s.commonCause && t.connectFailures >= s.cfg.LostAfter && now.Sub(t.lastSuccess) >= s.cfg.LostSilence
}

func (s *Set) endEjection(now time.Time, t *target) {
	if now.Before(t.until) {
		return
	}
	if t.connectFailures > 0 && !s.commonCause {
		t.until = now.Add(s.cfg.Ejection)
		t.connectFailures = 0
		return
	}
	s.beginSlowStart(now, t, "ejection is over")
}

func (s *Set) beginSlowStart(now time.Time, t *target, cause string) {
	t.clear()
	s.change(now, t, SlowStart, cause)
}

// judgeByRequests decides between healthy and suspect.
func (s *Set) judgeByRequests(now time.Time, t *target, median float64) {
	rate, samples := t.rate(now)
	slow := median > 0 && t.latencySamples >= s.cfg.MinSamples && t.latency > s.cfg.SlowFactor*median
	switch {
	case t.consecutiveFailures >= s.cfg.SuspectAfter:
		s.change(now, t, Suspect, "consecutive failures")
	case t.stalls > 0:
		s.change(now, t, Suspect, "a connection went silent")
	case samples >= s.cfg.MinSamples && rate < (1+s.cfg.MinSuccess)/2:
		s.change(now, t, Suspect, "success rate")
	case slow:
		s.change(now, t, Suspect, "slower than the others")
	default:
		s.change(now, t, Healthy, "evidence is good")
		s.shortenEjection(now, t)
	}
}

// shortenEjection halves the length of the next ejection after the target was healthy for
// that length.
func (s *Set) shortenEjection(now time.Time, t *target) {
	if t.ejection > s.cfg.Ejection && now.Sub(t.since) >= t.ejection {
		t.ejection = max(t.ejection/2, s.cfg.Ejection)
		t.since = now
	}
}

// eject ejects the worst targets, within the cap. Without the cap, a fault that all targets
// share, such as a bad release or a broken store, would eject the whole service and leave
// no target for the requests that still work.
func (s *Set) eject(now time.Time) {
	room := max(int(s.cfg.MaxEjected*float64(s.total())), min(1, s.total()-1))
	var candidates []*target
	for _, t := range s.targets {
		switch t.state {
		case Ejected, Lost:
			room--
		case Healthy, Suspect, SlowStart:
			if s.failing(now, t) {
				candidates = append(candidates, t)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *target) int { return b.consecutiveFailures - a.consecutiveFailures })
	for _, t := range candidates {
		if room <= 0 {
			return
		}
		room--
		t.until = now.Add(t.ejection)
		t.ejection = min(2*t.ejection, s.cfg.MaxEjection)
		s.change(now, t, Ejected, "requests fail")
	}
}

func (s *Set) failing(now time.Time, t *target) bool {
	if t.consecutiveFailures >= s.cfg.Consecutive {
		return true
	}
	rate, samples := t.rate(now)
	return samples >= s.cfg.MinSamples && rate < s.cfg.MinSuccess
}

func (s *Set) change(now time.Time, t *target, to State, cause string) {
	if t.state == to {
		return
	}
	s.changes = append(s.changes, Change{Target: t.name, From: t.state, To: to, Cause: cause})
	t.state, t.cause, t.since = to, cause, now
}
