package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"tarragongw/platform/platformtest"
)

const (
	// limitKnownWithin is the time after a target has begun to state a limit, and answered, from which on it must be kept.
	limitKnownWithin = 500 * time.Millisecond
	// limitWindow, limitTolerance and limitSlack are what a target may get by its limit: in any limitWindow, limitTolerance times
	// what the limit allows, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// minLimited and maxLimited bound for how long a target states a limit.
	minLimited = 5 * time.Second
	maxLimited = 9 * time.Second
	// answeredWithin is the time within which a target that gets requests has answered one.
	answeredWithin = time.Second
)

// limitPeriod is a time in which a target stated a limit.
type limitPeriod struct {
	target    *platformtest.Target
	perSecond float64
	from, to  time.Time
}

// limitAgainAndAgain has one of the targets, or all, state a limit at a time, until the run ends.
func (r *leavingRun) limitAgainAndAgain(random *rand.Rand, targets []*platformtest.Target) (all []limitPeriod) {
	for r.ctx.Err() == nil {
		first := random.IntN(len(targets))
		chosen := targets[first : first+1]
		if random.IntN(4) == 0 {
			chosen = targets
		}
		perSecond, in := []float64{0, 0.5, 1, 3.5, 7, 12}[random.IntN(6)], platformtest.LimitIn(random.IntN(2))
		var periods []limitPeriod
		for _, target := range chosen {
			if r.stateLimit(target, perSecond, in) {
				periods = append(periods, limitPeriod{target: target, perSecond: perSecond, from: time.Now().Add(limitKnownWithin)})
			}
		}
		r.sleep(minLimited + time.Duration(random.Int64N(int64(maxLimited-minLimited))))
		for _, p := range periods {
			p.to = time.Now()
			all = append(all, p)
		}
		for _, target := range chosen {
			target.StateLimit("", platformtest.AllAnswers)
		}
		r.sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	return all
}

// stateLimit makes a target state a limit, and reports whether it has soon answered a request.
func (r *leavingRun) stateLimit(target *platformtest.Target, perSecond float64, in platformtest.LimitIn) bool {
	target.StateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64), in)
	before := target.LimitAnswers()
	for until := time.Now().Add(answeredWithin); r.ctx.Err() == nil && time.Now().Before(until); r.sleep(5 * time.Millisecond) {
		if target.LimitAnswers() > before {
			return true
		}
	}
	return false
}

// overLimit returns the windows in which targets got more requests and status checks than their limits allowed.
func overLimit(all []limitPeriod) (over []string) {
	for _, p := range all {
		allowed := int(limitTolerance*p.perSecond*limitWindow.Seconds()) + limitSlack
		var window []time.Time
		for _, call := range p.target.Calls() {
			if call.At.Before(p.from) || call.At.After(p.to) || call.What == "POST /grant" || call.What == "POST /release" {
				continue
			}
			window = append(window, call.At)
			for call.At.Sub(window[0]) > limitWindow {
				window = window[1:]
			}
			if len(window) > allowed {
				over = append(over, fmt.Sprintf("%s, which stated %v a second from %s on, got %d requests up to %s, where %d are allowed",
					p.target.ID, p.perSecond, p.from.Format("15:04:05.000"), len(window), call.At.Format("15:04:05.000"), allowed))
				break
			}
		}
	}
	return over
}

// restartAgainAndAgain starts a router, calls it, and ends it by SIGTERM or SIGKILL, until the run ends.
func (r *leavingRun) restartAgainAndAgain(random *rand.Rand, name string, block int) {
	for life := 0; r.ctx.Err() == nil; life++ {
		p := r.launchRouter(name, block)
		ctx, cancel := context.WithCancel(r.ctx)
		for n := range 2 {
			r.jobs.Go(func() { r.callUntil(ctx, p, []string{"/read/", "/any/"}[n], 100*life+n) })
		}
		r.sleep(time.Duration(1500+random.IntN(4000)) * time.Millisecond)
		how := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)]
		_ = p.cmd.Process.Signal(how)
		select {
		case <-p.exited:
		case <-time.After(8 * time.Second):
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		cancel()
	}
}

// Guards against targets that get more than the limit that they state, while the leader and other routers are stopped,
// restarted and killed again and again.
func TestStatedLimitsAreKeptByStoppedProcesses(t *testing.T) {
	runSeeds(t, runLimits)
}

func runLimits(t *testing.T, seed uint64, length time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newLeavingRun(ctx, t, seed, 4, leavingConfig, "")
	r.callAndStop(seed)
	blocks := freePortBlocks(t, 1)
	r.jobs.Go(func() { r.restartAgainAndAgain(rand.New(rand.NewPCG(seed, 3)), "edge-new", blocks[0]) })
	done := make(chan []limitPeriod)
	services := []string{"keyed", "any"}
	for n, service := range services {
		var targets []*platformtest.Target
		for _, target := range r.present {
			if target.Service == service {
				targets = append(targets, target.Target)
			}
		}
		slices.SortFunc(targets, func(a, b *platformtest.Target) int { return strings.Compare(a.ID, b.ID) })
		r.jobs.Go(func() { done <- r.limitAgainAndAgain(rand.New(rand.NewPCG(seed, uint64(20+n))), targets) })
	}
	r.sleep(length)
	cancel()
	var all []limitPeriod
	for range services {
		all = append(all, <-done...)
	}
	t.Logf("%d limits stated", len(all))
	r.end(cancel, seed, func() []string { return overLimit(all) })
}
