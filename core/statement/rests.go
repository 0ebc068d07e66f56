package statement

import (
	"maps"
	"time"

	"tarragongw/core/keyspace"
)

// MaxRest is the longest rest that is kept. A target that asks for more is sent a request after it, and can ask again.
const MaxRest = 5 * time.Minute

// RestOf is the rest of one instance of a target.
type RestOf struct {
	Holder  keyspace.Holder
	Service string
	// Began is when the target first asked for it, and Until when it ends.
	Began, Until time.Time
	// Asked counts how often the target has asked for it.
	Asked int
}

// Change is what has become of a rest.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Began
	Extended
)

// Rests are those that targets have asked this router for. Each answer that asks for one binds by itself, so that none
// shortens an earlier one, and no other answer ends it. It is not safe for concurrent use.
type Rests struct {
	all map[keyspace.Holder]RestOf
}

// NewRests returns a Rests without any.
func NewRests() *Rests { return &Rests{all: map[keyspace.Holder]RestOf{}} }

// Ask records that a target has asked for a rest.
func (r *Rests) Ask(now time.Time, holder keyspace.Holder, service string, d time.Duration) (RestOf, Change) {
	until := now.Add(min(d, MaxRest))
	rest, resting := r.all[holder]
	change := Unchanged
	switch {
	case !until.After(now):
		return rest, Unchanged
	case !resting || !rest.Until.After(now):
		rest, change = RestOf{Holder: holder, Service: service, Began: now, Until: until}, Began
	case until.After(rest.Until):
		rest.Until, change = until, Extended
	}
	rest.Asked++
	r.all[holder] = rest
	return rest, change
}

// Until returns until when a target rests, and whether it does.
func (r *Rests) Until(now time.Time, holder keyspace.Holder) (time.Time, bool) {
	rest, known := r.all[holder]
	return rest.Until, known && now.Before(rest.Until)
}

// Current returns the rests that have not ended.
func (r *Rests) Current(now time.Time) (current []RestOf) {
	for _, rest := range r.all {
		if now.Before(rest.Until) {
			current = append(current, rest)
		}
	}
	return current
}

// Expire removes the rests that have ended and returns them.
func (r *Rests) Expire(now time.Time) (ended []RestOf) {
	maps.DeleteFunc(r.all, func(_ keyspace.Holder, rest RestOf) bool {
		if now.Before(rest.Until) {
			return false
		}
		ended = append(ended, rest)
		return true
	})
	return ended
}
