package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// merge joins neighbouring ranges of the same holder once there are many ranges, because each
// range costs two renewals per second. A joined range is granted under a new token.
func (a *Assigner) merge(now time.Time) {
	if a.storeUnreachable || a.writeInFlight || now.Before(a.nextMergeAt) || len(a.spans) <= mergeThreshold*len(a.candidates) {
		return
	}
	a.nextMergeAt = now.Add(mergeInterval)
	kept := a.spans[:1]
	var joined []int
	for _, s := range a.spans[1:] {
		last := &kept[len(kept)-1]
		if last.Holder != s.Holder || !last.mergeable() || !s.mergeable() {
			kept = append(kept, s)
			continue
		}
		last.To, last.expiry, last.oldLeaderExpiry = s.To, laterOf(last.expiry, s.expiry), laterOf(last.oldLeaderExpiry, s.oldLeaderExpiry)
		if n := len(joined); n == 0 || joined[n-1] != len(kept)-1 {
			joined = append(joined, len(kept)-1)
		}
	}
	a.spans = kept
	for _, i := range joined {
		a.renewToken(&a.spans[i])
	}
}

// mergeable reports whether the range has an accepted grant of this leader and no order or
// move in progress.
func (s *span) mergeable() bool {
	return s.Target != "" && s.acked && !s.orderInFlight && !s.Moving && !s.inherited
}

// StartMove starts a move that was decided on, and reports whether it did. It does nothing if the
// keys are already moving, their holder has changed, or the new target can't take them.
func (a *Assigner) StartMove(now time.Time, m Move) bool {
	i := a.indexOf(m.From)
	s := &a.spans[i]
	if now.Before(a.oldLeaderUntil) || a.storeUnreachable || s.Moving || s.orderInFlight || s.Target == "" || s.Target == m.Target || m.To > s.To || !a.candidates[m.Target].acceptsKeys() {
		return false
	}
	a.splitOut(i, m.From, m.To)
	a.beginMove(now, &a.spans[a.indexOf(m.From)], m.Target, false)
	return true
}

// splitOut makes the keys from first to last a span of their own.
func (a *Assigner) splitOut(i int, first, last keyspace.Key) {
	whole := a.spans[i]
	var parts []span
	if whole.From < first {
		left := whole
		left.To = first - 1
		parts = append(parts, left)
	}
	middle := whole
	middle.From, middle.To = first, last
	parts = append(parts, middle)
	if last < whole.To {
		right := whole
		right.From = last + 1
		parts = append(parts, right)
	}
	a.spans = append(a.spans[:i], append(parts, a.spans[i+1:]...)...)
}

// movesInProgress returns the number of ranges that are being moved.
func (a *Assigner) movesInProgress() int {
	n := 0
	for i := range a.spans {
		if a.spans[i].Moving {
			n++
		}
	}
	return n
}
