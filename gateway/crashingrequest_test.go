package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/quarantine"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

const (
	// crashThreshold is how many targets a request may crash before it is known, and maxSendsAfter how
	// often it may reach targets later than stabilityWindow after that.
	crashThreshold  = 3
	maxSendsAfter   = 3
	stabilityWindow = 3 * time.Second
	// deadlyPath is the path of the request that crashes targets.
	deadlyPath = "/read/deadly"
	// timeToCrash is how long a target works on it until it crashes.
	timeToCrash = 20 * time.Millisecond
)

// crashingTargets counts the deadly requests that reach its targets.
type crashingTargets struct {
	reached atomic.Int32
	all     []*platformtest.Target
}

// newCrashingTargets returns targets that crash when they run the deadly request.
func newCrashingTargets(n int, create func(id string) *platformtest.Target) *crashingTargets {
	c := &crashingTargets{}
	for i := range n {
		target := create(fmt.Sprintf("t-%d", i))
		target.SetHandler(func(_ http.ResponseWriter, r *http.Request) bool { return c.handle(target, r) })
		c.all = append(c.all, target)
	}
	return c
}

func (c *crashingTargets) handle(target *platformtest.Target, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, deadlyPath) || target.ByKey && !target.Holds(testKey) {
		return false
	}
	c.reached.Add(1)
	time.Sleep(timeToCrash)
	target.Crash()
	<-r.Context().Done()
	return true
}

// patientConfig is plainConfig with route timeouts that no stall of the test's process exceeds.
var patientConfig = strings.ReplaceAll(plainConfig, `"timeout":"1000ms"`, `"timeout":"5000ms"`)

// testKey is the key of all requests for services with keys.
const testKey = 7

// crashed returns the number of targets that have crashed.
func (c *crashingTargets) crashed() int {
	n := 0
	for _, target := range c.all {
		if target.Crashed() {
			n++
		}
	}
	return n
}

// repeatUntilKnown sends the request to the gateways in turn until it has crashed crashThreshold
// targets, and waits for the time that the gateways have to learn of it.
func (c *crashingTargets) repeatUntilKnown(f *fleet, request call) {
	f.t.Helper()
	n := 0
	waittest.Until(f.t, "three targets have crashed", func() bool {
		f.send(f.gateways[n%len(f.gateways)], request)
		n++
		return c.crashed() >= crashThreshold
	})
	time.Sleep(stabilityWindow)
}

// repeat sends the request to the gateways in turn for a while.
func (c *crashingTargets) repeat(f *fleet, request call, times int, pause time.Duration) {
	for n := range times {
		f.send(f.gateways[n%len(f.gateways)], request)
		time.Sleep(pause)
	}
}

// Guards against a request that crashes one target after the other, at whichever router it comes again.
func TestRequestThatCrashesTargetsReachesFewMore(t *testing.T) {
	for _, c := range []struct {
		name, config string
		method       string
		create       func(id string) *platformtest.Target
		times        int
		pause        time.Duration
	}{
		{"without keys", patientConfig, http.MethodGet, plainTarget, 40, 0},
		{"body", patientConfig, http.MethodPost, plainTarget, 40, 0},
		{"keys", keyedConfig, http.MethodGet, keyedTarget, 60, 250 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			targets := newCrashingTargets(9, c.create)
			f := newFleet(t, 3, c.config, targets.all...)
			ordinary, deadly := call{method: c.method, path: "/read/ordinary", key: testKey}, call{method: c.method, path: deadlyPath, key: testKey}
			if c.method == http.MethodPost {
				ordinary.body, deadly.body = "ordinary", "deadly"
			}
			f.sendUntilServed(f.gateways[0], ordinary)
			targets.repeatUntilKnown(f, deadly)
			before := targets.reached.Load()
			waittest.Until(t, "a late gateway is ready", f.start("late").synced.Load)
			targets.repeat(f, deadly, c.times, c.pause)
			assert.Assert(t, targets.reached.Load()-before <= maxSendsAfter, "reached targets %d times more", targets.reached.Load()-before)
			f.sendUntilServed(f.gateways[0], ordinary)
		})
	}
}

// slowUpload sends an upload whose first bytes come at once, and the others a little later, until it is answered.
func slowUpload(t *testing.T, g *Gateway, id string) {
	conn, err := net.Dial("tcp", g.callerListener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", deadlyPath, host, platform.HeaderRequestID, id, 8*len(uploadPart))
	assert.NilError(t, err)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
	}()
	for range 8 {
		if _, err := conn.Write(uploadPart); err != nil {
			break
		}
		select {
		case <-answered:
			return
		case <-time.After(60 * time.Millisecond):
		}
	}
	<-answered
}

// uploadPart is less than a fingerprint covers.
var uploadPart = make([]byte, quarantine.BodyBytes/2)

// Guards against an upload that is never refused, because it crashes targets before as much of it has come as a fingerprint covers.
func TestUploadThatCrashesTargetsEarlyReachesFewMore(t *testing.T) {
	targets := newCrashingTargets(9, plainTarget)
	for _, target := range targets.all {
		target.SetEarlyHandler(func(http.ResponseWriter, *http.Request) {
			targets.reached.Add(1)
			target.Crash()
		})
	}
	f := newFleet(t, 3, patientConfig, targets.all...)
	f.awaitTarget("t-8")
	send := func(n int) { slowUpload(t, f.gateways[n%len(f.gateways)], f.newID()) }
	for n := 0; targets.crashed() < crashThreshold; n++ {
		send(n)
		assert.Assert(t, n < 3*crashThreshold, "the upload crashes nothing")
	}
	time.Sleep(stabilityWindow)
	before := targets.reached.Load()
	for n := range 12 {
		send(n)
	}
	assert.Assert(t, targets.reached.Load()-before <= maxSendsAfter, "reached targets %d times more", targets.reached.Load()-before)
	assert.Assert(t, targets.crashed() < len(targets.all))
}
