package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

const (
	// restGrace is how long after a router was turned away requests may arrive that it had sent before, and maxInRest how many
	// may until the end of the rest.
	restGrace = 500 * time.Millisecond
	maxInRest = 2
	// minTurningAway and maxTurningAway bound for how long a target turns requests away.
	minTurningAway = time.Second
	maxTurningAway = 4 * time.Second
	// stopMargin is how long before and after a stop a process may have been held up by it.
	stopMargin = 100 * time.Millisecond
)

// routerLife is one life of a router, which is in the IDs of the requests that are sent through it.
func routerLife(name string, caller int) string { return fmt.Sprintf("%s/%d", name, caller/100) }

// lifeOf returns the life of the router through which a request was sent.
func lifeOf(id string) string {
	parts := strings.Split(id, "-")
	var caller int
	_, _ = fmt.Sscan(parts[len(parts)-2], &caller)
	return routerLife(strings.Join(parts[:len(parts)-2], "-"), caller)
}

// toldKey is a life of a router and a target.
type toldKey struct{ life, target string }

// routerStop is a time in which a router was stopped.
type routerStop struct {
	life     string
	from, to time.Time
}

// restPeriod is a time in which a target turned requests away.
type restPeriod struct {
	target   *platformtest.Target
	rest     time.Duration
	from, to time.Time
}

// recordAnswer records that a router has passed on an answer of a target.
func (r *leavingRun) recordAnswer(life string, h http.Header, body string) {
	if len(h[platform.HeaderLeaving]) == 0 {
		return
	}
	target, _, _ := strings.Cut(body, " ")
	key := toldKey{life, target}
	if _, known := r.told[key]; !known {
		r.told[key] = time.Now()
	}
}

// sayLeaving has a target of the service state that it leaves, in its answers only.
func (r *leavingRun) sayLeaving(service string) {
	r.mu.Lock()
	target := r.pick(r.random, service)
	delete(r.present, target.ID)
	r.said = append(r.said, target.Target)
	r.mu.Unlock()
	target.StateLeaving("1")
	r.jobs.Go(func() {
		r.sleep(2 * leavingServes)
		target.stopHeartbeats()
		target.Unregister(r.store)
	})
}

// turnAway has a target of the service turn requests away for a while.
func (r *leavingRun) turnAway(random *rand.Rand, service string) {
	rest := []string{"0.7", "1.5", "3"}[random.IntN(3)]
	length, err := time.ParseDuration(rest + "s")
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	target := r.pick(random, service)
	r.mu.Unlock()
	p := restPeriod{target: target.Target, rest: length, from: time.Now()}
	target.AskRest(&platformtest.Rest{RetryAfter: []string{rest}, Unstated: random.IntN(3) == 0})
	r.sleep(minTurningAway + time.Duration(random.Int64N(int64(maxTurningAway-minTurningAway))))
	target.AskRest(nil)
	p.to = time.Now()
	r.mu.Lock()
	r.restPeriods = append(r.restPeriods, p)
	r.mu.Unlock()
	r.sleep(length)
}

// pick returns a random target of the service that stays; the caller holds the lock.
func (r *leavingRun) pick(random *rand.Rand, service string) *livingTarget {
	var ids []string
	for id := range r.present {
		if strings.HasPrefix(id, service) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return r.present[ids[random.IntN(len(ids))]]
}

// lateAtLeaving returns the requests that reached targets later than leavingDrain after their router had passed on that these
// leave.
func (r *leavingRun) lateAtLeaving() (late []string) {
	for _, target := range r.said {
		for _, a := range target.Arrivals() {
			at, told := r.told[toldKey{lifeOf(a.ID), target.ID}]
			if after := a.At.Sub(at); told && after > leavingDrain {
				late = append(late, fmt.Sprintf("%s got %s %v after its router had passed on that it leaves", target.ID, a.ID, after))
			}
		}
	}
	return late
}

// inRests returns the rests in which routers that were not stopped meanwhile sent a target more than maxInRest requests.
func (r *leavingRun) inRests() (over []string) {
	for _, p := range r.restPeriods {
		arrivals := map[string][]time.Time{}
		for _, a := range p.target.Arrivals() {
			arrivals[lifeOf(a.ID)] = append(arrivals[lifeOf(a.ID)], a.At)
		}
		for _, asked := range p.target.TurnedAway() {
			if asked.At.Before(p.from) || asked.At.After(p.to) {
				continue
			}
			life, n := lifeOf(asked.ID), 0
			for _, at := range arrivals[life] {
				if after := at.Sub(asked.At); after > restGrace && after < p.rest {
					n++
				}
			}
			if n > maxInRest && !r.stoppedIn(life, asked.At, asked.At.Add(p.rest)) {
				over = append(over, fmt.Sprintf("%s asked %s for %v at %s and got %d requests", p.target.ID, life, p.rest, asked.At.Format("15:04:05.000"), n))
				break
			}
		}
	}
	return over
}

func (r *leavingRun) stoppedIn(life string, from, to time.Time) bool {
	return slices.ContainsFunc(r.stops, func(s routerStop) bool {
		return s.life == life && s.from.Add(-stopMargin).Before(to) && s.to.Add(stopMargin).After(from)
	})
}

// Guards against requests to targets that have said in answers that they leave, or have asked for a rest, while routers are
// stopped, restarted and killed again and again.
func TestStatementsOfTargetsHoldForStoppedProcesses(t *testing.T) {
	runSeeds(t, runStatements)
}

func runStatements(t *testing.T, seed uint64, length time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newLeavingRun(ctx, t, seed, 5, leavingConfig, "")
	r.callAndStop(seed)
	block := freePortBlocks(t, 1)[0]
	r.jobs.Go(func() { r.restartAgainAndAgain(rand.New(rand.NewPCG(seed, 3)), "edge-new", block) })
	for n, service := range []string{"keyed", "any"} {
		random := rand.New(rand.NewPCG(seed, uint64(30+n)))
		r.jobs.Go(func() {
			for r.ctx.Err() == nil {
				r.turnAway(random, service)
			}
		})
	}
	for began := time.Now(); time.Since(began) < length; r.sleep(time.Duration(800+r.random.IntN(1500)) * time.Millisecond) {
		service := []string{"keyed", "any"}[r.random.IntN(2)]
		r.join(service)
		r.sayLeaving(service)
	}
	r.sleep(leavingServes)
	r.end(cancel, seed, func() []string { return append(r.lateAtLeaving(), r.inRests()...) })
	t.Logf("%d targets said that they leave, to %d routers; %d times turned away", len(r.said), len(r.told), len(r.restPeriods))
}
