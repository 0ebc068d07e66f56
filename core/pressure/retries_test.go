package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/retry"
)

// kind is a kind of request: how many come in a second, what an answer is worth, and the cost of a caller that is refused
// for the second time, in parts of that.
type kind struct {
	priority  int
	perSecond float64
	worth     float64
}

const (
	refusedAgain = 0.3
	comesBack    = 300 * time.Millisecond
	tick         = time.Millisecond
)

// arrival is a request that comes to a router, for the first time or again.
type arrival struct {
	kind    kind
	returns bool
}

// replay is one router, whose targets refuse a part of what they get, at random.
type replay struct {
	random   *rand.Rand
	budget   *retry.WindowBudget
	ranked   bool
	retries  Retries
	back     map[time.Duration][]arrival
	earned   float64
	possible float64
	sends    int
}

// run plays kinds for a time; refuse is the part that the targets refuse.
func (r *replay) run(kinds []kind, length time.Duration, refuse float64) {
	r.back = map[time.Duration][]arrival{}
	for at := time.Duration(0); at < length; at += tick {
		due := r.back[at]
		for _, k := range kinds {
			if r.random.Float64() < k.perSecond*tick.Seconds() {
				due = append(due, arrival{kind: k})
				r.possible += k.worth
			}
		}
		for _, a := range due {
			r.serve(time.Unix(0, int64(at)), at, a, refuse)
		}
	}
}

func (r *replay) serve(now time.Time, at time.Duration, a arrival, refuse float64) {
	r.budget.Request()
	r.retries.Token(now, r.budget.PerRequest())
	for sends := 1; ; sends++ {
		r.sends++
		if r.random.Float64() >= refuse {
			r.earned += a.kind.worth
			return
		}
		if sends == 4 || r.ranked && !r.retries.Admit(now, RankOf(a.kind.priority, a.returns), r.random.Float64()) || !r.budget.Take(now) {
			break
		}
	}
	if a.returns {
		r.earned -= refusedAgain * a.kind.worth
		return
	}
	a.returns = true
	back := at + comesBack
	r.back[back] = append(r.back[back], a)
}

func newReplay(seed uint64, ranked bool) *replay {
	budget := retry.NewWindowBudget(retry.WindowLimit{Share: 0.2, Fixed: 168, Window: 10 * time.Second})
	budget.SetFraction(time.Unix(0, 0), 1.0/64)
	return &replay{random: rand.New(rand.NewPCG(seed, 7)), budget: budget, ranked: ranked}
}

// Guards against the retries of all kinds taken in order of arrival while targets refuse half for 8 s: a kind worth twice
// as much was then served as rarely as the rest, and callers that came back were refused again.
func TestTargetsShedHalfFor8s(t *testing.T) {
	kinds := []kind{{priority: 1, perSecond: 8, worth: 2}, {priority: 2, perSecond: 20, worth: 1}}
	var earned, sends [2]float64
	for seed := range uint64(20) {
		for i, ranked := range []bool{false, true} {
			r := newReplay(seed, ranked)
			r.run(kinds, 8*time.Second, 0.55)
			earned[i] += r.earned / r.possible / 20
			sends[i] += float64(r.sends)
		}
	}
	t.Logf("earned %.3f by arrival, %.3f by rank; sends %.0f, %.0f", earned[0], earned[1], sends[0], sends[1])
	assert.Assert(t, earned[1] > earned[0]+0.015)
	assert.Assert(t, sends[1] < sends[0]*1.01, "not by sending more")
}

// Guards against a rank that is held back where nobody more urgent asks.
func TestRetriesOfOneRankAreNotHeldBack(t *testing.T) {
	var r Retries
	for i := range 100 {
		assert.Assert(t, r.Admit(time.Unix(0, int64(i)*1e7), 3, 0.99))
	}
}

// Guards against a less urgent rank that gets more than a more urgent one, and against a share outside the floor and one.
func TestRationFollowsRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Ration{Floor: 0.05}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			r.Ask(now, rapid.IntRange(0, Ranks-1).Draw(t, "rank"))
			r.Supply(now, rapid.Float64Range(0, 1).Draw(t, "supply"))
		}
		last := 1.0
		for rank := range Ranks {
			if r.asked[rank] == 0 {
				continue
			}
			share := r.Share(rank)
			assert.Assert(t, share <= last && share >= r.Floor, "rank %d: %v after %v", rank, share, last)
			last = share
		}
	})
}
