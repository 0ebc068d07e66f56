package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Flags of longer runs, see the Makefile.
var (
	leavingSeeds = flag.Int("leaving.seeds", 1, "how many seeds TestLeavingTargetsGetNoLateRequestsFromStoppedProcesses runs")
	leavingSeed  = flag.Uint64("leaving.seed", 1, "the first of these seeds")
	leavingFor   = flag.Duration("leaving.for", 25*time.Second, "how long targets leave for each seed")
	leavingBusy  = flag.Int("leaving.busy", 2, "how many busy processes run beside the routers")
	leavingLogs  = flag.String("leaving.logs", "", "the folder for the logs of failed runs; empty for none")
)

const (
	// leavingDrain is the bound of the settings after which a leaving target must get no request.
	leavingDrain = 2 * time.Second
	// leavingServes is for how long a target goes on serving after it has announced that it leaves.
	leavingServes = leavingDrain + 2500*time.Millisecond
	// heartbeatInterval is how often a target writes its entry.
	heartbeatInterval = time.Second
	minStopped        = 300 * time.Millisecond
	maxStopped        = 1500 * time.Millisecond
	// maxLeaderPause and maxRouterPause bound the pause between two stops of the leader, and of other routers.
	maxLeaderPause = 150 * time.Millisecond
	maxRouterPause = 600 * time.Millisecond

	leavingConfig = `{"version":"00000003","routes":[` +
		`{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe","timeout":"1500ms","target_latency":"400ms","service":"keyed","max_attempts":2},` +
		`{"name":"any","host":"h.example","prefix":"/any/","route_type":"safe","timeout":"1500ms","target_latency":"400ms","service":"any","max_attempts":2}],` +
		`"services":[{"name":"keyed","max_connections":120,"sharded":true,"health_path":"/healthz"},{"name":"any","max_connections":120}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`
)

// leavingRun has real router processes, and targets that join and leave while routers are stopped again and again.
type leavingRun struct {
	*system
	random *rand.Rand
	ctx    context.Context
	jobs   sync.WaitGroup

	mu sync.Mutex
	// present are the targets that have not left; departures the others.
	present    map[string]*livingTarget
	departures []departure
	nextTarget int
	served     map[string]int
	// said are the targets that state in answers that they leave, and told since when a life of a router has passed that on.
	said []*platformtest.Target
	told map[toldKey]time.Time
	// restPeriods are the times in which targets turned requests away, and stops those in which routers were stopped.
	restPeriods []restPeriod
	stops       []routerStop
}

type livingTarget struct {
	*platformtest.Target
	stopHeartbeats context.CancelFunc
}

// departure is the acknowledged leaving of a target.
type departure struct {
	target  *platformtest.Target
	ackedAt time.Time
	how     string
}

func newLeavingRun(ctx context.Context, t *testing.T, seed uint64, routers int, config, bounds string) *leavingRun {
	t.Helper()
	r := &leavingRun{
		system: &system{t: t, bin: t.TempDir(), store: platformtest.NewStore(), bounds: bounds},
		random: rand.New(rand.NewPCG(seed, 0)), ctx: ctx, present: map[string]*livingTarget{}, served: map[string]int{}, told: map[toldKey]time.Time{},
	}
	t.Cleanup(r.store.Close)
	buildCommands(t, r.bin)
	r.store.Put(platform.ConfigKey, []byte(config))
	for range 4 {
		r.join("keyed")
		r.join("any")
	}
	for i, block := range freePortBlocks(t, routers) {
		r.start(fmt.Sprintf("edge-%d", i), block)
	}
	return r
}

// join starts a target of the service.
func (r *leavingRun) join(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := fmt.Sprintf("%s-%d", service, r.nextTarget)
	r.nextTarget++
	target := platformtest.NewTarget(id, service, dataCentreOf(r.nextTarget), service == "keyed")
	target.Slots = 16
	target.SetServiceTime(3 * time.Millisecond)
	r.t.Cleanup(target.Close)
	ctx, cancel := context.WithCancel(r.ctx)
	r.present[id] = &livingTarget{target, cancel}
	target.Register(r.store)
	r.jobs.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				target.Heartbeat(r.store)
			case <-ctx.Done():
				return
			}
		}
	})
}

// dataCentreOf returns the data centre of the target with a number: two targets of each service in turn.
func dataCentreOf(n int) string { return []string{"hall", "annex"}[n/2%2] }

// leave makes a target of the service leave: it drains, or its entry is removed. It serves on for leavingServes.
func (r *leavingRun) leave(service string) {
	r.mu.Lock()
	var ids []string
	for id := range r.present {
		if strings.HasPrefix(id, service) {
			ids = append(ids, id)
		}
	}
	target := r.present[ids[r.random.IntN(len(ids))]]
	delete(r.present, target.ID)
	removed := r.random.IntN(4) == 0
	r.mu.Unlock()
	d := departure{target: target.Target, how: "drains"}
	if removed {
		target.stopHeartbeats()
		d.how = "is removed"
		target.Unregister(r.store)
	} else {
		target.Drain(r.store)
	}
	d.ackedAt = time.Now()
	r.mu.Lock()
	r.departures = append(r.departures, d)
	r.mu.Unlock()
	r.jobs.Go(func() {
		select {
		case <-time.After(leavingServes):
		case <-r.ctx.Done():
		}
		target.stopHeartbeats()
		target.Unregister(r.store)
	})
}

// stopAgainAndAgain stops routers that choose returns with SIGSTOP until the run ends. Between two stops lies a
// pause of up to maxPause.
func (r *leavingRun) stopAgainAndAgain(random *rand.Rand, maxPause time.Duration, choose func() *process) {
	for r.ctx.Err() == nil {
		if p := choose(); p != nil {
			stopped := routerStop{life: routerLife(p.name, 0), from: time.Now()}
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			r.sleep(minStopped + time.Duration(random.Int64N(int64(maxStopped-minStopped))))
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			stopped.to = time.Now()
			r.mu.Lock()
			r.stops = append(r.stops, stopped)
			r.mu.Unlock()
		}
		r.sleep(time.Duration(random.Int64N(int64(maxPause))))
	}
}

func (r *leavingRun) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// call sends requests through a router until the run ends.
func (r *leavingRun) call(p *process, path string, n int) { r.callUntil(r.ctx, p, path, n) }

func (r *leavingRun) callUntil(ctx context.Context, p *process, path string, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		req, err := http.NewRequest(http.MethodGet, "http://"+p.caller+path+"1", http.NoBody)
		assert.NilError(r.t, err)
		req.Host = servedHost
		req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("%s-%d-%d", p.name, n, i))
		req.Header.Set(platform.HeaderDeadline, "1500")
		req.Header.Set(platform.HeaderKey, strconv.Itoa(i*7919%65536))
		outcome := "no answer"
		var header http.Header
		var body []byte
		if resp, err := client.Do(req); err == nil {
			body, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
			outcome, header = strconv.Itoa(resp.StatusCode), resp.Header
		}
		r.mu.Lock()
		r.recordAnswer(routerLife(p.name, n), header, string(body))
		r.served[path+" "+outcome]++
		r.mu.Unlock()
		r.sleep(8 * time.Millisecond)
	}
}

// late returns the requests that reached targets too late after these had left.
func (r *leavingRun) late() []string {
	var late []string
	for _, d := range r.departures {
		for _, a := range d.target.Arrivals() {
			if after := a.At.Sub(d.ackedAt); after > leavingDrain {
				late = append(late, fmt.Sprintf("%s, which %s at %s, got %s %v later", d.target.ID, d.how, d.ackedAt.Format("15:04:05.000"), a.ID, after))
			}
		}
	}
	return late
}

// busyScript keeps a processor busy for as long as the process that started it lives.
const busyScript = "while kill -0 $PPID 2>/dev/null; do i=0; while [ $i -lt 20000 ]; do i=$((i+1)); done; done"

// startBusy starts processes that do nothing but keep processors busy.
func startBusy(t *testing.T, n int) {
	t.Helper()
	for range n {
		cmd := exec.Command("sh", "-c", busyScript)
		assert.NilError(t, cmd.Start())
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
	}
}

// runSeeds runs something with each of the seeds that the flags say, beside busy processes.
func runSeeds(t *testing.T, run func(t *testing.T, seed uint64, length time.Duration)) {
	t.Helper()
	startBusy(t, *leavingBusy)
	for i := range *leavingSeeds {
		seed := *leavingSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, seed, *leavingFor) })
	}
}

// Guards against requests that reach a target later than the drain bound after its leaving was acknowledged, while the
// leader and other routers are stopped again and again.
func TestLeavingTargetsGetNoLateRequestsFromStoppedProcesses(t *testing.T) {
	runSeeds(t, runLeaving)
}

// callAndStop sends requests through all routers, and stops these again and again, until the run ends.
func (r *leavingRun) callAndStop(seed uint64) {
	for _, p := range r.routers {
		eventually(r.t, p.name+" serves", func() bool { return r.getStatus(p, 1) == http.StatusOK })
	}
	for _, p := range r.routers {
		for n := range 2 {
			r.jobs.Go(func() { r.call(p, "/read/", n) })
			r.jobs.Go(func() { r.call(p, "/any/", n+2) })
		}
	}
	r.jobs.Go(func() { r.stopAgainAndAgain(rand.New(rand.NewPCG(seed, 1)), maxLeaderPause, r.leader) })
	anyRouter := rand.New(rand.NewPCG(seed, 2))
	r.jobs.Go(func() {
		r.stopAgainAndAgain(anyRouter, maxRouterPause, func() *process { return r.routers[anyRouter.IntN(len(r.routers))] })
	})
}

// end ends the run once what has begun is over, and keeps the routers' logs if any request was late.
func (r *leavingRun) end(cancel context.CancelFunc, seed uint64, late func() []string) {
	cancel()
	for _, p := range r.routers {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	r.jobs.Wait()
	r.t.Logf("seed %d: answers: %v", seed, r.served)
	all := late()
	if len(all) > 0 && *leavingLogs != "" {
		for _, p := range r.routers {
			name := filepath.Join(*leavingLogs, fmt.Sprintf("seed-%d-%s.log", seed, p.name))
			assert.NilError(r.t, os.WriteFile(name, []byte(p.output.String()), 0o600))
		}
	}
	assert.Equal(r.t, len(all), 0, "%s", strings.Join(all, "\n"))
}

func runLeaving(t *testing.T, seed uint64, length time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newLeavingRun(ctx, t, seed, 4, leavingConfig, "")
	r.callAndStop(seed)
	for began := time.Now(); time.Since(began) < length; r.sleep(time.Duration(300+r.random.IntN(900)) * time.Millisecond) {
		service := []string{"keyed", "any"}[r.random.IntN(2)]
		r.join(service)
		r.leave(service)
	}
	r.sleep(leavingServes)
	t.Logf("%d targets left", len(r.departures))
	r.end(cancel, seed, r.late)
}
