package router

import "time"

// restAfter is how long a target's state is kept after its last use. What it knows is
// old by then: an average of latency, the limit that admission had found.
const restAfter = 2 * time.Minute

// rest drops the state of targets that nobody has used for restAfter, and the judgement
// of targets that nothing is held against.
//
// What must not be lost stays: a target is judged for as long as an ejection, a doubt or
// a shortened trust is not over, and one that this router is the grantor of, or has
// anything in flight to, keeps all.
func (h *healthDuty) rest(now time.Time, living map[string]*upstream) {
	for name, u := range living {
		if u.used.Swap(false) || u.users.Load() > 0 || u.restsSince.IsZero() {
			u.restsSince = now
			continue
		}
		set := h.choice[u.spec.Service]
		if now.Sub(u.restsSince) < restAfter || (set != nil && !set.Clean(now, name)) {
			continue
		}
		h.r.upstreams.drop(name)
	}
	kept := h.r.upstreams.all()
	for _, set := range h.choice {
		set.Prune(now, func(name string) bool { return kept[name] != nil })
	}
}
