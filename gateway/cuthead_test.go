package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// cutAnswer is an answer to a request, whose ID is %s in the head.
type cutAnswer struct{ head, body string }

func (a cutAnswer) to(id string) string { return fmt.Sprintf(a.head, id) + a.body }

const headOfAnswer = "HTTP/1.1 200 OK\r\nTarragongw-Request-Id: %s\r\nTarragongw-Response-Stamp: s\r\n"

// cutAnswers are answers that are not whole before their last byte.
var cutAnswers = map[string]cutAnswer{
	"with a length":        {headOfAnswer + "Content-Length: 5\r\n\r\n", "whole"},
	"in chunks":            {headOfAnswer + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
	"with trailers":        {headOfAnswer + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"},
	"after an interim one": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + headOfAnswer + "Content-Length: 5\r\n\r\n", "whole"},
	"to its end":           {headOfAnswer + "Connection: close\r\n\r\n", ""},
}

// serveCut makes a target answer requests for /read/cut by the first bytes of an answer, and close the connection.
func serveCut(target *platformtest.Target, a cutAnswer, bytes int) {
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/read/cut") {
			return false
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		whole := a.to(r.Header.Get(platform.HeaderRequestID))
		_, _ = io.WriteString(conn, whole[:min(bytes, len(whole)-1)]) // the router may have closed it
		return true
	})
}

// checkCut sends requests whose answers are cut off after each number of bytes.
func checkCut(t *testing.T, f *fleet, g *Gateway, method string) {
	t.Helper()
	for name, a := range cutAnswers {
		for bytes := 0; bytes < len(a.to("id-99")); bytes += 1 + bytes%3 {
			for _, target := range f.targets {
				serveCut(target, a, bytes)
			}
			id := f.newID()
			got := f.sendAs(g, call{method: method, path: "/read/cut", key: -1}, id)
			headWhole := bytes >= len(a.to(id))-len(a.body)
			mayBeOK := headWhole && (method == http.MethodHead || got.body == "whole")
			assert.Check(t, got.err != nil || got.status != http.StatusOK || mayBeOK, "%s, %d bytes: %d %q", name, bytes, got.status, got.body)
		}
	}
}

// Guards against an answer that breaks off in its head and is passed on as a whole one with a short body.
func TestAnswersWithCutHeadsAreNotPassedOnAsWhole(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"), plainTarget("b"))
	f.awaitTarget("b")
	checkCut(t, f, f.gateways[0], http.MethodGet)
	checkCut(t, f, f.gateways[0], http.MethodHead)
}

// Guards against the same where the answer comes through another router.
func TestRelayedAnswersWithCutHeadsAreNotPassedOnAsWhole(t *testing.T) {
	f, cut, _ := cutFollower(t, plainTarget("p0"), plainTarget("p1"))
	before := f.relayedRequests()
	checkCut(t, f, cut, http.MethodGet)
	assert.Assert(t, f.relayedRequests() > before)
}

// Guards against the same for a request behind another one on its connection.
func TestCutHeadBehindAnotherRequestIsNotPassedOnAsWhole(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	cut := cutAnswers["with a length"]
	for bytes := 0; bytes < len(cut.head); bytes += 5 {
		serveCut(f.targets["a"], cut, bytes)
		conn, err := net.Dial("tcp", f.gateways[0].callerListener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		reader := bufio.NewReader(conn)
		var requests strings.Builder
		for i, path := range []string{"/read/1", "/read/cut", "/read/2"} {
			fmt.Fprintf(&requests, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: pipe-%d-%d\r\n%s: 3000\r\n\r\n", path, host, platform.HeaderRequestID, bytes, i, platform.HeaderDeadline)
		}
		_, err = io.WriteString(conn, requests.String())
		assert.NilError(t, err)
		for i := range 3 {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				break // the connection ended with the answer that was cut
			}
			body, err := io.ReadAll(resp.Body)
			assert.Check(t, resp.Header.Get(platform.HeaderRequestID) == fmt.Sprintf("pipe-%d-%d", bytes, i))
			assert.Check(t, i != 1 || err != nil || resp.StatusCode != http.StatusOK, "%d bytes: %d %q", bytes, resp.StatusCode, body)
			resp.Body.Close()
		}
		conn.Close()
	}
}
