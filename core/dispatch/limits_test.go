package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/keyspace"
)

const (
	hotKey = keyspace.Key(30000)
	// The holder runs holderSlots requests, each for serviceTime, and queues holderQueue more.
	holderSlots = 6
	holderQueue = 24
	serviceTime = 480 * time.Millisecond
	// hotRate is the number of requests a second for the hot key, through all routers together.
	hotRate = 480
	// reportDelay is the time from a request until the leader knows of it, and limitsEvery the time
	// between two calculations of the limits.
	reportDelay = 200 * time.Millisecond
	limitsEvery = 250 * time.Millisecond
)

var hotStart = time.Unix(7000, 0)

// hotFleet simulates routers that send requests for one key to its holder.
type hotFleet struct {
	routers []*dispatch.Service
	leader  *assign.Assigner
	random  *rand.Rand
	now     time.Time
	// atHolder are the requests that run or wait at the holder, in the order in which they end.
	atHolder []heldRequest
	// offered, served and shed count requests.
	offered, served, shed int
	// overloadedAt is when the holder last refused a request or had at least as many waiting
	// requests as slots.
	overloadedAt time.Time
}

type heldRequest struct {
	endsAt time.Time
	router int
}

func newHotFleet(routers int) *hotFleet {
	f := &hotFleet{random: rand.New(rand.NewPCG(3, 4)), now: hotStart}
	var targets []directory.Target
	for i := range 40 {
		targets = append(targets, directory.Target{ID: fmt.Sprint(i), Service: "s", Slots: holderSlots})
	}
	table := keyspace.New("s")
	table.Segments[0].Holder = targets[0].Holder()
	f.leader = assign.TakeOver(f.now, assign.Config{}, "s", table)
	f.leader.SetTargets(f.now, targets)
	for i := range routers {
		s := dispatch.New("here", true, rand.New(rand.NewPCG(uint64(i), 5)))
		s.SetTargets(targets)
		s.SetTable(table)
		f.routers = append(f.routers, s)
	}
	return f
}

// arrive simulates the arrival of a request at the holder, which accepts or refuses it.
func (f *hotFleet) arrive(router int) {
	if len(f.atHolder) >= 2*holderSlots {
		f.overloadedAt = f.now
	}
	if len(f.atHolder) >= holderSlots+holderQueue {
		f.shed++
		f.routers[router].Done(f.now, "0", dispatch.Shed, time.Millisecond, 1)
		return
	}
	startsAt := f.now
	if n := len(f.atHolder); n >= holderSlots {
		startsAt = f.atHolder[n-holderSlots].endsAt
	}
	f.atHolder = append(f.atHolder, heldRequest{startsAt.Add(serviceTime), router})
}

// answerEnded simulates the answers of the requests that have ended.
func (f *hotFleet) answerEnded() {
	for len(f.atHolder) > 0 && !f.atHolder[0].endsAt.After(f.now) {
		f.served++
		f.routers[f.atHolder[0].router].Done(f.now, "0", dispatch.Answered, serviceTime, 1)
		f.atHolder = f.atHolder[1:]
	}
}

// run simulates the load for a time; limited says whether the leader limits the key.
func (f *hotFleet) run(length time.Duration, limited bool) {
	const step = time.Millisecond
	var unreported []time.Time
	lastLimits := f.now
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		f.answerEnded()
		if f.random.Float64() < hotRate*step.Seconds() {
			f.offered++
			unreported = append(unreported, f.now)
			router, key := f.random.IntN(len(f.routers)), hotKey
			r := dispatch.Request{ID: uint64(f.offered), Key: &key, Deadline: f.now.Add(12 * time.Second)}
			if f.routers[router].Offer(f.now, r).Verdict == dispatch.Send {
				f.arrive(router)
			}
		}
		if !limited || f.now.Sub(lastLimits) < limitsEvery {
			continue
		}
		lastLimits = f.now
		for len(unreported) > 0 && f.now.Sub(unreported[0]) >= reportDelay {
			f.leader.Load().Add(unreported[0], hotKey, 1)
			unreported = unreported[1:]
		}
		overloaded := func(string) bool { return f.now.Sub(f.overloadedAt) < reportDelay+limitsEvery }
		limits := f.leader.Limits(f.now, func(string) float64 { return serviceTime.Seconds() }, overloaded, 1)
		for _, s := range f.routers {
			s.SetLimits(f.now, limits)
		}
	}
}

// Guards against hundreds of routers that together overload the holder of one popular key, while
// each of them has hardly a request there.
func TestHotKeyDoesNotOverrunItsHolderWhateverTheNumberOfRouters(t *testing.T) {
	for _, routers := range []int{10, 100, 300} {
		without, with := newHotFleet(routers), newHotFleet(routers)
		without.run(5*time.Second, false)
		with.run(5*time.Second, true)
		t.Logf("%d routers: of %d requests %d served and %d shed without limits, %d and %d with",
			routers, with.offered, without.served, without.shed, with.served, with.shed)
		// All requests are sent until the first limit arrives.
		const beforeFirstLimit = (reportDelay + 2*limitsEvery) * hotRate / time.Second
		assert.Assert(t, with.shed < int(beforeFirstLimit), "%d routers: %d shed", routers, with.shed)
		assert.Assert(t, float64(with.served) > 0.7*float64(without.served), "%d routers: %d of %d served", routers, with.served, without.served)
	}
}

// Guards against requests for a limited key that are all advised to retry at the same moment, that
// have to wait, or of which none is served; and against limits that don't expire when their
// leader is lost.
func TestRequestsOverTheLimitOfAKeyAreRefusedAtOnce(t *testing.T) {
	s := newHotFleet(1).routers[0]
	s.SetLimits(hotStart, []keyspace.Limit{{Key: hotKey, Admit: 0.1}})
	other, key := hotKey+1, hotKey
	sent, waits := 0, map[time.Duration]bool{}
	offer := func(now time.Time, r dispatch.Request) dispatch.Verdict {
		d := s.Offer(now, r)
		if d.Verdict == dispatch.Send {
			s.Done(now, d.Target.ID, dispatch.Abandoned, 0, 1)
		}
		if d.Verdict == dispatch.Refuse {
			assert.Assert(t, d.RetryAfter >= 700*time.Millisecond && d.RetryAfter <= 5*time.Second, "%v", d.RetryAfter)
			waits[d.RetryAfter] = true
		}
		return d.Verdict
	}
	for i := range 1000 {
		if offer(hotStart, dispatch.Request{ID: uint64(i), Key: &key}) == dispatch.Send {
			sent++
		}
		assert.Equal(t, offer(hotStart, dispatch.Request{ID: 5000, Key: &other}), dispatch.Send)
		assert.Equal(t, offer(hotStart, dispatch.Request{ID: 5001, Key: &key, Admitted: true}), dispatch.Send)
	}
	assert.Assert(t, sent > 60 && sent < 140, "%d of 1000 were sent", sent)
	assert.Assert(t, len(waits) > 500)
	for range 100 {
		assert.Equal(t, offer(hotStart.Add(4*time.Second), dispatch.Request{ID: 1, Key: &key}), dispatch.Send)
	}
}
