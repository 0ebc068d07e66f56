package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
	configSeeds   = flag.Int("config.seeds", 1, "how many seeds TestChangesAreInForceInTimeBesideDisturbedConnections runs")
	configSeed    = flag.Uint64("config.seed", 1, "the first of these seeds")
	configFor     = flag.Duration("config.for", 25*time.Second, "how long the configuration changes for each seed")
	configRouters = flag.Int("config.routers", 4, "how many routers each seed has")
	configBusy    = flag.Int("config.busy", 2, "how many busy processes run beside the routers")
	configLogs    = flag.String("config.logs", "", "the folder for the logs of failed runs; empty for none")
)

const (
	// configApply is the time within which a change must be in force, and rollbackSlack that for which requests may still be
	// handled by the version before once one was handled by the next.
	configApply   = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
	// stabilityWindow is how long a router must have been undisturbed for the bounds to hold for it.
	stabilityWindow = 3 * time.Second
	// keptRoutes is how many versions a configuration has the added routes of.
	keptRoutes = 3
	// probePause is the pause of one router's probes.
	probePause = 25 * time.Millisecond
	// stormLength is how many changes follow one another at once now and then.
	stormLength = 4
	// ackSlack is how much earlier than its recorded acknowledgement a version may be in the store.
	ackSlack = 50 * time.Millisecond
	// A route counts as not served if of minDueProbes or more less than one in minServedShare is.
	minDueProbes   = 20
	minServedShare = 4
	// maxDelay is the longest delay of a disturbed connection.
	maxDelay = 3 * time.Second

	configBounds = "config_apply = \"2000ms\"\n"
)

// configRun has real router processes whose connections to the store, the targets and each other pass through proxies, an
// operator that changes the configuration again and again, and clients that probe which version is in force.
type configRun struct {
	*system
	random *rand.Rand
	ctx    context.Context
	jobs   sync.WaitGroup
	// stores are the ways to the store by router; peers and ways those to routers and targets.
	stores []*platformtest.Proxy
	peers  []*platformtest.Proxy
	ways   []*platformtest.Proxy
	// blocks are the first ports of the routers.
	blocks []int

	mu sync.Mutex
	// acked has when each version was acknowledged.
	acked []time.Time
	// lives is how often each router was started again.
	lives []int
	// disturbances are the times at which a router or its connections were disturbed, by router.
	disturbances [][]disturbance
	probes       []probe
}

type disturbance struct {
	from, to time.Time
	what     string
}

// probe is a request for a route that one version added, to one life of a router.
type probe struct {
	router, life, version int
	sent, answered        time.Time
	status                int
}

// versionConfig returns the configuration of a version, with the routes that the last versions added.
func versionConfig(version int) []byte {
	var routes []string
	for v := max(version-keptRoutes+1, 0); v <= version; v++ {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h.example","prefix":"/v%d/","route_type":"safe","timeout":"1500ms",`+
			`"target_latency":"400ms","service":"any","max_attempts":2}`, v, v))
	}
	return fmt.Appendf(nil, `{"version":"%08x","routes":[%s],"services":[{"name":"any","max_connections":120}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		version+1, strings.Join(routes, ","))
}

func newConfigRun(ctx context.Context, t *testing.T, seed uint64, routers int) *configRun {
	t.Helper()
	r := &configRun{
		system: &system{t: t, bin: t.TempDir(), store: platformtest.NewStore(), bounds: configBounds},
		random: rand.New(rand.NewPCG(seed, 0)), ctx: ctx, disturbances: make([][]disturbance, routers),
	}
	t.Cleanup(r.store.Close)
	buildCommands(t, r.bin)
	proxied := map[string]string{}
	for i := range 4 {
		target := platformtest.NewTarget(fmt.Sprintf("any-%d", i), "any", "hall", false)
		target.Slots = 16
		t.Cleanup(target.Close)
		r.targets = append(r.targets, target)
		r.ways = append(r.ways, r.proxy(target.Address()))
		proxied[target.Address()] = r.ways[i].Address()
	}
	r.blocks, r.lives = freePortBlocks(t, routers), make([]int, routers)
	for i, block := range r.blocks {
		peer := net.JoinHostPort("127.0.0.1", strconv.Itoa(block+3))
		r.peers = append(r.peers, r.proxy(peer))
		proxied[peer] = r.peers[i].Address()
	}
	r.store.ReadAs(func(value []byte) []byte {
		for address, proxy := range proxied {
			value = bytes.ReplaceAll(value, []byte(address), []byte(proxy))
		}
		return value
	})
	r.change()
	for _, target := range r.targets {
		target.Register(r.store)
		r.jobs.Go(func() {
			for r.ctx.Err() == nil {
				r.sleep(heartbeatInterval)
				target.Heartbeat(r.store)
			}
		})
	}
	for i := range r.blocks {
		r.stores = append(r.stores, r.proxy(r.store.Address()))
		r.routers = append(r.routers, r.launch(i))
	}
	return r
}

// launch starts a router.
func (r *configRun) launch(router int) *process {
	r.storeAddress = r.stores[router].Address()
	return r.launchRouter(fmt.Sprintf("edge-%d", router), r.blocks[router])
}

// life returns a router's process and how often it was started again.
func (r *configRun) life(router int) (*process, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers[router], r.lives[router]
}

func (r *configRun) proxy(backend string) *platformtest.Proxy {
	p, err := platformtest.NewProxy(backend)
	assert.NilError(r.t, err)
	r.t.Cleanup(p.Close)
	return p
}

func (r *configRun) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// change writes the next version.
func (r *configRun) change() {
	r.mu.Lock()
	version := len(r.acked)
	r.mu.Unlock()
	r.store.Put(platform.ConfigKey, versionConfig(version))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, time.Now())
}

// newest returns the newest version.
func (r *configRun) newest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.acked) - 1
}

// probe sends requests for the routes of the last versions, the one that was just removed included, through a router.
func (r *configRun) probe(router int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; r.ctx.Err() == nil; i++ {
		version := r.newest() - i%(keptRoutes+1)
		r.sleep(probePause)
		if version < 0 {
			continue
		}
		p, life := r.life(router)
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/1", p.caller, version), http.NoBody)
		assert.NilError(r.t, err)
		req.Host = servedHost
		req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("%s-%d", p.name, i))
		req.Header.Set(platform.HeaderDeadline, "1500")
		sent := probe{router: router, life: life, version: version, sent: time.Now()}
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			sent.status = resp.StatusCode
		}
		sent.answered = time.Now()
		r.mu.Lock()
		r.probes = append(r.probes, sent)
		r.mu.Unlock()
	}
}

// disturbed records that a router is disturbed from now on, and returns what ends that.
func (r *configRun) disturbed(router int, format string, args ...any) (end func()) {
	from := time.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[router] = append(r.disturbances[router], disturbance{from, time.Now(), fmt.Sprintf(format, args...)})
	}
}

// disturbConn disturbs one connection, of router if it is that router's own.
func (r *configRun) disturbConn(random *rand.Rand, router int, name string, conns []*platformtest.ProxyConn) {
	if len(conns) == 0 {
		return
	}
	c := conns[random.IntN(len(conns))]
	how := []string{"silent", "silent to the server", "silent to the client", "reset", "delayed"}[random.IntN(5)]
	end := r.disturbed(router, "%s %s, %s", name, how, c.LastRequest())
	defer end()
	switch how {
	case "silent":
		c.Silence(platformtest.ToServer, platformtest.ToClient)
	case "silent to the server":
		c.Silence(platformtest.ToServer)
	case "silent to the client":
		c.Silence(platformtest.ToClient)
	case "reset":
		c.Reset()
	case "delayed":
		c.Delay(platformtest.ToClient, time.Duration(random.Int64N(int64(maxDelay))))
	}
}

// disturb disturbs a connection or a process now and then.
func (r *configRun) disturb(random *rand.Rand) {
	for r.ctx.Err() == nil {
		router := random.IntN(len(r.routers))
		switch random.IntN(8) {
		case 0, 1, 2, 3:
			r.disturbConn(random, router, "store", r.stores[router].Conns())
		case 4, 5:
			r.disturbConn(random, router, "peer", r.peers[router].Conns())
		case 6:
			r.disturbConn(random, router, "target", r.ways[random.IntN(len(r.ways))].Conns())
		case 7:
			r.signal(random, router)
		}
		r.sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
	}
}

// signal sends a router a SIGHUP, stops it for a while, or ends it and starts it again.
func (r *configRun) signal(random *rand.Rand, router int) {
	p, _ := r.life(router)
	switch random.IntN(4) {
	case 0:
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	case 1:
		end := r.disturbed(router, "stopped")
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		r.sleep(minStopped + time.Duration(random.Int64N(int64(maxStopped-minStopped))))
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		end()
	case 2:
		r.restart(router, syscall.SIGKILL)
	case 3:
		r.restart(router, syscall.SIGTERM)
	}
}

// restart ends a router by a signal, and starts it again.
func (r *configRun) restart(router int, how syscall.Signal) {
	p, _ := r.life(router)
	defer r.disturbed(router, "ended by %v", how)()
	_ = p.cmd.Process.Signal(how)
	p.exitCode(r.t)
	next := r.launch(router)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers[router] = next
	r.lives[router]++
}

// calm reports whether a router was undisturbed in the time before, and until the end of, a probe.
func (r *configRun) calm(p *probe) bool {
	for _, d := range r.disturbances[p.router] {
		if d.from.Before(p.answered) && d.to.After(p.sent.Add(-stabilityWindow)) {
			return false
		}
	}
	return true
}

// violations returns the probes that were handled by a version that was too old, and the versions whose route was hardly served.
func (r *configRun) violations() (found []string) {
	seen := map[[3]int]time.Time{} // when each life of a router first served a version
	served, due := map[[3]int]int{}, map[[3]int]int{}
	for i := range r.probes {
		p := &r.probes[i]
		key := [3]int{p.router, p.life, p.version}
		if p.status == http.StatusOK && seen[key].IsZero() {
			seen[key] = p.answered
		}
		if why := r.violation(p, seen[key]); why != "" {
			found = append(found, fmt.Sprintf("%s %s: /v%d/ got %d %s", p.sent.Format("15:04:05.000"), r.routers[p.router].name, p.version, p.status, why))
		}
		if p.sent.Sub(r.acked[p.version]) > configApply && !r.mayBeRemoved(p) && r.calm(p) {
			due[key]++
			if p.status == http.StatusOK {
				served[key]++
			}
		}
	}
	for key, n := range due {
		if n >= minDueProbes && minServedShare*served[key] < n {
			found = append(found, fmt.Sprintf("%s served /v%d/ %d times of %d", r.routers[key[0]].name, key[2], served[key], n))
		}
	}
	return found
}

// mayBeRemoved reports whether the route of a probe may have been removed before its answer.
func (r *configRun) mayBeRemoved(p *probe) bool {
	by := p.version + keptRoutes
	return by < len(r.acked) && !p.answered.Before(r.acked[by].Add(-ackSlack))
}

// violation returns how a probe was handled by a version that was too old; empty if it was not. seen is when its router first
// served the probe's version.
func (r *configRun) violation(p *probe, seen time.Time) string {
	if p.status == http.StatusNotFound && !r.mayBeRemoved(p) {
		if after := p.sent.Sub(seen); !seen.IsZero() && after > rollbackSlack {
			return fmt.Sprintf("%v after it was in force", after)
		}
		if after := p.sent.Sub(r.acked[p.version]); after > configApply && r.calm(p) {
			return fmt.Sprintf("%v after it was acknowledged", after)
		}
	}
	if by := p.version + keptRoutes; p.status == http.StatusOK && by < len(r.acked) && r.calm(p) {
		if after := p.sent.Sub(r.acked[by]); after > configApply {
			return fmt.Sprintf("%v after it was removed", after)
		}
	}
	return ""
}

// report describes violations, with what was disturbed meanwhile.
func (r *configRun) report(found []string) string {
	var b strings.Builder
	for _, v := range found[:min(len(found), 20)] {
		fmt.Fprintln(&b, v)
	}
	for i, all := range r.disturbances {
		for _, d := range all {
			fmt.Fprintf(&b, "%s to %s %s: %s\n", d.from.Format("15:04:05.000"), d.to.Format("15:04:05.000"), r.routers[i].name, d.what)
		}
	}
	for v, at := range r.acked {
		fmt.Fprintf(&b, "%s version %d acknowledged\n", at.Format("15:04:05.000"), v)
	}
	return b.String()
}

// end ends the run once what has begun is over, and keeps the routers' logs if anything was found.
func (r *configRun) end(cancel context.CancelFunc, seed uint64) {
	cancel()
	for _, p := range r.routers {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	r.jobs.Wait()
	found := r.violations()
	r.t.Logf("seed %d: %d versions, %d probes, %d violations", seed, len(r.acked), len(r.probes), len(found))
	if len(found) == 0 {
		return
	}
	if *configLogs != "" {
		for _, p := range r.routers {
			name := filepath.Join(*configLogs, fmt.Sprintf("seed-%d-%s.log", seed, p.name))
			assert.NilError(r.t, os.WriteFile(name, []byte(p.output.String()), 0o600))
		}
		name := filepath.Join(*configLogs, fmt.Sprintf("seed-%d-report.txt", seed))
		assert.NilError(r.t, os.WriteFile(name, []byte(r.report(found)), 0o600))
	}
	r.t.Errorf("%d violations\n%s", len(found), r.report(found))
}

func runConfig(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newConfigRun(ctx, t, seed, *configRouters)
	for _, p := range r.routers {
		eventually(t, p.name+" serves", func() bool { return r.getPath(p, "/v0/1", 0) == http.StatusOK })
	}
	for i := range r.routers {
		r.jobs.Go(func() { r.probe(i) })
	}
	r.jobs.Go(func() { r.disturb(rand.New(rand.NewPCG(seed, 1))) })
	for began := time.Now(); time.Since(began) < *configFor; {
		for range 1 + stormLength*(r.random.IntN(5)/4) {
			r.change()
			r.sleep(time.Duration(100+r.random.IntN(300)) * time.Millisecond)
		}
		r.sleep(time.Duration(r.random.IntN(3500)) * time.Millisecond)
	}
	r.sleep(configApply + stabilityWindow)
	r.end(cancel, seed)
}

// Guards against changes of the configuration that are in force late, or not for long, while single connections of routers
// fall silent, are reset or deliver late.
func TestChangesAreInForceInTimeBesideDisturbedConnections(t *testing.T) {
	startBusy(t, *configBusy)
	for i := range *configSeeds {
		seed := *configSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runConfig(t, seed) })
	}
}
