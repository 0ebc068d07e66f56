package gateway

import (
	"bytes"
	"context"
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
	"tarragongw/platform/platformtest"
)

const longUploadBytes = 8 << 20

// longUploads is plainConfig with uploads of longUploadBytes.
var longUploads = strings.Replace(plainConfig, `"max_body_bytes":1048576`, `"max_body_bytes":16777216`, 1)

// answerPart makes a target answer each request by a head without a length and a part of the body, and end the connection then.
func answerPart(target *platformtest.Target, end func(conn *net.TCPConn)) {
	target.SetEarlyHandler(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, headOfAnswer+"\r\npart", r.Header.Get(platform.HeaderRequestID))
		end(conn.(*net.TCPConn))
	})
}

// uploadLong sends an upload during which the target answers.
func (f *fleet) uploadLong(g *Gateway, path string) (body string, err error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callerListener.Addr().String()+path, bytes.NewReader(make([]byte, longUploadBytes)))
	assert.NilError(f.t, err)
	r.Host = host
	r.Header.Set(platform.HeaderRequestID, f.newID())
	resp, err := f.client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var read bytes.Buffer
	_, err = io.Copy(&read, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return read.String(), err
}

// checkPart sends uploads whose answers are parts, and then some whose answers end in order.
func checkPart(t *testing.T, f *fleet, g *Gateway, path string) {
	t.Helper()
	for i := range 24 {
		for _, target := range f.targets {
			answerPart(target, func(conn *net.TCPConn) {
				_, _ = io.CopyN(io.Discard, conn, int64(i)<<14)
				_ = conn.SetLinger(0)
			})
		}
		body, err := f.uploadLong(g, path)
		assert.Check(t, err != nil, "upload %d: the part %q looks whole", i, body)
	}
	for i := range 6 {
		for _, target := range f.targets {
			answerPart(target, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				_, _ = io.CopyN(io.Discard, conn, 64<<10)
			})
		}
		body, err := f.uploadLong(g, path)
		assert.Check(t, err == nil && body == "part", "upload %d: %q %v", i, body, err)
	}
}

// Guards against a part of an answer that reaches the caller as a whole one, because the target reset the connection beside an upload.
func TestPartOfAnAnswerBesideAnUploadIsNotPassedOnAsWhole(t *testing.T) {
	f := newFleet(t, 1, longUploads, plainTarget("a"), plainTarget("b"))
	f.awaitTarget("b")
	checkPart(t, f, f.gateways[0], "/pay/1")
}

// Guards against the same where the answer comes through another router.
func TestRelayedPartOfAnAnswerIsNotPassedOnAsWhole(t *testing.T) {
	f := newFleet(t, 1, longUploads, plainTarget("a"), plainTarget("b")) // this gateway's connections pass no other socket
	f.cuttable = true
	cut := f.start("cut")
	waittest.Until(t, "the gateway is ready", cut.synced.Load)
	f.awaitTarget("b")
	f.paths["cut"].Sever(platformtest.Reset)
	waittest.Until(t, "the paths count as lost", func() bool {
		f.send(cut, call{method: "GET", path: "/read/1", key: -1})
		return cut.lostPaths() == len(f.targets)
	})
	f.sendUntilServed(cut, call{method: "GET", path: "/read/1", key: -1})
	before := f.relayedRequests()
	checkPart(t, f, cut, "/pay/1")
	assert.Assert(t, f.relayedRequests() > before)
}
