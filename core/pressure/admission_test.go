package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// room is a replay of many routers before targets that share one queue: work waits there in order of arrival and is
// given up after its time limit.
type room struct {
	routers  []*Admission
	waiting  []roomJob
	done     float64
	earned   map[int]float64
	possible map[int]float64
	admit    bool
	random   *rand.Rand
	at       time.Duration
}

type roomJob struct {
	kind    kind
	arrived time.Duration
	router  int
}

const (
	roomPerSecond = 1000
	roomSlots     = 500
	roomDue       = time.Second
	roomLimit     = 2 * time.Second
	roomLate      = 0.3
	second        = int(time.Second)
)

func (r *room) run(length time.Duration, kinds []kind) {
	for end := r.at + length; r.at < end; r.at += tick {
		for r.done += roomPerSecond * tick.Seconds(); r.done >= 1 && len(r.waiting) > 0; r.done-- {
			r.end()
		}
		r.done = min(r.done, 1)
		for _, k := range kinds {
			for chance := k.perSecond * tick.Seconds(); r.random.Float64() < chance; chance-- {
				r.arrive(k)
			}
		}
	}
}

func (r *room) now() time.Time { return time.Unix(0, int64(r.at)) }

func (r *room) arrive(k kind) {
	r.possible[int(r.at)/second] += k.worth
	router := r.random.IntN(len(r.routers))
	if r.admit && !r.routers[router].Admit(r.now(), RankOf(k.priority, false), r.random.Float64()) {
		return
	}
	r.waiting = append(r.waiting, roomJob{kind: k, arrived: r.at, router: router})
}

// end ends the first request that waits; those that have waited for too long are given up, as late as they are.
func (r *room) end() {
	j := r.waiting[0]
	r.waiting = r.waiting[1:]
	took := r.at - j.arrived
	r.routers[j.router].End(r.now(), took > roomLimit || len(r.waiting) > roomSlots)
	switch {
	case took <= roomDue:
		r.earned[int(j.arrived)/second] += j.kind.worth
	case took <= roomLimit:
		r.earned[int(j.arrived)/second] += j.kind.worth * roomLate
	}
}

func newRoom(seed uint64, admit bool) *room {
	r := &room{earned: map[int]float64{}, possible: map[int]float64{}, admit: admit, random: rand.New(rand.NewPCG(seed, 3))}
	for range 40 {
		r.routers = append(r.routers, &Admission{})
	}
	return r
}

func (r *room) worth(from, until int) float64 {
	earned, possible := 0.0, 0.0
	for i := from; i < until; i++ {
		earned, possible = earned+r.earned[i], possible+r.possible[i]
	}
	return earned / possible
}

func load(times float64) []kind {
	return []kind{{priority: 1, perSecond: 400 * times, worth: 2}, {priority: 2, perSecond: 300 * times, worth: 1}}
}

// Guards against a burst of 2.2 for 3 s over a load of 70% that makes urgent requests as late as the others.
func TestBurstAboveRoomFor3s(t *testing.T) {
	for seed := range uint64(3) {
		old, built := newRoom(seed, false), newRoom(seed, true)
		for _, r := range []*room{old, built} {
			r.run(3*time.Second, load(1))
			r.run(3*time.Second, load(2.2))
			r.run(5*time.Second, load(1))
		}
		t.Logf("burst %.3f, %.3f; after it %.3f, %.3f; calm %.3f, %.3f", old.worth(3, 6), built.worth(3, 6), old.worth(6, 9), built.worth(6, 9),
			old.worth(9, 11), built.worth(9, 11))
		assert.Assert(t, built.worth(3, 9) > old.worth(3, 9)+0.02)
		assert.Assert(t, built.worth(9, 11) > 0.99, "calm for 3 s")
	}
}

// Guards against requests that are refused although nobody more urgent asks.
func TestMostUrgentThatAskAreAdmitted(t *testing.T) {
	var a Admission
	now := time.Unix(0, 0)
	for i := range 3000 {
		now = now.Add(tick)
		a.End(now, true)
		assert.Assert(t, a.Admit(now, RankOf(2, i%2 == 0), 0.999))
	}
}
