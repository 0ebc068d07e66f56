package assign

import (
	"time"

	"tarragongw/core/keyspace"
)

// merge makes one range of neighbours that are held by one target, once there are many:
// each range costs a renewal twice a second. The range is granted under a new token.
func (a *Assigner) merge(now time.Time) {
	if a.storeAway || a.writing || now.Before(a.mergeDue) || len(a.spans) <= rangesPerTarget*len(a.candidates) {
		return
	}
	a.mergeDue = now.Add(mergeEvery)
	kept := a.spans[:1]
	var joined []int
	for _, s := range a.spans[1:] {
		last := &kept[len(kept)-1]
		if last.Holder != s.Holder || !last.idle() || !s.idle() {
			kept = append(kept, s)
			continue
		}
		last.To, last.lapse, last.oldLapse = s.To, laterOf(last.lapse, s.lapse), laterOf(last.oldLapse, s.oldLapse)
		if n := len(joined); n == 0 || joined[n-1] != len(kept)-1 {
			joined = append(joined, len(kept)-1)
		}
	}
	a.spans = kept
	for _, i := range joined {
		a.renewToken(&a.spans[i])
	}
}

// idle reports whether nothing is under way with the range.
func (s *span) idle() bool {
	return s.Target != "" && s.acked && !s.busy && !s.Moving && !s.inherited
}

// Begin starts a move that was decided on; it does nothing where the keys are moving
// already or their holder has changed.
func (a *Assigner) Begin(now time.Time, m Move) bool {
	i := a.find(m.From)
	s := &a.spans[i]
	if a.storeAway || s.Moving || s.busy || s.Target == "" || s.Target == m.Target || m.To > s.To || !a.candidates[m.Target].takes() {
		return false
	}
	a.carve(i, m.From, m.To)
	a.beginMove(now, &a.spans[a.find(m.From)], m.Target, false)
	return true
}

// carve makes a span of its own of the keys.
func (a *Assigner) carve(i int, from, to keyspace.Key) {
	whole := a.spans[i]
	var parts []span
	if whole.From < from {
		left := whole
		left.To = from - 1
		parts = append(parts, left)
	}
	middle := whole
	middle.From, middle.To = from, to
	parts = append(parts, middle)
	if to < whole.To {
		right := whole
		right.From = to + 1
		parts = append(parts, right)
	}
	a.spans = append(a.spans[:i], append(parts, a.spans[i+1:]...)...)
}

// Moving is the number of ranges that are being moved.
func (a *Assigner) Moving() int {
	n := 0
	for i := range a.spans {
		if a.spans[i].Moving {
			n++
		}
	}
	return n
}
