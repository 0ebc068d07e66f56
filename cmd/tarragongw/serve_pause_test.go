package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
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

const (
	// servedConfig is the configuration in the platform's store, with a route for servedHost.
	servedHost   = "h.example"
	servedConfig = `{"version":"00000003","routes":[{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe",` +
		`"timeout":"1500ms","target_latency":"400ms","service":"keyed","max_attempts":2}],` +
		`"services":[{"name":"keyed","max_connections":40,"sharded":true}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`
)

// system is a complete system on the platform: its store and targets run in the test's
// process, and each router runs `tarragongw serve` in a process of its own.
type system struct {
	t       *testing.T
	bin     string
	store   *platformtest.Store
	targets []*platformtest.Target
	routers []*process
	// bounds are further lines of the routers' settings under terms.bounds.
	bounds string
	// storeAddress is where the next router reaches the store; empty for the store's own address.
	storeAddress string
}

// newSystem starts the store, the targets and the routers.
func newSystem(t *testing.T, routers, targets int) *system {
	t.Helper()
	s := &system{t: t, bin: t.TempDir(), store: platformtest.NewStore()}
	t.Cleanup(s.store.Close)
	buildCommands(t, s.bin)
	s.store.Put(platform.ConfigKey, []byte(servedConfig))
	for i := range targets {
		target := platformtest.NewTarget(fmt.Sprintf("i-%d", i), "keyed", "hall", true)
		t.Cleanup(target.Close)
		target.Register(s.store)
		s.targets = append(s.targets, target)
	}
	for i, block := range freePortBlocks(t, routers) {
		s.start(fmt.Sprintf("edge-%d", i), block)
	}
	return s
}

// start starts a router on four consecutive ports from first. It is killed at the end of the
// test if it still runs.
func (s *system) start(name string, first int) {
	s.t.Helper()
	s.routers = append(s.routers, s.launchRouter(name, first))
}

// launchRouter starts a router process that is not one of s.routers.
func (s *system) launchRouter(name string, first int) *process {
	s.t.Helper()
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)) }
	p := &process{name: name, caller: address(0)}
	p.settingsPath = filepath.Join(s.t.TempDir(), name+".toml")
	settings := fmt.Sprintf(`[local_node]
node = %q
ip = "127.0.0.1"
zone = "hall"
[local_node.limits]
memory_mb = 284
[network]
internal_port_range = [%d,%d]
[network.listen]
front = %q
readiness = %q
[platform.platform]
address = %q
ttl_min = "1000ms"
history = "20s"
[terms.bounds]
drain = "2000ms"
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_min_retries = 64
hold_max = "10000ms"
%s`, name, first+2, first+3, address(0), address(1), cmp.Or(s.storeAddress, s.store.Address()), s.bounds)
	assert.NilError(s.t, os.WriteFile(p.settingsPath, []byte(settings), 0o600))
	cmd := exec.Command(filepath.Join(s.bin, "tarragongw"), "serve")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	p.launch(s.t, cmd)
	return p
}

// freePortBlocks finds n blocks of four consecutive ports on which nothing listens, and
// returns the first port of each.
func freePortBlocks(t *testing.T, n int) []int {
	t.Helper()
	var blocks, block []int
	for _, address := range freeAddresses(t, 16*n) {
		_, text, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		if len(block) > 0 && port != block[len(block)-1]+1 {
			block = nil
		}
		if block = append(block, port); len(block) == 4 {
			blocks, block = append(blocks, block[0]), nil
		}
	}
	assert.Assert(t, len(blocks) >= n, "too few consecutive free ports")
	return blocks[:n]
}

// getStatus reads a key through the router and returns the status, or 0 without a complete
// answer.
func (s *system) getStatus(p *process, key uint16) int { return s.getPath(p, "/read/1", key) }

// getPath reads a path through the router, with a key, and returns as getStatus does.
func (s *system) getPath(p *process, path string, key uint16) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.caller+path, http.NoBody)
	assert.NilError(s.t, err)
	req.Host = servedHost
	req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("id-%d", time.Now().UnixNano()))
	req.Header.Set(platform.HeaderDeadline, "1500")
	req.Header.Set(platform.HeaderKey, strconv.Itoa(int(key)))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// leader returns the router that is the leader according to the routers' logs, or nil.
func (s *system) leader() *process {
	for _, p := range s.routers {
		log := p.output.String()
		if taken := strings.LastIndex(log, `msg="leadership taken" `); taken > strings.LastIndex(log, `msg="leadership lost"`) {
			return p
		}
	}
	return nil
}

// holders returns the targets that currently hold the key.
func (s *system) holders(key uint16) []*platformtest.Target {
	var held []*platformtest.Target
	for _, target := range s.targets {
		if target.Holds(key) {
			held = append(held, target)
		}
	}
	return held
}

// holderMonitor looks for keys that two targets hold at the same time; overlap describes the
// first one found.
type holderMonitor struct {
	stop    chan struct{}
	done    sync.WaitGroup
	overlap atomic.Pointer[string]
}

func (s *system) monitorHolders(keys []uint16) *holderMonitor {
	m := &holderMonitor{stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			for _, key := range keys {
				held := s.holders(key)
				// Check the first holder again: the key may have moved between the two checks.
				if len(held) > 1 && held[0].Holds(key) && held[1].Holds(key) {
					found := fmt.Sprintf("%s and %s hold key %d at %v", held[0].ID, held[1].ID, key, time.Now())
					m.overlap.CompareAndSwap(nil, &found)
				}
			}
			select {
			case <-m.stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	return m
}

// end stops the monitor and returns the first overlap that it found, or nil.
func (m *holderMonitor) end() *string {
	close(m.stop)
	m.done.Wait()
	return m.overlap.Load()
}

// Symptom: two targets hold the same keys.
// Sequence: the leader's process is suspended (SIGSTOP) and another router becomes leader; a
// target that does not answer the new leader keeps its keys until its grants expire, and the
// keys are granted to other targets; the old leader resumes (SIGCONT) with its old decisions,
// while the silent target would accept its renewals again.
// Cause: a router that was suspended until after its lease expired acts on its old state.
func TestSuspendedLeaderSendsNoOrdersWhenResumed(t *testing.T) {
	s := newSystem(t, 3, 3)
	keys := []uint16{100, 20000, 33000, 50000, 65000}
	for _, p := range s.routers {
		for _, key := range keys {
			eventually(t, p.name+" serves", func() bool { return s.getStatus(p, key) == http.StatusOK })
		}
	}
	monitor := s.monitorHolders(keys)
	var old *process
	eventually(t, "a router is the leader", func() bool { old = s.leader(); return old != nil })
	silent := s.holders(keys[0])[0]
	assert.NilError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	silent.IgnoreOrders(1 << 30)
	eventually(t, "the key of the silent target is granted to another target", func() bool {
		held := s.holders(keys[0])
		return len(held) == 1 && held[0] != silent
	})
	silent.IgnoreOrders(0)
	assert.NilError(t, old.cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, "the old leader has noticed that it lost leadership", func() bool { return strings.Contains(old.output.String(), `msg="leadership lost"`) })
	for _, p := range s.routers {
		for _, key := range keys {
			eventually(t, p.name+" serves again", func() bool { return s.getStatus(p, key) == http.StatusOK })
		}
	}
	if found := monitor.end(); found != nil {
		t.Fatal(*found)
	}
}

// Symptom: after a router's VM was suspended, its callers are routed to the former holder of a
// key, or get no answer.
// Sequence: a follower is suspended for longer than any of its leases; the only holder of a
// key drains and the key moves; the follower resumes.
// Cause: the follower uses its old state, or waits on dead connections.
func TestSuspendedRouterRefreshesStateWhenResumed(t *testing.T) {
	s := newSystem(t, 3, 3)
	const key = 100
	for _, p := range s.routers {
		eventually(t, p.name+" serves", func() bool { return s.getStatus(p, key) == http.StatusOK })
	}
	var suspended *process
	eventually(t, "a router is the leader", func() bool { return s.leader() != nil })
	for _, p := range s.routers {
		if p != s.leader() {
			suspended = p
		}
	}
	old := s.holders(key)[0]
	monitor := s.monitorHolders([]uint16{key})
	assert.NilError(t, suspended.cmd.Process.Signal(syscall.SIGSTOP))
	old.Drain(s.store)
	eventually(t, "the key has moved", func() bool {
		held := s.holders(key)
		return len(held) == 1 && held[0] != old
	})
	time.Sleep(pausedFor)
	before := len(old.Runs())
	assert.NilError(t, suspended.cmd.Process.Signal(syscall.SIGCONT))
	began := time.Now()
	eventually(t, "the router that was suspended serves the key", func() bool { return s.getStatus(suspended, key) == http.StatusOK })
	assert.Assert(t, time.Since(began) < 3*time.Second, "after %v", time.Since(began))
	assert.Equal(t, len(old.Runs()), before, "the old holder ran a request after the key had moved")
	if found := monitor.end(); found != nil {
		t.Fatal(*found)
	}
}
