package main

import (
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
	// servedHost and servedConfig are what the routers of a system on the platform serve.
	servedHost   = "h.example"
	servedConfig = `{"version":"00000003","routes":[{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe",` +
		`"timeout":"1500ms","target_latency":"400ms","service":"keyed","max_attempts":2}],` +
		`"services":[{"name":"keyed","max_connections":40,"sharded":true}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`
)

// system is the platform's store and targets in the test's process, and routers that serve
// on it in processes of their own.
type system struct {
	t       *testing.T
	bin     string
	store   *platformtest.Store
	targets []*platformtest.Target
	routers []*process
}

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
	for i, block := range freeBlocks(t, routers) {
		s.start(fmt.Sprintf("edge-%d", i), block)
	}
	return s
}

// start runs a router on four ports from the first on; it ends at the latest with the test.
func (s *system) start(name string, first int) {
	s.t.Helper()
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)) }
	p := &process{name: name, caller: address(0)}
	p.settings = filepath.Join(s.t.TempDir(), name+".toml")
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
[terms.bounds]
drain = "2000ms"
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_min_retries = 64
hold_max = "10000ms"
`, name, first+2, first+3, address(0), address(1), s.store.Address())
	assert.NilError(s.t, os.WriteFile(p.settings, []byte(settings), 0o600))
	cmd := exec.Command(filepath.Join(s.bin, "tarragongw"), "serve")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	p.launch(s.t, cmd)
	s.routers = append(s.routers, p)
}

// freeBlocks finds n blocks of four ports in a row that nobody listens on, and returns the
// first of each.
func freeBlocks(t *testing.T, n int) []int {
	t.Helper()
	var blocks, row []int
	for _, address := range freeAddresses(t, 16*n) {
		_, text, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		if len(row) > 0 && port != row[len(row)-1]+1 {
			row = nil
		}
		if row = append(row, port); len(row) == 4 {
			blocks, row = append(blocks, row[0]), nil
		}
	}
	assert.Assert(t, len(blocks) >= n, "too few free ports in a row")
	return blocks[:n]
}

// read asks for a key through the router and returns the status; zero for no answer.
func (s *system) read(p *process, key uint16) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.caller+"/read/1", http.NoBody)
	assert.NilError(s.t, err)
	req.Host = servedHost
	req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("id-%d", time.Now().UnixNano()))
	req.Header.Set(platform.HeaderDeadline, "1500")
	req.Header.Set(platform.HeaderKey, strconv.Itoa(int(key)))
	resp, err := processClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// leader returns the router that leads by what the routers log, or nil.
func (s *system) leader() *process {
	for _, p := range s.routers {
		log := p.output.String()
		if leads := strings.LastIndex(log, `msg="leadership taken" `); leads > strings.LastIndex(log, `msg="leadership lost"`) {
			return p
		}
	}
	return nil
}

// holders returns the targets that hold the key now.
func (s *system) holders(key uint16) []*platformtest.Target {
	var held []*platformtest.Target
	for _, target := range s.targets {
		if target.Holds(key) {
			held = append(held, target)
		}
	}
	return held
}

// holderWatch looks for keys that two targets hold at once.
type holderWatch struct {
	stop   chan struct{}
	done   sync.WaitGroup
	double atomic.Pointer[string]
}

func (s *system) watchHolders(keys []uint16) *holderWatch {
	w := &holderWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		for {
			for _, key := range keys {
				held := s.holders(key)
				// The first of the two is asked again: the key may have moved in between.
				if len(held) > 1 && held[0].Holds(key) && held[1].Holds(key) {
					found := fmt.Sprintf("%s and %s hold key %d at %v", held[0].ID, held[1].ID, key, time.Now())
					w.double.CompareAndSwap(nil, &found)
				}
			}
			select {
			case <-w.stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	return w
}

// end stops the watch and returns what it found; nil for nothing.
func (w *holderWatch) end() *string {
	close(w.stop)
	w.done.Wait()
	return w.double.Load()
}

// Symptom: two targets hold the same keys.
// Sequence: the leader's process is suspended (SIGSTOP); another router leads, a target that
// answers it nothing keeps its keys until all grants have lapsed, and they are given to
// others; the old leader goes on (SIGCONT) with what it had decided, while the silent
// target would take its renewals again.
// Cause: a router that was suspended past the end of its right acts on what it knew.
func TestSuspendedLeaderGivesNoOrdersWhenItGoesOn(t *testing.T) {
	s := newSystem(t, 3, 3)
	keys := []uint16{100, 20000, 33000, 50000, 65000}
	for _, p := range s.routers {
		for _, key := range keys {
			eventually(t, p.name+" serves", func() bool { return s.read(p, key) == http.StatusOK })
		}
	}
	watch := s.watchHolders(keys)
	var old *process
	eventually(t, "a router leads", func() bool { old = s.leader(); return old != nil })
	silent := s.holders(keys[0])[0]
	assert.NilError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	silent.IgnoreOrders(1 << 30)
	eventually(t, "the silent target's key is given to another", func() bool {
		held := s.holders(keys[0])
		return len(held) == 1 && held[0] != silent
	})
	silent.IgnoreOrders(0)
	assert.NilError(t, old.cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, "the old leader knows", func() bool { return strings.Contains(old.output.String(), `msg="leadership lost"`) })
	for _, p := range s.routers {
		for _, key := range keys {
			eventually(t, p.name+" serves again", func() bool { return s.read(p, key) == http.StatusOK })
		}
	}
	if found := watch.end(); found != nil {
		t.Fatal(*found)
	}
}

// Symptom: callers of one router are sent to a key's former holder, or get no answer, after its
// VM was suspended.
// Sequence: a router that doesn't lead is suspended for longer than each of its leases while
// the only holder of its key drains and the key moves; it goes on.
// Cause: it goes by what it knew before, and waits on connections that are dead.
func TestSuspendedRouterServesFromNewBeliefs(t *testing.T) {
	s := newSystem(t, 3, 3)
	const key = 100
	for _, p := range s.routers {
		eventually(t, p.name+" serves", func() bool { return s.read(p, key) == http.StatusOK })
	}
	var paused *process
	eventually(t, "a router leads", func() bool { return s.leader() != nil })
	for _, p := range s.routers {
		if p != s.leader() {
			paused = p
		}
	}
	old := s.holders(key)[0]
	watch := s.watchHolders([]uint16{key})
	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	old.Drain(s.store)
	eventually(t, "the key has moved", func() bool {
		held := s.holders(key)
		return len(held) == 1 && held[0] != old
	})
	time.Sleep(pausedFor)
	before := len(old.Runs())
	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	began := time.Now()
	eventually(t, "the router that was suspended serves the key", func() bool { return s.read(paused, key) == http.StatusOK })
	assert.Assert(t, time.Since(began) < 3*time.Second, "after %v", time.Since(began))
	assert.Equal(t, len(old.Runs()), before, "the old holder ran what came after the move")
	if found := watch.end(); found != nil {
		t.Fatal(*found)
	}
}
