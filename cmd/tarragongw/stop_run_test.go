package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Flags of longer runs.
var (
	stopRounds = flag.Int("stop.rounds", 1, "how many routers TestPlannedStopCutsNothingOff stops, one after the other")
	stopSeed   = flag.Uint64("stop.seed", 1, "the seed of what its callers send")
	stopCores  = flag.Int("stop.cores", 0, "how many cores its routers share; 0 for all")
)

const (
	// stopGrace is the grace in the settings of routers.
	stopGrace = 6 * time.Second
	// stopCallers is how many callers each kind of work has at each router, and stopStreams how many more that share a connection
	// of HTTP/2.
	stopCallers = 12
	stopStreams = 4
	// beforeStop is how long callers send before a router is stopped.
	beforeStop = 5 * time.Second
	// lostTime is how long after a request was sent its connection may end without an answer.
	lostTime = 200 * time.Millisecond
	// retryPause is how long callers wait after a refusal.
	retryPause = 20 * time.Millisecond
)

// stopWork is a kind of work: its route and how long targets take for it.
type stopWork struct {
	route    string
	min, max time.Duration
	slots    int
}

var stopWorks = []stopWork{
	{"read", 20 * time.Millisecond, 300 * time.Millisecond, 64},
	{"pay", 50 * time.Millisecond, 1200 * time.Millisecond, 64},
	{"queued", 300 * time.Millisecond, 900 * time.Millisecond, 4},
	{"long", 3 * time.Second, 4 * time.Second, 64},
}

// stopRun has real routers that are stopped while callers go on sending on open connections, until the process is gone.
type stopRun struct {
	*system
	random *rand.Rand
	nextID atomic.Int64

	mu     sync.Mutex
	begun  map[string]bool // the requests that targets have begun
	cuts   []string
	counts map[string]int
	// stoppedAt is when the router that is stopped now got its SIGTERM.
	stoppedAt time.Time
}

func stopConfig() []byte {
	var routes, services []string
	for _, w := range stopWorks {
		kind := "unsafe"
		if w.route == "read" {
			kind = "safe"
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":"/%s/","route_type":%q,"timeout":"6000ms","target_latency":"5000ms","service":%q,"max_attempts":2}`,
			w.route, w.route, kind, w.route))
		services = append(services, fmt.Sprintf(`{"name":%q,"max_connections":400}`, w.route))
	}
	return fmt.Appendf(nil, `{"version":"00000001","routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		strings.Join(routes, ","), strings.Join(services, ","))
}

func newStopRun(t *testing.T, routers int) *stopRun {
	t.Helper()
	r := &stopRun{
		system: &system{t: t, bin: t.TempDir(), store: platformtest.NewStore(), bounds: configBounds},
		random: rand.New(rand.NewPCG(*stopSeed, 0)), begun: map[string]bool{}, counts: map[string]int{},
	}
	t.Cleanup(r.store.Close)
	buildCommands(t, r.bin)
	r.store.Put(platform.ConfigKey, stopConfig())
	for _, w := range stopWorks {
		for i := range 2 {
			target := platformtest.NewTarget(fmt.Sprintf("%s-%d", w.route, i), w.route, "hall", false)
			t.Cleanup(target.Close)
			target.Slots = w.slots
			r.work(target, w)
			target.Register(r.store)
			r.targets = append(r.targets, target)
		}
	}
	onCores(t, *stopCores, func() {
		for i, block := range freePortBlocks(t, routers) {
			r.start(fmt.Sprintf("edge-%d", i), block)
		}
	})
	for _, p := range r.routers {
		eventually(t, p.name+" serves", func() bool { return r.getPath(p, "/read/1", 0) == http.StatusOK })
	}
	return r
}

// work makes a target take a while for each request, as many at a time as it has slots, and refuse the others.
func (r *stopRun) work(target *platformtest.Target, w stopWork) {
	slots := make(chan struct{}, w.slots)
	target.SetHandler(func(rw http.ResponseWriter, req *http.Request) bool {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			rw.Header().Set(platform.HeaderNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		id := req.Header.Get(platform.HeaderRequestID)
		r.mu.Lock()
		r.begun[id] = true
		took := w.min + time.Duration(r.random.Int64N(int64(w.max-w.min)))
		r.mu.Unlock()
		time.Sleep(took)
		rw.Header().Set(platform.HeaderStamp, "stamp")
		_, _ = io.WriteString(rw, "whole")
		return true
	})
}

// call sends requests over connections to a router for as long as it accepts any, atOnce at a time, a connection for each if fresh.
func (r *stopRun) call(ctx context.Context, p *process, w stopWork, atOnce int, fresh bool) {
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		if conn == nil {
			dialed, err := net.Dial("tcp", p.caller)
			if err != nil {
				return // the process has ended, or accepts nothing any more
			}
			conn, in = dialed, bufio.NewReader(dialed)
		}
		if !r.exchange(conn, in, p, w, atOnce) || fresh {
			conn.Close()
			conn = nil
		}
	}
}

// exchange sends requests at once and reads their answers. It returns false if the connection has ended or will.
func (r *stopRun) exchange(conn net.Conn, in *bufio.Reader, p *process, w stopWork, atOnce int) bool {
	var ids []string
	var all strings.Builder
	method, body := http.MethodPost, "body"
	if w.route == "read" {
		method, body = http.MethodGet, ""
	}
	for range atOnce {
		id := fmt.Sprintf("id-%d", r.nextID.Add(1))
		ids = append(ids, id)
		fmt.Fprintf(&all, "%s /%s/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\nContent-Length: %d\r\n\r\n%s", method, w.route, servedHost, platform.HeaderRequestID, id, platform.HeaderDeadline, len(body), body)
	}
	text := all.String()
	if w.route == "read" {
		text = strings.ReplaceAll(text, "Content-Length: 0\r\n", "")
	}
	sent := time.Now()
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	for _, id := range ids {
		resp, err := http.ReadResponse(in, nil)
		status, whole := 0, false
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			status, whole = resp.StatusCode, err == nil
		}
		r.record(p, w, id, sent, status, whole)
		if !whole || resp.Close {
			return false
		}
		if status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
	return true
}

// callHTTP2 sends requests as streams of one connection of HTTP/2, one after the other, for as long as a router accepts any.
func (r *stopRun) callHTTP2(ctx context.Context, client *http.Client, p *process, w stopWork) {
	for ctx.Err() == nil {
		id := fmt.Sprintf("id-%d", r.nextID.Add(1))
		req, err := http.NewRequest(http.MethodPost, "http://"+p.caller+"/"+w.route+"/1", strings.NewReader("body"))
		assert.NilError(r.t, err)
		req.Host = servedHost
		req.Header.Set(platform.HeaderRequestID, id)
		req.Header.Set(platform.HeaderDeadline, "8000")
		sent := time.Now()
		resp, err := client.Do(req)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		status, whole := 0, false
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status, whole = resp.StatusCode, err == nil
		}
		r.record(p, w, id, sent, status, whole)
		if status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// record records how a request ended. One that a target has begun must have its answer, and no other may wait for the end of its
// connection.
func (r *stopRun) record(p *process, w stopWork, id string, sent time.Time, status int, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[fmt.Sprintf("%s %d", w.route, status)]++
	cut := r.begun[id] && (status != http.StatusOK || !whole)
	if cut || status == 0 && time.Since(sent) > lostTime {
		r.cuts = append(r.cuts, fmt.Sprintf("%s at %s, %s: sent %v after SIGTERM, status %d %v after it", id, p.name, w.route, sent.Sub(r.stoppedAt), status, time.Since(r.stoppedAt)))
	}
}

// stop stops a router while callers send to it, and waits until these are done.
func (r *stopRun) stop(p *process) {
	ctx, cancel := context.WithTimeout(r.t.Context(), beforeStop+stopGrace+2*time.Second)
	defer cancel()
	var calling sync.WaitGroup
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	for _, w := range stopWorks {
		for range stopStreams {
			calling.Go(func() { r.callHTTP2(ctx, &http.Client{Transport: transport}, p, w) })
		}
		for i := range stopCallers {
			atOnce := 1
			if w.route == "read" && i%3 == 0 {
				atOnce = 4
			}
			calling.Go(func() { r.call(ctx, p, w, atOnce, i%3 == 1) })
		}
	}
	time.Sleep(beforeStop)
	r.mu.Lock()
	r.stoppedAt = time.Now()
	r.mu.Unlock()
	assert.NilError(r.t, p.cmd.Process.Signal(syscall.SIGTERM))
	code := p.exitCode(r.t)
	took := time.Since(r.stoppedAt)
	assert.Assert(r.t, took < stopGrace, "the process ended %v after SIGTERM", took)
	calling.Wait()
	assert.Check(r.t, code == 0, "%s exited with %d", p.name, code)
}

// Guards against planned stops that take requests on which can't end in the grace, and cut them off.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	const routers = 3
	r := newStopRun(t, routers)
	for i := range *stopRounds {
		r.stop(r.routers[i%routers])
		if i+1 < *stopRounds {
			onCores(t, *stopCores, func() {
				r.routers[i%routers] = r.launchRouter(fmt.Sprintf("edge-%d-%d", i%routers, i), freePortBlocks(t, 1)[0])
			})
			p := r.routers[i%routers]
			eventually(t, p.name+" serves", func() bool { return r.getPath(p, "/read/1", 0) == http.StatusOK })
		}
	}
	t.Logf("answers: %v", r.counts)
	assert.Equal(t, len(r.cuts), 0, "%s", strings.Join(r.cuts, "\n"))
}
