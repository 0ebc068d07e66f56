package targetlimit

import (
	"time"

	"tarragongw/core/keyspace"
)

// listedWithin is the time within which a leader lists a limit that this router has told it of.
const listedWithin = time.Second

// View has the targets for which one router needs permits. It is not safe for concurrent use.
type View struct {
	// listed are the limits that the last leader listed.
	listed map[keyspace.Holder]Limit
	// seen are those that this router has seen in answers or remembers from a former leader.
	seen map[keyspace.Holder]seenLimit
}

type seenLimit struct {
	Limit
	at time.Time
}

// NewView returns a view without limits.
func NewView() *View {
	return &View{listed: map[keyspace.Holder]Limit{}, seen: map[keyspace.Holder]seenLimit{}}
}

// See records that a target has stated a limit in an answer. It reports whether that is less than this router knew of. Whether
// a higher one holds is up to the leader.
func (v *View) See(now time.Time, limit Limit) bool {
	before, known := v.Limit(limit.Holder)
	v.seen[limit.Holder] = seenLimit{limit, now}
	return !known || limit.PerSecond < before.PerSecond
}

// SetListed replaces the limits that the leader lists.
func (v *View) SetListed(all []Limit) {
	v.listed = make(map[keyspace.Holder]Limit, len(all))
	for _, limit := range all {
		v.listed[limit.Holder] = limit
	}
}

// LeaderHeard records that the leader, at a time, had no other limits than those that it lists. A limit that this router has
// seen before and that isn't listed has ended. It reports whether any has.
func (v *View) LeaderHeard(now time.Time) (ended bool) {
	for holder, s := range v.seen {
		if now.Sub(s.at) < listedWithin {
			continue
		}
		delete(v.seen, holder)
		if _, listed := v.listed[holder]; !listed {
			ended = true
		}
	}
	return ended
}

// Keep keeps the limits for a new leader that may not know of them, and returns them.
func (v *View) Keep(now time.Time) []Limit {
	all := v.Limits()
	for _, limit := range all {
		v.seen[limit.Holder] = seenLimit{limit, now}
	}
	return all
}

// Limit returns the limit of a target as this router knows it, and whether there is one.
func (v *View) Limit(holder keyspace.Holder) (Limit, bool) {
	if limit, listed := v.listed[holder]; listed {
		return limit, true
	}
	s, seen := v.seen[holder]
	return s.Limit, seen
}

// Limits returns all limits.
func (v *View) Limits() []Limit {
	var all []Limit
	for _, limit := range v.listed {
		all = append(all, limit)
	}
	for holder, s := range v.seen {
		if _, listed := v.listed[holder]; !listed {
			all = append(all, s.Limit)
		}
	}
	sortLimits(all)
	return all
}
