package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
	"tarragongw/target"
)

// answerRaw makes a target answer requests with the bytes, in which %s is the request's ID, and keep the connection.
func answerRaw(target *platformtest.Target, text string) {
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", r.Header.Get(platform.HeaderRequestID)))
		time.AfterFunc(2*time.Second, func() { conn.Close() })
		return true
	})
}

// checkMalformed sends requests that a target in trouble answers, and then those that may be served by another one.
func checkMalformed(t *testing.T, answers map[string]string) {
	t.Helper()
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	g := f.gateways[0]
	for name, text := range answers {
		answerRaw(f.targets["a"], text)
		began := time.Now()
		got := f.send(g, call{method: http.MethodPost, path: "/pay/1", key: -1, body: "x"})
		assert.Check(t, got.status == http.StatusBadGateway && got.header.Get(platform.HeaderStamp) == "", "%s: %d %q", name, got.status, got.body)
		assert.Check(t, time.Since(began) < 800*time.Millisecond, "%s: after %v", name, time.Since(began))
	}
	f.add(plainTarget("b"))
	f.awaitTarget("b")
	f.targets["a"].SetHandler(nil)
	g.service("any").setShare(1)
	for range 40 { // they earn retries
		f.sendUntilServed(g, call{method: http.MethodGet, path: "/read/1", key: -1})
	}
	for name, text := range answers {
		answerRaw(f.targets["a"], text)
		got := f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1})
		assert.Check(t, got.status == http.StatusOK && got.body == "b ran "+got.id, "%s: %d %q", name, got.status, got.body)
	}
	assert.Equal(t, len(g.statedLeaving.known), 0)
}

const (
	oddHead  = headOfAnswer + "Server-Leaving: 1\r\n"
	wholeOne = headOfAnswer + "Content-Length: 5\r\n\r\nother"
)

// Guards against an answer with status 000 that is taken for an informational one, and what comes next for the answer.
func TestAnswersWithoutAStatusAreNotPassedOn(t *testing.T) {
	checkMalformed(t, map[string]string{
		"000":            strings.Replace(oddHead, "200", "000", 1) + "Content-Length: 4\r\n\r\nbody",
		"000 alone":      strings.Replace(oddHead, "200", "000", 1) + "\r\n",
		"000, then 200":  strings.Replace(oddHead, "200", "000", 1) + "\r\n" + wholeOne,
		"099, then 200":  strings.Replace(oddHead, "200", "099", 1) + "\r\n" + wholeOne,
		"+20, then 200":  strings.Replace(oddHead, "200", "+20", 1) + "\r\n" + wholeOne,
		"HTTP/2.0":       strings.Replace(oddHead, "1.1", "2.0", 1) + "Content-Length: 4\r\n\r\nbody",
		"control reason": strings.Replace(oddHead, "OK", "O\x01K", 1) + "Content-Length: 4\r\n\r\nbody",
	})
}

// Guards against an answer with a blank in the name of a field, which is passed on without that field, or with another body.
func TestAnswersWithMalformedNamesAreNotPassedOn(t *testing.T) {
	checkMalformed(t, map[string]string{
		"blank":                  oddHead + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank before the colon": oddHead + "X : 1\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":                 oddHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks and a length":    oddHead + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"lengths":                oddHead + "Content-Length : 2\r\nContent-Length: 4\r\n\r\nbody",
		"length":                 oddHead + "Content-Length : 2\r\n\r\nbody",
		"control byte":           oddHead + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"interim answer":         "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + wholeOne,
		"HTTP/1.0 in chunks":     strings.Replace(oddHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	})
}

// Guards against a malformed trailer that makes a part of an answer look whole.
func TestAnswersWithMalformedTrailersAreNotPassedOn(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	for _, trailer := range []string{"X Y: 1", "X : 1", "X\x01: 1"} {
		answerRaw(f.targets["a"], headOfAnswer+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n\r\n")
		got := f.send(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1})
		assert.Check(t, got.err != nil || got.status != http.StatusOK, "%q: %d %q", trailer, got.status, got.body)
	}
}

// Guards against a target that gets no more work because of bytes that only look like its answer.
func TestUnsignedAnswersStateNothing(t *testing.T) {
	unsigned := strings.Replace(oddHead, platform.HeaderStamp, "X", 1) + "Content-Length: 4\r\n\r\nbody"
	checkMalformed(t, map[string]string{"own": unsigned, "another's": strings.Replace(unsigned, "%s", "another", 1) + unsigned})
	g, _ := idleGateway(t)
	g.opts.Adapter.Dialect = target.Dialect{Signature: platform.HeaderStamp}
	near, far := net.Pipe()
	defer far.Close()
	conn := &limitedConn{Conn: near, g: g, head: &answerHead{}, target: directory.Target{ID: "a", StartUnixMilli: 1}}
	go func() { _, _ = io.WriteString(far, unsigned) }()
	_, err := conn.Read(make([]byte, len(unsigned)))
	assert.NilError(t, err)
	assert.Equal(t, len(g.statedLeaving.known), 0)
}
