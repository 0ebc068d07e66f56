package dispatch

import (
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// restSpread is the part of a rest, and maxRestSpread the time, by which it is lengthened at random, so that routers whose
	// rests end at the same moment don't return at the same moment.
	restSpread    = 0.1
	maxRestSpread = 500 * time.Millisecond
	// resumeTime is for how long after its rest a target gets one request at a time, unless it answers one before.
	resumeTime = time.Second
)

// Rest has no requests placed at a target until a time, because it has asked this router for that. After it, the target gets one
// request at a time until it has begun to answer one.
func (s *Service) Rest(now time.Time, holder keyspace.Holder, until time.Time) {
	t := s.targetByID[holder.Target]
	if t == nil || t.Holder() != holder {
		return
	}
	spread := min(time.Duration(restSpread*float64(until.Sub(now))), maxRestSpread)
	t.restUntil = laterOf(t.restUntil, until.Add(time.Duration(s.random.Float64()*float64(spread))))
	t.resuming = true
}

// AnswerBegun records that a target has begun to answer a request that it didn't turn away.
func (s *Service) AnswerBegun(now time.Time, id string) {
	if t := s.targetByID[id]; t != nil {
		t.resuming = t.rests(now)
	}
}

// resumes reports whether the target's rest has just ended, and it has not begun to answer a request since.
func (t *targetState) resumes(now time.Time) bool {
	return t.resuming && now.Before(t.restUntil.Add(resumeTime))
}

// rests reports whether the target has asked this router for a rest that has not ended.
func (t *targetState) rests(now time.Time) bool { return now.Before(t.restUntil) }

// restBlock returns the block of a request whose target rests; target is nil if all that could take it do. The request waits
// for the end of the rest if it can be in time then, and is refused at once otherwise.
func (s *Service) restBlock(now time.Time, r *Request, resting, target *targetState) *block {
	left := resting.restUntil.Sub(now)
	b := &block{
		kind: fault.QueueFull, detail: "target " + resting.ID + " wants no requests from this router for a while", target: target,
		wait: -1, retryAfter: max(left, minRetryAfter),
	}
	service := time.Duration(resting.serviceTime(now, s.overallServiceTime) * float64(time.Second))
	if !r.Due.IsZero() && !now.Add(left+service).After(r.Due) {
		b.wait = left.Seconds()
	}
	return b
}

// firstRested returns the target that takes new work and whose rest ends first; nil if none rests.
func (s *Service) firstRested(now time.Time) *targetState {
	var first *targetState
	for _, t := range s.choices {
		if t.rests(now) && (first == nil || t.restUntil.Before(first.restUntil)) {
			first = t
		}
	}
	return first
}
