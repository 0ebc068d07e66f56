package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

const (
	// evacuationLimit is the bound of the settings after which targets of an evacuated data centre must get no request.
	evacuationLimit = 4 * time.Second
	// coldTime is for how long targets are cold after an evacuation, and coldBound what they bear in any second meanwhile.
	coldTime  = 3 * time.Second
	coldBound = 1.6*1.5 + 8

	evacuationBounds = `evac = "4000ms"
warmup_tolerance = 1.5
warmup_slack = 8
`
)

// evacuation is the time for which targets must get nothing, or, if they are cold, few requests.
type evacuation struct {
	dataCentre string
	from, to   time.Time
	cold       bool
}

// evacuateAgainAndAgain evacuates a data centre and takes it back, cold every other time, until the run ends.
func (r *leavingRun) evacuateAgainAndAgain(random *rand.Rand, dataCentre string) []evacuation {
	var all []evacuation
	for i := 0; r.ctx.Err() == nil; i++ {
		r.sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		key := platform.EvacuationPrefix + dataCentre
		r.store.Put(key, []byte("{}"))
		e := evacuation{dataCentre: dataCentre, from: time.Now().Add(evacuationLimit)}
		r.sleep(evacuationLimit + time.Duration(random.IntN(2000))*time.Millisecond)
		e.to = time.Now()
		all = append(all, e)
		cold := i%2 == 0
		if cold {
			for _, target := range r.targetsIn(dataCentre) {
				target.SetCold(coldTime)
			}
		}
		r.store.Delete(key)
		all = append(all, evacuation{dataCentre: dataCentre, from: e.to, to: e.to.Add(coldTime), cold: cold})
	}
	return all
}

func (r *leavingRun) targetsIn(dataCentre string) (all []*platformtest.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range r.present {
		if target.Zone == dataCentre {
			all = append(all, target.Target)
		}
	}
	return all
}

// lateIn returns what targets got that they must not have got.
func (r *leavingRun) lateIn(all []evacuation) (late []string) {
	for _, e := range all {
		for _, target := range r.targetsIn(e.dataCentre) {
			var times []time.Time
			for _, a := range target.Arrivals() {
				if a.At.After(e.from) && a.At.Before(e.to) {
					times = append(times, a.At)
				}
			}
			switch most := mostInOneSecond(times); {
			case e.cold && float64(most) > coldBound:
				late = append(late, fmt.Sprintf("%s, cold from %s, got %d requests in one second", target.ID, e.from.Format("15:04:05.000"), most))
			case !e.cold && e.to.Sub(e.from) != coldTime && len(times) > 0:
				late = append(late, fmt.Sprintf("%s, evacuated until %s, got %d requests, the first %v late", target.ID, e.to.Format("15:04:05.000"), len(times), times[0].Sub(e.from)))
			}
		}
	}
	return late
}

func mostInOneSecond(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against requests that reach an evacuated data centre late, or that overrun its targets when they come back cold,
// while the leader and other routers are stopped again and again.
func TestEvacuatedTargetsGetNoLateRequestsFromStoppedProcesses(t *testing.T) {
	runSeeds(t, runEvacuations)
}

func runEvacuations(t *testing.T, seed uint64, length time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	config := strings.ReplaceAll(leavingConfig, `"max_connections":120`, `"max_connections":120,"health_path":"/healthz","warmup":"3s","warmup_per_s":1.6`)
	r := newLeavingRun(ctx, t, seed, 4, config, evacuationBounds)
	r.callAndStop(seed)
	done := make(chan []evacuation)
	for n, dataCentre := range []string{"hall", "annex"} {
		r.jobs.Go(func() { done <- r.evacuateAgainAndAgain(rand.New(rand.NewPCG(seed, uint64(10+n))), dataCentre) })
	}
	r.sleep(length)
	var all []evacuation
	cancel()
	for range 2 {
		all = append(all, <-done...)
	}
	t.Logf("%d evacuations and returns", len(all))
	r.end(cancel, seed, func() []string { return r.lateIn(all) })
}
