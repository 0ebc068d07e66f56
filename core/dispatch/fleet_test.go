package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tarragongw/core/directory"
)

const (
	fleetSlots   = 4
	fleetQueue   = 16
	fleetWork    = 190 * time.Millisecond
	fleetDue     = 500 * time.Millisecond
	fleetTimeout = 1500 * time.Millisecond
	fleetTick    = time.Millisecond
	// lateWorth is what a late answer is worth, in parts of one in time, and againCost what a second refusal costs.
	lateWorth = 0.12
	againCost = 0.3
)

// fleetRequest is a request in a replay.
type fleetRequest struct {
	id      uint64
	began   time.Time
	sentAt  time.Time
	router  int
	returns bool
	turns   float64
	endsAt  time.Time
}

type fleetTarget struct {
	directory.Target
	running, waiting []*fleetRequest
	speed            float64
}

// fleet replays a load on many routers that share the targets of a service without keys.
type fleet struct {
	random  *rand.Rand
	routers []*Service
	targets []*fleetTarget
	byID    map[string]*fleetTarget
	now     time.Time
	nextID  uint64
	queued  map[uint64]*fleetRequest
	// back are callers that return after a refusal, by time.
	back map[time.Time][]*fleetRequest
	// earned and asked are by second of arrival; refusedByTargets counts attempts.
	earned, asked    map[int]float64
	refusedByTargets int
	// shed is the part of requests that targets refuse whatever room they have.
	shed float64
}

// newFleet returns a fleet; prepare sets each router's service up for the way that is compared.
func newFleet(seed uint64, routers, targets int, prepare func(*Service)) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 11)), now: start, byID: map[string]*fleetTarget{}, queued: map[uint64]*fleetRequest{},
		back: map[time.Time][]*fleetRequest{}, earned: map[int]float64{}, asked: map[int]float64{}}
	var all []directory.Target
	for i := range targets {
		t := &fleetTarget{Target: directory.Target{ID: fmt.Sprint(i), Service: "s", DataCentre: fmt.Sprint(i % 3), Slots: fleetSlots}}
		t.speed = 0.8 + 0.4*f.random.Float64()
		f.targets, f.byID[t.ID] = append(f.targets, t), t
		all = append(all, t.Target)
	}
	for i := range routers {
		s := New(fmt.Sprint(i%3), false, rand.New(rand.NewPCG(seed, uint64(i))))
		s.SetTargets(all)
		prepare(s)
		f.routers = append(f.routers, s)
	}
	return f
}

// lose removes every third target, as if a data centre were lost.
func (f *fleet) lose(prepare func(*Service)) {
	var left []directory.Target
	for _, t := range f.targets {
		if t.DataCentre != "2" {
			left = append(left, t.Target)
		}
	}
	for _, s := range f.routers {
		s.SetTargets(left)
		prepare(s)
	}
}

// run plays a number of requests a second for a time.
func (f *fleet) run(length time.Duration, perSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		for _, t := range f.targets {
			f.work(t)
		}
		for i, s := range f.routers {
			f.decideQueued(i, s)
		}
		for _, r := range f.back[f.now] {
			f.offer(r)
		}
		delete(f.back, f.now)
		for chance := perSecond * fleetTick.Seconds(); f.random.Float64() < chance; chance-- {
			f.asked[f.second(f.now)]++
			f.offer(&fleetRequest{began: f.now, router: f.random.IntN(len(f.routers))})
		}
	}
}

func (f *fleet) second(t time.Time) int { return int(t.Sub(start) / time.Second) }

func (f *fleet) offer(r *fleetRequest) {
	f.nextID++
	r.id = f.nextID
	q := Request{ID: r.id, Due: r.began.Add(fleetDue), Objective: fleetDue, Deadline: r.began.Add(fleetTimeout)}
	d := f.routers[r.router].Offer(f.now, q)
	if d.Verdict == Wait {
		f.queued[r.id] = r
		return
	}
	f.carryOut(r, d)
}

func (f *fleet) decideQueued(i int, s *Service) {
	for id, d := range s.Poll(f.now) {
		r := f.queued[id]
		delete(f.queued, id)
		f.carryOut(r, d)
	}
}

func (f *fleet) carryOut(r *fleetRequest, d Decision) {
	if d.Verdict == Refuse {
		f.refuse(r, d.RetryAfter)
		return
	}
	t := f.byID[d.Target.ID]
	r.sentAt, r.turns = f.now, d.ServiceMultiple
	if len(t.running)+len(t.waiting) >= fleetSlots+fleetQueue || f.random.Float64() < f.shed {
		f.refusedByTargets++
		f.routers[r.router].Done(f.now, t.ID, Shed, 0, r.turns)
		f.refuse(r, minRetryAfter)
		return
	}
	t.waiting = append(t.waiting, r)
}

// refuse lets the caller return after the advised wait, but after a third of its time at the latest.
func (f *fleet) refuse(r *fleetRequest, wait time.Duration) {
	if r.returns {
		f.earned[f.second(r.began)] -= againCost
		return
	}
	left := r.began.Add(fleetTimeout).Sub(f.now)
	r.returns = true
	at := f.now.Add(max(min(wait, left/3), fleetTick).Truncate(fleetTick))
	f.back[at] = append(f.back[at], r)
}

// work ends and begins work at a target.
func (f *fleet) work(t *fleetTarget) {
	kept := t.running[:0]
	for _, r := range t.running {
		if r.endsAt.After(f.now) {
			kept = append(kept, r)
			continue
		}
		f.answer(t, r)
	}
	t.running = kept
	for len(t.running) < fleetSlots && len(t.waiting) > 0 {
		r := t.waiting[0]
		t.waiting = t.waiting[1:]
		if f.now.Sub(r.began) > fleetTimeout {
			f.routers[r.router].Done(f.now, t.ID, TimedOut, f.now.Sub(r.sentAt), r.turns)
			continue
		}
		took := time.Duration(float64(fleetWork) * math.Exp(0.3*f.random.NormFloat64()) / t.speed)
		r.endsAt = f.now.Add(took)
		t.running = append(t.running, r)
	}
}

func (f *fleet) answer(t *fleetTarget, r *fleetRequest) {
	s := f.routers[r.router]
	s.Report(f.now, t.ID, Report{Running: len(t.running), Waiting: len(t.waiting), Slots: fleetSlots})
	s.Done(f.now, t.ID, Answered, f.now.Sub(r.sentAt), r.turns)
	worth := 1.0
	if took := f.now.Sub(r.began); took > fleetTimeout {
		worth = 0
	} else if took > fleetDue {
		worth = lateWorth
	}
	f.earned[f.second(r.began)] += worth
}

// worth returns what was earned of what was asked for in the seconds.
func (f *fleet) worth(from, until int) float64 {
	earned, asked := 0.0, 0.0
	for i := from; i < until; i++ {
		earned, asked = earned+f.earned[i], asked+f.asked[i]
	}
	return earned / asked
}
