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
	// leastShare is the part of its holder that a hot key gets in any case, beside the other
	// keys there.
	leastShare = 0.5
	// mostSlow bounds how much slower than usual a hot key's holder is taken to be: the time
	// that its requests wait in its queue is in part taken for its own.
	mostSlow = 1.5
	// limitRaise and limitCut change what is served of a hot key with each look, while its
	// holder has room, and while it has none; between two cuts lies cutInterval, the time
	// after which the last one shows.
	limitRaise  = 1.1
	limitCut    = 0.8
	cutInterval = 500 * time.Millisecond
	// limitEnd is by which part more than is asked for may be served for a limit to end.
	limitEnd = 1.05
)

// keyLimit is how many requests a second for a key are served.
type keyLimit struct {
	rate  float64
	cutAt time.Time
}

// Limits returns for each key that is asked for more than its holder can do which part of
// the requests for it is to be served. pressed says of a target whether it has had requests
// waiting for all of its slots, or refused some, of late.
//
// It answers one popular key and hundreds of routers. Each router sends few requests there
// and doesn't know of the others', so that all of them together overrun the holder's queue,
// break its connections, and keep those who ask for its other keys, and the leader's orders,
// from it. What the holder can do is shared out by chance: that needs no word between the
// routers, whatever their number. What it can do is found out: a limit begins where the
// holder is pressed, and then follows whether it still is.
func (a *Assigner) Limits(now time.Time, speeds Speeds, pressed func(target string) bool, unseen float64) []keyspace.Limit {
	p := a.planWith(now, speeds)
	rate, usual := unseen*a.load.rate(), usualServiceTime(a.candidates, speeds)
	limits := map[keyspace.Key]keyLimit{}
	var all []keyspace.Limit
	a.load.eachKey(func(key keyspace.Key, load float64) {
		at := p.byID[a.holderOf(key)]
		if at == nil {
			return
		}
		asked, capacity := load*rate, 1/math.Min(at.cost, costOf(at.candidate, mostSlow*usual))
		limit, limited := a.limits[key]
		switch {
		case limited:
			limit.follow(now, pressed(at.target.ID), leastShare*capacity)
		case asked >= hotShare*capacity && pressed(at.target.ID):
			others := math.Max((at.load-load)*rate, 0)
			limit = keyLimit{rate: math.Max(limitFill*capacity-others, leastShare*capacity), cutAt: now}
		default:
			return
		}
		if limit.rate < limitEnd*asked {
			limits[key] = limit
			all = append(all, keyspace.Limit{Key: key, Admit: math.Min(limit.rate/asked, 1)})
		}
	})
	a.limits = limits
	return all
}

// follow changes the limit by whether the holder is pressed, to no less than the least.
func (l *keyLimit) follow(now time.Time, pressed bool, least float64) {
	switch {
	case !pressed:
		l.rate *= limitRaise
	case now.Sub(l.cutAt) >= cutInterval:
		l.rate = math.Max(l.rate*limitCut, least)
		l.cutAt = now
	}
}

// holderOf is the target that holds the key, or is to hold it.
func (a *Assigner) holderOf(key keyspace.Key) string {
	s := &a.spans[a.find(key)]
	if s.Moving {
		return s.next
	}
	return s.Target
}
