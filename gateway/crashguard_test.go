package gateway

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/quarantine"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// besidePath is the path of an innocent request that is slower than the deadly one.
const besidePath = "/read/beside"

// betweenCrashes is longer than crashes with a common cause are apart, which would be followed by a trial.
const betweenCrashes = 1500 * time.Millisecond

// refuses reports whether a gateway refuses a request with the path and testKey.
func refuses(g *Gateway, f quarantine.Fingerprint) bool {
	for _, e := range g.guard.List().Entries {
		if e.Fingerprint == f {
			return e.Refused()
		}
	}
	return false
}

// fingerprintOf returns the fingerprint of a request without a body.
func fingerprintOf(path string) quarantine.Fingerprint {
	c := quarantine.Content{Method: http.MethodGet, Scope: host, URI: path, Caller: "anonymous", Key: "7"}
	return c.Fingerprint()
}

// besideTargets are crashing targets at which the innocent request runs until they crash, or for a while.
type besideTargets struct {
	*crashingTargets
	running atomic.Int32
}

func newBesideTargets(n int) *besideTargets {
	b := &besideTargets{crashingTargets: newCrashingTargets(n, plainTarget)}
	for _, target := range b.all {
		target.SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != besidePath {
				return b.handle(target, r)
			}
			b.running.Add(1)
			defer b.running.Add(-1)
			select {
			case <-r.Context().Done():
			case <-time.After(10 * timeToCrash):
			}
			return false
		})
	}
	return b
}

// crashTogether sends the deadly request to a gateway while the innocent one is in flight at the only target.
func (b *besideTargets) crashTogether(f *fleet, g *Gateway, deadly, beside call) {
	f.t.Helper()
	crashed := b.crashed()
	waittest.Until(f.t, "the target has crashed with both in flight", func() bool {
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			f.send(g, beside)
		}()
		waittest.Until(f.t, "it is in flight or refused", func() bool { return b.running.Load() > 0 || isClosed(answered) })
		if b.running.Load() > 0 {
			f.send(g, deadly)
		}
		<-answered
		return b.crashed() > crashed
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against an innocent request that stays refused because it was in flight at the same crashes as the
// guilty one.
func TestRequestBesideACrashingOneGoesOnBeingServed(t *testing.T) {
	targets := newBesideTargets(9)
	f := newFleet(t, 3, patientConfig, targets.all[0])
	deadly, beside := call{method: http.MethodGet, path: deadlyPath, key: testKey}, call{method: http.MethodGet, path: besidePath, key: testKey}
	for n, target := range targets.all[:crashThreshold] {
		if n > 0 {
			f.store.Delete(platform.TargetPrefix + targets.all[n-1].ID)
			f.add(target)
			f.awaitTarget(target.ID)
		}
		targets.crashTogether(f, f.gateways[n], deadly, beside)
	}
	for _, g := range f.gateways {
		waittest.Until(t, "both are refused", func() bool { return refuses(g, fingerprintOf(deadlyPath)) && refuses(g, fingerprintOf(besidePath)) })
	}
	for _, target := range targets.all[crashThreshold:] {
		f.add(target)
		f.awaitTarget(target.ID)
	}
	before := targets.reached.Load()
	for _, g := range f.gateways {
		waittest.Until(t, "the innocent request is served", func() bool {
			f.send(g, deadly)
			return f.send(g, beside).status == http.StatusOK
		})
	}
	targets.repeat(f, deadly, 30, 10*time.Millisecond)
	assert.Assert(t, targets.reached.Load()-before <= maxSendsAfter, "reached targets %d times more", targets.reached.Load()-before)
	assert.Assert(t, refuses(f.gateways[0], fingerprintOf(deadlyPath)))
}

// Guards against a request that crashes targets again once all routers were restarted.
func TestRestartedRoutersKnowTheCrashingRequest(t *testing.T) {
	targets := newCrashingTargets(9, plainTarget)
	f := newFleet(t, 2, patientConfig, targets.all...)
	deadly := call{method: http.MethodGet, path: deadlyPath, key: testKey}
	targets.repeatUntilKnown(f, deadly)
	before := targets.reached.Load()
	for _, g := range f.gateways {
		abandon(g)
	}
	f.gateways = nil
	for _, name := range []string{"new-0", "new-1"} {
		waittest.Until(t, "it is ready", f.start(name).synced.Load)
	}
	targets.repeat(f, deadly, 30, 0)
	assert.Assert(t, targets.reached.Load()-before <= maxSendsAfter, "reached targets %d times more", targets.reached.Load()-before)
}

// Guards against crashes that nobody counts because the leader was lost with what it was told of them.
func TestNextLeaderKnowsTheCrashingRequest(t *testing.T) {
	targets := newCrashingTargets(12, plainTarget)
	f := newFleet(t, 4, patientConfig, targets.all...)
	deadly := call{method: http.MethodGet, path: deadlyPath, key: testKey}
	waittest.Until(t, "two targets have crashed", func() bool {
		f.send(f.gateways[0], deadly)
		return targets.crashed() >= crashThreshold-1
	})
	old := f.leader()
	abandon(old)
	var left []*Gateway
	for _, g := range f.gateways {
		if g != old {
			left = append(left, g)
		}
	}
	f.gateways = left
	waittest.Until(t, "another one leads", func() bool { return f.leaderOtherThan(old) != nil })
	for _, g := range f.gateways {
		waittest.Until(t, "it follows or leads", func() bool { return g == f.leaderOtherThan(old) || g.subscription.isSubscribed() })
	}
	targets.repeatUntilKnown(f, deadly)
	before := targets.reached.Load()
	targets.repeat(f, deadly, 30, 0)
	assert.Assert(t, targets.reached.Load()-before <= maxSendsAfter, "reached targets %d times more", targets.reached.Load()-before)
}

// Guards against one attempt of a caller that crashes one target after the other.
func TestOneAttemptCrashesTwoTargetsAtMost(t *testing.T) {
	config := strings.Replace(patientConfig, `"max_attempts":2`, `"max_attempts":9`, 1)
	targets := newCrashingTargets(9, plainTarget)
	f := newFleet(t, 1, config, targets.all...)
	got := f.send(f.gateways[0], call{method: http.MethodGet, path: deadlyPath, key: testKey})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, targets.reached.Load() <= 2, "reached %d", targets.reached.Load())
}

// Guards against a refusal as "not run" of an attempt whose first send has crashed a target.
func TestAttemptThatCrashedATargetIsNotCalledNotRun(t *testing.T) {
	targets := newCrashingTargets(9, plainTarget)
	f := newFleet(t, 1, patientConfig, targets.all...)
	deadly := call{method: http.MethodGet, path: deadlyPath, key: testKey}
	for !refuses(f.gateways[0], fingerprintOf(deadlyPath)) {
		before := targets.reached.Load()
		got := f.send(f.gateways[0], deadly)
		assert.Equal(t, got.status == http.StatusServiceUnavailable, targets.reached.Load() == before, "%d", got.status)
		time.Sleep(betweenCrashes)
	}
	got := f.send(f.gateways[0], deadly)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, "quarantined"), got.body)
	assert.Equal(t, got.header.Get("Retry-After") != "", true)
}

// Guards against callers that are refused for the requests of another one.
func TestOtherCallersRequestIsNotRefused(t *testing.T) {
	targets := newCrashingTargets(9, plainTarget)
	f := newFleet(t, 1, patientConfig, targets.all...)
	deadly := call{method: http.MethodGet, path: deadlyPath, key: testKey}
	for !refuses(f.gateways[0], fingerprintOf(deadlyPath)) {
		f.send(f.gateways[0], deadly)
		time.Sleep(betweenCrashes)
	}
	for _, target := range targets.all {
		target.SetHandler(func(http.ResponseWriter, *http.Request) bool { return false })
	}
	assert.Equal(t, f.send(f.gateways[0], deadly).status, http.StatusServiceUnavailable)
	f.credentials = "Bearer other"
	f.sendUntilServed(f.gateways[0], deadly)
}

// Guards against requests that fail because another one crashes targets.
func TestOthersAreServedWhileARequestCrashesTargets(t *testing.T) {
	targets := newCrashingTargets(12, plainTarget)
	f := newFleet(t, 3, patientConfig, targets.all...)
	deadly, ordinary := call{method: http.MethodGet, path: deadlyPath, key: testKey}, call{method: http.MethodGet, path: "/read/ordinary", key: testKey}
	var sent, served atomic.Int32
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, g := range f.gateways {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				sent.Add(1)
				if f.sendAs(g, ordinary, f.newID()).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	targets.repeatUntilKnown(f, deadly)
	targets.repeat(f, deadly, 50, 10*time.Millisecond)
	close(stop)
	senders.Wait()
	t.Logf("%d of %d served", served.Load(), sent.Load())
	assert.Assert(t, sent.Load() > 100 && sent.Load()-served.Load() <= sent.Load()/100, "%d of %d served", served.Load(), sent.Load())
}

// Guards against a crashing request that routers which start forget because the store lost the list when it
// was restored from an older copy.
func TestRestoredStoreIsGivenTheListAgain(t *testing.T) {
	targets := newCrashingTargets(9, plainTarget)
	f := newFleet(t, 0, "")
	f.store.ReportEra(firstEra)
	f.configure(patientConfig)
	for _, target := range targets.all {
		f.add(target)
	}
	for _, name := range []string{"router-0", "router-1"} {
		waittest.Until(t, "it is ready", f.start(name).synced.Load)
	}
	f.store.Snapshot()
	deadly := call{method: http.MethodGet, path: deadlyPath, key: testKey}
	targets.repeatUntilKnown(f, deadly)
	waittest.Until(t, "the list is in the store", func() bool { return f.store.Value(quarantineKey) != nil })
	f.store.Restore(defaultRestore)
	assert.Assert(t, f.store.Value(quarantineKey) == nil)
	waittest.Until(t, "the list is in the store again", func() bool { return f.store.Value(quarantineKey) != nil })
	before := targets.reached.Load()
	for _, g := range f.gateways {
		abandon(g)
	}
	f.gateways = nil
	waittest.Until(t, "it is ready", f.start("new").synced.Load)
	targets.repeat(f, deadly, 20, 0)
	assert.Assert(t, targets.reached.Load()-before <= maxSendsAfter, "reached targets %d times more", targets.reached.Load()-before)
}
