package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Flags of longer runs.
var (
	endlessFor     = flag.Duration("endless.for", 6*time.Second, "how long callers ask for answers without end in TestEndlessAnswersLeaveARouterToItsOtherCallers")
	endlessCallers = flag.Int("endless.callers", 60, "how many callers ask for these")
)

const (
	// routerMemory is the memory that the settings of routers state, in bytes.
	routerMemory = 284 << 20
	// otherCallers ask for whole answers, with a pause in between.
	otherCallers = 20
	otherPause   = 20 * time.Millisecond
)

// endlessWays are the ways in which callers ask for them.
var endlessWays = []way{
	{name: "GET", method: http.MethodGet, route: "read", pipelined: 1, hasDeadline: true},
	{name: "HEAD", method: http.MethodHead, route: "read", pipelined: 1, hasDeadline: true},
	{name: "four GETs at once", method: http.MethodGet, route: "read", pipelined: 4, hasDeadline: true},
	{name: "POST", method: http.MethodPost, route: "pay", pipelined: 1, hasDeadline: true, body: 300},
}

// newEndlessRun starts a router on a core of its own, six targets that answer without end and six that don't.
func newEndlessRun(t *testing.T) *timeoutRun {
	t.Helper()
	r := &timeoutRun{system: &system{t: t, bin: t.TempDir(), store: platformtest.NewStore(), bounds: configBounds}}
	t.Cleanup(r.store.Close)
	buildCommands(t, r.bin)
	r.store.Put(platform.ConfigKey, timeoutConfig(1, fallenTimeout))
	var next atomic.Int64
	for i := range 12 {
		service := []string{"any", "slow"}[i%2]
		target := platformtest.NewTarget(fmt.Sprintf("%s-%d", service, i), service, "hall", false)
		t.Cleanup(target.Close)
		target.Slots = 1 << 10
		target.SetServiceTime(10 * time.Millisecond)
		if service == "any" {
			target.SetHandler(func(w http.ResponseWriter, req *http.Request) bool {
				platformtest.EndlessAnswers[int(next.Add(1))%len(platformtest.EndlessAnswers)].To(w, req)
				return true
			})
		}
		target.Register(r.store)
		r.targets = append(r.targets, target)
	}
	onCores(t, 1, func() { r.start("edge-0", freePortBlocks(t, 1)[0]) })
	eventually(t, "the router serves", func() bool { return r.getPath(r.routers[0], "/slow/1", 0) == http.StatusOK })
	return r
}

// peakMemory returns the most memory that a process has had, in bytes.
func peakMemory(t *testing.T, p *process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, found)
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kib << 10
}

// Guards against answers without end that fill a router's memory, or keep it from its other callers.
func TestEndlessAnswersLeaveARouterToItsOtherCallers(t *testing.T) {
	r := newEndlessRun(t)
	p := r.routers[0]
	ctx, cancel := context.WithTimeout(t.Context(), *endlessFor)
	defer cancel()
	var calling sync.WaitGroup
	for i := range *endlessCallers {
		calling.Go(func() {
			how := endlessWays[i%len(endlessWays)]
			for ctx.Err() == nil {
				r.ask(p, how, "/"+how.route+"/1", "endless", fallenTimeout)
			}
		})
	}
	var served, others, late atomic.Int64
	for range otherCallers {
		calling.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				others.Add(1)
				if r.getPath(p, "/slow/1", 0) == http.StatusOK {
					served.Add(1)
				}
				if time.Since(began) > fallenTimeout {
					late.Add(1)
				}
				time.Sleep(otherPause)
			}
		})
	}
	calling.Wait()
	select {
	case err := <-p.exited:
		t.Fatalf("the router has ended: %v", err)
	default:
	}
	peak := peakMemory(t, p)
	t.Logf("%d answers without end; %d of %d others served, %d of them late; at most %d MiB", len(r.answers), served.Load(), others.Load(), late.Load(), peak>>20)
	assert.Equal(t, served.Load(), others.Load())
	assert.Equal(t, late.Load(), int64(0))
	assert.Assert(t, peak < routerMemory, "%d", peak)
}
