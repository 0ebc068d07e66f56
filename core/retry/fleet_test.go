package retry

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The fleet of TestFleetKeepsTheLimitInEveryWindow.
const (
	fleetRouters = 9
	fleetStep    = 50 * time.Millisecond
	fleetTime    = 90 * time.Second
	recordTTL    = 30 * time.Second
	// maxRenewal is the longest time between two renewals of a record, and maxCountLag the longest time by
	// which a count lags behind the store.
	maxRenewal  = 8 * time.Second
	maxCountLag = 3 * time.Second
	// maxRetries is how often one request may be sent again.
	maxRetries = 3
)

var (
	fleetLimit = WindowLimit{Share: 0.2, Fixed: 60, Window: 10 * time.Second}
	fleetShare = ShareConfig{Settle: 10 * time.Second, CountTTL: 6 * time.Second, Hold: 10 * time.Second}
)

// fleetRouter is one name with the router process that runs under it, if any.
type fleetRouter struct {
	budget *WindowBudget
	share  *Share
	// startsAt is when the next process starts; the current one ends at endsAt, and its record is removed
	// at leavesAt if it is stopped as planned.
	startsAt, endsAt, leavesAt time.Duration
	// storeCut and feedCut are until when its paths are cut.
	storeCut, feedCut time.Duration
	renewAt           time.Duration
	// recordedUntil is the end of its record in the store, which outlives the process.
	recordedUntil time.Duration
	rate          float64
}

// fleet is a simulated fleet of routers, of which all targets refuse all requests.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	routers []*fleetRouter
	// counts has the number of records after each step.
	counts []int
	// storeDown and leaderless are until when the store answers nobody, and no feed is up.
	storeDown, leaderless time.Duration
	lag                   time.Duration
	// requests and retries are those of each step, and failing is until when targets refuse.
	requests, retries []int
	failing, calm     time.Duration
	// calmness scales the time between two losses.
	calmness float64
	// restarting is until when processes end soon after their start.
	restarting time.Duration
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 53))}
	f.calmness = []float64{0.4, 1, 3, 20}[f.random.IntN(4)]
	for range fleetRouters {
		f.routers = append(f.routers, &fleetRouter{rate: 2 + 4*f.random.Float64()})
	}
	return f
}

// between returns a random time.
func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)+1))
}

// happens reports whether something occurs in this step that does every so often on average.
func (f *fleet) happens(every time.Duration) bool {
	return f.random.Float64() < float64(fleetStep)/(f.calmness*float64(every))
}

func (f *fleet) step() {
	f.disturb()
	present := 0
	for _, r := range f.routers {
		f.stepRouter(r)
		if r.recordedUntil > f.now {
			present++
		}
	}
	f.counts = append(f.counts, present)
	f.now += fleetStep
}

// disturb draws the losses that begin in this step.
func (f *fleet) disturb() {
	if f.happens(25 * time.Second) {
		f.storeDown = f.now + f.between(time.Second, 12*time.Second)
	}
	if f.happens(12 * time.Second) {
		f.leaderless, f.lag = f.now+f.between(0, 3*time.Second), f.between(0, maxCountLag)
	}
	if f.happens(40 * time.Second) { // the store loses records
		for _, r := range f.routers {
			if f.random.IntN(2) == 0 {
				r.recordedUntil = 0
			}
		}
	}
	if f.happens(15 * time.Second) { // many end at once
		for _, r := range f.routers {
			if f.random.IntN(3) > 0 {
				r.endsAt = f.now
			}
		}
	}
	if f.happens(25 * time.Second) {
		f.restarting = f.now + f.between(3*time.Second, 15*time.Second)
	}
	if f.now >= f.calm {
		f.failing = f.now + f.between(time.Second, 25*time.Second)
		f.calm = f.failing + f.between(0, 15*time.Second)
	}
}

func (f *fleet) stepRouter(r *fleetRouter) {
	if r.budget == nil {
		if f.now >= r.startsAt {
			f.start(r)
		}
		return
	}
	if f.happens(20 * time.Second) {
		r.storeCut = f.now + f.between(time.Second, 50*time.Second)
	}
	if f.happens(30 * time.Second) {
		r.feedCut = f.now + f.between(time.Second, 10*time.Second)
	}
	if r.leavesAt == 0 && f.happens(40*time.Second) {
		r.leavesAt, r.endsAt = f.now, f.now+3*time.Second
		r.recordedUntil = 0
		r.share.Unrecorded()
	}
	f.renew(r)
	if f.now >= r.feedCut && f.now >= f.leaderless && f.now >= f.storeDown {
		if at := int((f.now - f.lag) / fleetStep); at >= 0 && at < len(f.counts) && f.counts[at] > 0 {
			r.share.Counted(f.now, f.counts[at])
		}
	}
	r.budget.SetFraction(epoch.Add(f.now), r.share.Fraction(f.now))
	f.serve(r)
	if f.now >= r.endsAt {
		r.budget, r.share = nil, nil
		r.startsAt = f.now + f.between(0, 1500*time.Millisecond)
	}
}

func (f *fleet) start(r *fleetRouter) {
	r.budget, r.share = NewWindowBudget(fleetLimit), NewShare(fleetShare)
	r.endsAt, r.leavesAt, r.renewAt = f.now+f.between(time.Second, 60*time.Second), 0, f.now
	if f.now < f.restarting {
		r.endsAt = f.now + f.between(200*time.Millisecond, 1500*time.Millisecond)
	}
}

// renew renews the router's record in the store, or writes it again.
func (f *fleet) renew(r *fleetRouter) {
	if f.now < r.renewAt || f.now < r.storeCut || f.now < f.storeDown || r.leavesAt != 0 {
		return
	}
	if r.recordedUntil <= f.now {
		r.share.Unrecorded()
	}
	r.recordedUntil = f.now + recordTTL
	r.share.Recorded(f.now, r.recordedUntil)
	r.renewAt = f.now + f.between(time.Second, maxRenewal)
}

// serve draws the router's requests of this step, and sends each again as often as the budget allows.
func (f *fleet) serve(r *fleetRouter) {
	n := int(r.rate*fleetStep.Seconds() + f.random.Float64())
	step := int(f.now / fleetStep)
	for len(f.requests) <= step {
		f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
	}
	f.requests[step] += n
	for range n {
		r.budget.Request()
		for tries := 0; f.now < f.failing && tries < maxRetries && r.budget.Take(epoch.Add(f.now)); tries++ {
			f.retries[step]++
		}
	}
}

// worst returns the window whose retries exceed its limit by most.
func (f *fleet) worst() (from time.Duration, retries int, limit float64) {
	sum := func(counts []int, from, to int) (n int) {
		for _, c := range counts[max(from, 0):min(to, len(counts))] {
			n += c
		}
		return n
	}
	window := int(fleetLimit.Window / fleetStep)
	worst := -1e9
	for at := range f.retries {
		if f.retries[at] == 0 {
			continue
		}
		n := sum(f.retries, at, at+window)
		requests := []int{sum(f.requests, at, at+window), sum(f.requests, at-window, at), sum(f.requests, at-window/2, at+window/2)}
		sort.Ints(requests)
		allowed := fleetLimit.Share*float64(requests[2]) + fleetLimit.Fixed
		if over := float64(n) - allowed; over > worst {
			worst, from, retries, limit = over, time.Duration(at)*fleetStep, n, allowed
		}
	}
	return from, retries, limit
}

// Guards against retries of all routers together over the limit while routers start, stop and end, are cut off,
// lose their records and count each other wrongly.
func TestFleetKeepsTheLimitInEveryWindow(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(seed)
			for f.now < fleetTime {
				f.step()
			}
			from, retries, limit := f.worst()
			assert.Assert(t, float64(retries) <= limit, "%d retries from %v on, %v allowed", retries, from, limit)
			assert.Assert(t, retries > 0)
		})
	}
}

// Guards against a share of a router that others may not count, or that counts others too late.
func TestShareNeedsARecordAndARecentCount(t *testing.T) {
	const ttl = 30 * time.Second
	s := NewShare(fleetShare)
	s.Counted(0, 4)
	assert.Equal(t, s.Fraction(0), 0.0, "without a record")
	s.Recorded(time.Second, time.Second+ttl)
	s.Counted(10*time.Second, 4)
	assert.Equal(t, s.Fraction(10*time.Second), 0.0, "others may not have counted it yet")
	assert.Equal(t, s.Fraction(11*time.Second), 0.25)
	assert.Equal(t, s.Fraction(16*time.Second), 0.0, "the count is old")
	s.Counted(20*time.Second, 2)
	assert.Equal(t, s.Fraction(20*time.Second), 0.25, "a lower count may be of lost records")
	s.Counted(23*time.Second, 2)
	assert.Equal(t, s.Fraction(23*time.Second), 0.5)
	s.Counted(30*time.Second, 3)
	assert.Equal(t, s.Fraction(30*time.Second), 1.0/3, "a higher count holds at once")
	s.Counted(31*time.Second, 3)
	assert.Equal(t, s.Fraction(31*time.Second), 0.0, "the record has expired")
	s.Recorded(32*time.Second, 62*time.Second)
	s.Counted(41*time.Second, 3)
	assert.Equal(t, s.Fraction(41*time.Second), 0.0, "a record that was written again counts anew")
	s.Counted(42*time.Second, 3)
	assert.Equal(t, s.Fraction(42*time.Second), 1.0/3)
	s.Unrecorded()
	assert.Equal(t, s.Fraction(42*time.Second), 0.0)
}
