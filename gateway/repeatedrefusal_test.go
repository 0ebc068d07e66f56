package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// onceConfig has a route to a service with keys whose requests may run at most once.
var onceConfig = strings.Replace(keyedConfig, `"route_type":"safe"`, `"route_type":"unsafe"`, 1)

// repeatingTarget refuses each request once. Where the next request arrives on the same connection it repeats its last answer first.
type repeatingTarget struct {
	mu      sync.Mutex
	refused map[string]bool
	ran     map[string]int
}

func newRepeatingTarget(target *platformtest.Target) *repeatingTarget {
	r := &repeatingTarget{refused: map[string]bool{}, ran: map[string]int{}}
	target.SetHandler(func(w http.ResponseWriter, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body) // what is left of it makes no difference
		conn, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		go func() {
			defer conn.Close()
			r.serve(rw, req.Header.Get(platform.HeaderRequestID))
		}()
		return true
	})
	return r
}

// serve answers a request and those after it on its connection.
func (r *repeatingTarget) serve(rw *bufio.ReadWriter, id string) {
	last := ""
	for {
		answer := r.answer(id)
		if _, err := rw.WriteString(last + answer); err != nil || rw.Flush() != nil {
			return
		}
		last = answer
		next, err := http.ReadRequest(rw.Reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, next.Body); err != nil {
			return
		}
		id = next.Header.Get(platform.HeaderRequestID)
	}
}

func (r *repeatingTarget) answer(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refused[id] {
		r.refused[id] = true
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderNotRun)
	}
	r.ran[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: 3\r\n\r\nran", platform.HeaderRequestID, id, platform.HeaderStamp)
}

func (r *repeatingTarget) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// Guards against a request that runs twice, or is answered "not run" after it has run: a target's refusal of its first send, which
// comes once more, is taken for the answer to the second send.
func TestRepeatedRefusalDoesNotAnswerTheNextSend(t *testing.T) {
	f := newFleet(t, 1, onceConfig, keyedTarget("a"))
	waittest.Until(t, "the key is held", func() bool { return f.holder(testKey) != "" })
	f.gateways[0].service("keyed").setShare(1)
	for range 40 { // requests that earn retries
		assert.Equal(t, f.send(f.gateways[0], call{method: http.MethodPost, path: "/read/1", key: testKey, body: "x"}).status, http.StatusOK)
	}
	target := newRepeatingTarget(f.targets["a"])
	for range 5 {
		got := f.send(f.gateways[0], call{method: http.MethodPost, path: "/read/1", key: testKey, body: "x"})
		assert.Equal(t, got.status, http.StatusOK, got.id)
		assert.Equal(t, target.runs(got.id), 1, got.id)
	}
}

// Guards against the same where the caller sends a refused request again under its id.
func TestRepeatedRefusalDoesNotAnswerTheCallersNextAttempt(t *testing.T) {
	once := strings.Replace(onceConfig, `"max_attempts":2`, `"max_attempts":1`, 1)
	f := newFleet(t, 1, once, keyedTarget("a"))
	waittest.Until(t, "the key is held", func() bool { return f.holder(testKey) != "" })
	target := newRepeatingTarget(f.targets["a"])
	for range 20 {
		id := f.newID()
		for target.runs(id) == 0 {
			got := f.sendAs(f.gateways[0], call{method: http.MethodPost, path: "/read/1", key: testKey, body: "x"}, id)
			assert.Equal(t, got.status == http.StatusOK, target.runs(id) == 1, id)
		}
		assert.Equal(t, target.runs(id), 1)
	}
}
