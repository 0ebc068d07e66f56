package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// upload opens a connection and sends a request with the body and the given Content-Length.
func (f *fleet) upload(g *Gateway, id, body string, length int) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", g.callerListener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\nContent-Length: %d\r\n\r\n%s",
		host, platform.HeaderRequestID, id, platform.HeaderDeadline, length, body)
	assert.NilError(f.t, err)
	return conn
}

// longTimeoutConfig is plainConfig with a timeout of a minute.
var longTimeoutConfig = strings.NewReplacer(`"timeout":"1000ms"`, `"timeout":"60000ms"`, `"target_latency":"400ms"`, `"target_latency":"60000ms"`).Replace(plainConfig)

// newBusyFleet starts one gateway, and one target that runs one request at a time and needs the time
// work for a read.
func newBusyFleet(t *testing.T, work time.Duration) (*fleet, *Gateway) {
	f := newFleet(t, 1, longTimeoutConfig, plainTarget("a"))
	g, target := f.gateways[0], f.targets["a"]
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if r.Method != http.MethodGet {
			return false
		}
		time.Sleep(work)
		w.Header().Set(platform.HeaderStamp, "stamp")
		return true
	})
	f.setSlots(1)
	return f, g
}

// fillSlots sends reads until one waits for placement.
func (f *fleet) fillSlots(g *Gateway) {
	f.t.Helper()
	for i := range 50 {
		if g.service("any").waiters() > 0 {
			return
		}
		go func() {
			_ = f.sendAs(g, call{method: "GET", path: "/read/1", key: -1, left: 50 * time.Second}, fmt.Sprintf("taken-%d", i))
		}()
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("no request waits for placement")
}

// hasLogged reports whether there is a log line with the message kind for the request.
func (f *fleet) hasLogged(kind, id string) bool {
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, "msg="+kind+" ") && strings.Contains(line, " id="+id+" ") {
			return true
		}
	}
	return false
}

// Guards against targets that run uploads whose callers have already left. All slots of the target are
// taken, and an upload waits; its caller leaves, in the middle of the body or after it; a slot becomes
// free, and the upload is sent. net/http notices that a caller has left only once the request's body
// has been read completely, and the body of a waiting upload was not read.
func TestUploadWhoseCallerLeavesWhileItWaitsIsNotSentOn(t *testing.T) {
	for name, length := range map[string]int{"whole": 5, "midway": 500} {
		t.Run(name, func(t *testing.T) {
			f, g := newBusyFleet(t, 1500*time.Millisecond)
			f.fillSlots(g)
			before := g.handler.InFlight()
			conn := f.upload(g, "left", "whole", length)
			waittest.Until(t, "the upload is read", func() bool { return g.handler.InFlight() > before })
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, conn.Close())
			waittest.Until(t, "it has ended", func() bool { return f.hasLogged("request", "left") })
			assert.Equal(t, f.runsOf("left"), 0)
			assert.Assert(t, !f.hasLogged("placed", "left"))
		})
	}
}

// An upload that has waited is sent completely, even if it is longer than readAheadBytes.
func TestUploadThatWaitsIsSentWhole(t *testing.T) {
	f, g := newBusyFleet(t, 300*time.Millisecond)
	f.fillSlots(g)
	for _, size := range []int{1, readAheadBytes - 1, readAheadBytes, 5 * readAheadBytes} {
		body := strings.Repeat("0123456789", size/10+1)[:size]
		id := fmt.Sprintf("size-%d", size)
		conn := f.upload(g, id, "", size)
		go func() { _, _ = io.WriteString(conn, body) }()
		waittest.Until(t, "it has run", func() bool { return f.runsOf(id) == 1 })
		for _, run := range f.targets["a"].Runs() {
			if run.ID == id {
				assert.Assert(t, run.Body == body, "%d bytes of %d", len(run.Body), size)
			}
		}
	}
}
