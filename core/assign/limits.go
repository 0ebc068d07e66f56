package assign

import (
	"math"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// hotShare is the part of its holder's capacity from which a single key counts as hot.
	hotShare = 0.5
	// limitFill is the utilisation that a holder is to have with the requests for its hot key:
	// less than all, so that those that are served don't wait for long.
	limitFill = 0.9
	// leastShare is the part of its holder that a hot key may have in any case, beside the
	// other keys there.
	leastShare = 0.4
	// mostSlow bounds how much slower than usual a hot key's holder is taken to be: the time
	// that its requests wait in its queue is in part taken for its own.
	mostSlow = 1.5
)

// Limits returns for each key that is asked for more than its holder can do which part of
// the requests for it is to be served.
//
// It answers one popular key and hundreds of routers. Each router sends few requests there
// and doesn't know of the others', so that all of them together overrun the holder's queue,
// break its connections, and keep those who ask for its other keys, and the leader's orders,
// from it. What the holder can do is shared out by chance: that needs no word between the
// routers, whatever their number.
func (a *Assigner) Limits(now time.Time, speeds Speeds, unseen float64) []keyspace.Limit {
	p := a.planWith(now, speeds)
	rate, usual := unseen*a.load.rate(), usualServiceTime(a.seats, speeds)
	var limits []keyspace.Limit
	a.load.eachKey(func(key keyspace.Key, load float64) {
		s := &a.spans[a.find(key)]
		holder := s.Target
		if s.Moving {
			holder = s.next
		}
		at := p.byID[holder]
		if at == nil {
			return
		}
		cost := math.Min(at.cost, costOf(at.seat, mostSlow*usual))
		if admit := at.admit(load, 1/(cost*rate)); admit < 1 {
			limits = append(limits, keyspace.Limit{Key: key, Admit: admit})
		}
	})
	return limits
}

// admit is the part of the requests for one of the target's keys that it can serve, which can
// do so many in all.
func (p *place) admit(load, capacity float64) float64 {
	if load < hotShare*capacity {
		return 1
	}
	others := math.Max(p.load-load, 0)
	return math.Max(limitFill*capacity-others, leastShare*capacity) / load
}
