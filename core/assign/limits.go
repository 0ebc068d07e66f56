package assign

import (
	"math"
	"time"

	"tarragongw/core/keyspace"
)

const (
	// hotKeyFraction is the fraction of its holder's capacity from which on a single key
	// counts as hot.
	hotKeyFraction = 0.5
	// limitedUtilisation is the intended utilisation of a hot key's holder. It is below 1 so
	// that admitted requests don't wait long.
	limitedUtilisation = 0.9
	// minHotKeyFraction is the fraction of its holder's capacity that a hot key gets in any
	// case, whatever the load of the holder's other keys.
	minHotKeyFraction = 0.5
	// maxSlowdown bounds how much slower than the mean the holder of a hot key is assumed to
	// be, because part of the time that its requests spend queued is counted as service time.
	maxSlowdown = 1.5
	// limitIncrease and limitDecrease are the factors of a key's limit each time that Limits
	// runs, while the holder is not overloaded and while it is. Two decreases are at least
	// decreaseInterval apart, the time after which the previous one takes effect.
	limitIncrease    = 1.1
	limitDecrease    = 0.8
	decreaseInterval = 500 * time.Millisecond
	// limitEndRatio is the ratio of limit to demand from which on the limit is removed.
	limitEndRatio = 1.05
)

// keyLimit is the number of requests per second that are served for a key.
type keyLimit struct {
	rate        float64
	decreasedAt time.Time
}

// Limits returns, for each key with more demand than its holder can serve, the fraction of its
// requests to admit. overloaded reports whether a target recently had requests waiting for all
// of its slots, or refused some. requestsPerSample is the number of requests that one recorded
// request stands for.
//
// This handles one popular key and hundreds of routers. Each router sends few requests to the
// holder and doesn't know what the others send. Without a limit all of them together overrun
// the holder's queue and break its connections, which also blocks requests for its other keys
// and the leader's orders. Each router admits requests at random with the same probability,
// which needs no communication between routers, whatever their number. The holder's capacity
// is found by trial: a limit starts when the holder is overloaded and is then adjusted by
// whether it still is.
func (a *Assigner) Limits(now time.Time, serviceTimes ServiceTimes, overloaded func(target string) bool, requestsPerSample float64) []keyspace.Limit {
	p := a.planWithServiceTimes(now, serviceTimes)
	rate, mean := requestsPerSample*a.loadTracker.ratePerRequest(), meanServiceTime(a.candidates, serviceTimes)
	limits := map[keyspace.Key]keyLimit{}
	var result []keyspace.Limit
	a.loadTracker.eachKey(func(key keyspace.Key, load float64) {
		holder := p.byID[a.holderOf(key)]
		if holder == nil {
			return
		}
		demand, capacity := load*rate, 1/math.Min(holder.cost, costOf(holder.candidate, maxSlowdown*mean))
		limit, limited := a.keyLimits[key]
		switch {
		case limited:
			limit.adjust(now, overloaded(holder.target.ID), minHotKeyFraction*capacity)
		case demand >= hotKeyFraction*capacity && overloaded(holder.target.ID):
			others := math.Max((holder.load-load)*rate, 0)
			limit = keyLimit{rate: math.Max(limitedUtilisation*capacity-others, minHotKeyFraction*capacity), decreasedAt: now}
		default:
			return
		}
		if limit.rate < limitEndRatio*demand {
			limits[key] = limit
			result = append(result, keyspace.Limit{Key: key, Admit: math.Min(limit.rate/demand, 1)})
		}
	})
	a.keyLimits = limits
	return result
}

// adjust raises the limit while the holder is not overloaded, and lowers it, but not below
// minRate, while it is.
func (l *keyLimit) adjust(now time.Time, overloaded bool, minRate float64) {
	switch {
	case !overloaded:
		l.rate *= limitIncrease
	case now.Sub(l.decreasedAt) >= decreaseInterval:
		l.rate = math.Max(l.rate*limitDecrease, minRate)
		l.decreasedAt = now
	}
}

// holderOf returns the target that holds the key, or the target that it is moving to.
func (a *Assigner) holderOf(key keyspace.Key) string {
	s := &a.spans[a.indexOf(key)]
	if s.Moving {
		return s.nextTarget
	}
	return s.Target
}
