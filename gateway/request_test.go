package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// The target gets the request as the caller sent it, and the caller gets the target's answer unchanged.
func TestRequestPassesUnchanged(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	path := "/pay/x%2Fy/%7E?q=1&r=%20+"
	got := f.send(f.gateways[0], call{method: "POST", path: path, key: -1, body: strings.Repeat("photo", 40_000)})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "a ran "+got.id)
	assert.Equal(t, got.header.Get(platform.HeaderStamp), "stamp-of-a")
	assert.Equal(t, got.header.Get(platform.HeaderRequestID), got.id)
	runs := f.targets["a"].Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Method, "POST")
	assert.Equal(t, runs[0].URI, path)
	assert.Equal(t, len(runs[0].Body), 200_000)
	assert.Assert(t, runs[0].DeadlineMillis > 0 && runs[0].DeadlineMillis <= 1000, "the route's timeout bounds what is left")
}

// Guards against a request that is run under an ID or a path which nobody sent.
func TestUnusualRequestsPassUnchanged(t *testing.T) {
	f := newFleet(t, 1, strings.Replace(plainConfig, `"prefix":"/pay/"`, `"prefix":"/"`, 1), plainTarget("a"))
	for i, uri := range []string{"//menu/\u9b5a|{1}?q=|", "//", "///x//", "/pay/\u9b5a|{1}?", "/"} {
		for _, body := range []string{"", "x", strings.Repeat("photo", 10_000)} {
			id := fmt.Sprint(strings.Repeat("long ", 40), "\xe9 ", i, len(body))
			conn, err := net.Dial("tcp", f.gateways[0].callerListener.Addr().String())
			assert.NilError(t, err)
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", uri, host, platform.HeaderRequestID, id, len(body), body)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, uri)
			assert.Equal(t, resp.Header.Get(platform.HeaderRequestID), id)
			runs := f.targets["a"].Runs()
			last := runs[len(runs)-1]
			assert.Equal(t, last.ID+" "+last.URI, id+" "+uri)
			assert.Equal(t, last.Body, body)
			conn.Close()
		}
	}
}

// Guards against a request that two callers' IDs name, of which a target sees one.
func TestRequestWithTwoIDsIsRefused(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	conn, err := net.Dial("tcp", f.gateways[0].callerListener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: %s\r\n%s: a\r\n%s: b\r\n\r\n", host, platform.HeaderRequestID, platform.HeaderRequestID)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Equal(t, len(f.targets["a"].Runs()), 0)
}

// Guards against a new connection to a target for each request of callers without keep-alive: the end of
// the caller's connection closed the target's connection too, see the same test of package caller.
func TestCallersWithoutKeepAliveShareTargetConnections(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	from := map[string]bool{}
	f.targets["a"].SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		from[r.RemoteAddr] = true
		return false
	})
	f.client.Transport = &http.Transport{DisableKeepAlives: true}
	for range 5 {
		assert.Equal(t, f.send(f.gateways[0], call{method: "POST", path: "/pay/1", key: -1, body: "x"}).status, http.StatusOK)
	}
	assert.Equal(t, len(from), 1)
}

func TestUnknownRouteAndMissingConfiguration(t *testing.T) {
	f := newFleet(t, 1, "")
	waittest.Until(t, "the server answers", func() bool {
		return f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1}).status == http.StatusServiceUnavailable
	})
	f.add(plainTarget("a"))
	f.configure(plainConfig)
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/1", key: -1})
	assert.Equal(t, f.send(f.gateways[0], call{method: "GET", path: "/nothing/1", key: -1}).status, http.StatusNotFound)
}

// Guards against a payment that is made twice: the target runs the request, its connection breaks before
// the answer, and the lost answer is mistaken for a lost request.
func TestWhatMayHaveRunIsNotRepeatedUnlessItMayBe(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"), plainTarget("b"))
	for _, target := range f.targets {
		broken := false
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if broken || strings.HasPrefix(r.URL.Path, "/read/") && r.Header.Get(platform.HeaderRequestID) == "id-again" {
				return false
			}
			broken = true
			closeConnection(t, w)
			return true
		})
	}
	got := f.send(f.gateways[0], call{method: "POST", path: "/pay/1", key: -1, body: "x"})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, f.runsOf(got.id), 0)
	got = f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, f.runsOf(got.id), 1)
}

func closeConnection(t *testing.T, w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	assert.NilError(t, err)
	conn.Close()
}

// A request that one target refuses without running it is sent to another. If all targets refuse it, the
// caller is told when to retry.
func TestRefusalsOfTargetsGoElsewhereOrBack(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"), plainTarget("b"))
	refuse := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	// A router that has just started has neither a share of the retries nor any that requests have earned.
	f.gateways[0].service("any").setShare(1)
	for range 40 {
		assert.Equal(t, f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1}).status, http.StatusOK)
	}
	f.targets["a"].SetHandler(refuse)
	for range 5 {
		got := f.send(f.gateways[0], call{method: "POST", path: "/pay/1", key: -1, body: "body"})
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "b ran "+got.id)
	}
	f.targets["b"].SetHandler(refuse)
	got := f.send(f.gateways[0], call{method: "POST", path: "/pay/2", key: -1, body: "body"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds < 2, got.header.Get("Retry-After"))
}

// Guards against a caller that gets the answer to another caller's request: a target answers a request
// twice, the second time while the next request is in flight on the same connection, and the next bytes on
// the connection are mistaken for the answer to that request.
func TestSecondAnswerIsPassedOver(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	first := true
	f.targets["a"].SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if !first {
			return false
		}
		first = false
		id := r.Header.Get(platform.HeaderRequestID)
		conn, rw, err := http.NewResponseController(w).Hijack()
		assert.NilError(t, err)
		go func() {
			defer conn.Close()
			whole := func(id, body string) {
				fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
					platform.HeaderRequestID, id, platform.HeaderStamp, len(body), body)
				rw.Flush()
			}
			whole(id, "first")
			next, err := http.ReadRequest(rw.Reader)
			if err != nil {
				return
			}
			whole(id, "first again")
			whole(next.Header.Get(platform.HeaderRequestID), "second")
		}()
		return true
	})
	assert.Equal(t, f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1}).body, "first")
	assert.Equal(t, f.send(f.gateways[0], call{method: "GET", path: "/read/2", key: -1}).body, "second")
}

// A successful answer that lacks the target's signature is not passed on as a success.
func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.targets["a"].SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusOK)
		return true
	})
	got := f.send(f.gateways[0], call{method: "POST", path: "/pay/1", key: -1, body: "x"})
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// Guards against a truncated answer that looks complete to the caller: an answer without a length ends with
// a connection reset.
func TestBrokenAnswerDoesNotLookWhole(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.targets["a"].SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		conn, rw, err := http.NewResponseController(w).Hijack()
		assert.NilError(t, err)
		fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nConnection: close\r\n\r\npart",
			platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderStamp)
		rw.Flush()
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
		conn.Close()
		return true
	})
	got := f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1})
	assert.Assert(t, got.err != nil || got.status != http.StatusOK, "%+v", got)
}

// A request that the target has not finished at the route's timeout is answered then.
func TestTimeoutOfTheRouteIsKept(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.targets["a"].SetServiceTime(3 * time.Second)
	began := time.Now()
	got := f.send(f.gateways[0], call{method: "GET", path: "/read/1", key: -1})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Pipelined requests on one connection are answered in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.sendUntilServed(f.gateways[0], call{method: "GET", path: "/read/0", key: -1})
	conn, err := net.Dial("tcp", f.gateways[0].callerListener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	var all bytes.Buffer
	for i := range 5 {
		fmt.Fprintf(&all, "GET /read/%d HTTP/1.1\r\nHost: %s\r\n%s: pipe-%d\r\n%s: 2000\r\n\r\n",
			i, host, platform.HeaderRequestID, i, platform.HeaderDeadline)
	}
	_, err = conn.Write(all.Bytes())
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	var got []byte
	buffer := make([]byte, 4096)
	for bytes.Count(got, []byte("a ran pipe-")) < 5 {
		n, err := conn.Read(buffer)
		assert.NilError(t, err)
		got = append(got, buffer[:n]...)
	}
	last := -1
	for i := range 5 {
		at := bytes.Index(got, []byte(fmt.Sprintf("a ran pipe-%d", i)))
		assert.Assert(t, at > last)
		last = at
	}
}
