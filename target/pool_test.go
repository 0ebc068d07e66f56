package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newPool(t *testing.T, address string, change func(*PoolConfig)) *Pool {
	t.Helper()
	cfg := PoolConfig{Address: address}
	if change != nil {
		change(&cfg)
	}
	p, err := New(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Close()
		select {
		case <-p.Drained():
		case <-time.After(5 * time.Second):
			t.Errorf("the pool did not drain: %+v", p.Stats())
		}
	})
	return p
}

func newRequest(t testing.TB, method string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://target/stall/7", body)
	assert.NilError(t, err)
	return r
}

// attempt sends a request and fails the test unless there is a response.
func attempt(t *testing.T, p *Pool, ctx context.Context, r *http.Request) *http.Response {
	t.Helper()
	resp, f := p.Attempt(ctx, r)
	assert.Assert(t, f == nil, "%v", f)
	return resp
}

func TestSequentialExchangesReuseOneConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
		io.WriteString(w, r.Method)
	}))
	defer server.Close()
	p := newPool(t, server.Listener.Addr().String(), nil)
	for range 3 {
		resp := attempt(t, p, context.Background(), newRequest(t, "GET", nil))
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "GET")
	}
	s := p.Stats()
	assert.Equal(t, s.Dials, uint64(1))
	assert.Equal(t, s.Reuses, uint64(2))
	assert.Equal(t, s.Idle, 1)
	assert.Equal(t, s.InUse, 0)
}

// Metrics say why connections are opened: as the first one, after a response that closed the
// previous one, and after an exchange that was cancelled.
func TestNewConnectionsReportTheirCause(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Then") {
		case "close":
			w.Header().Set("Connection", "close")
		case "wait":
			<-release
		}
	}))
	defer server.Close()
	var causes []OpenCause
	p := newPool(t, server.Listener.Addr().String(), func(c *PoolConfig) {
		c.OnDial = func(cause OpenCause) { causes = append(causes, cause) }
	})
	send := func(then string) *http.Response {
		r := newRequest(t, "GET", nil)
		r.Header.Set("Then", then)
		return attempt(t, p, t.Context(), r)
	}
	send("").Body.Close()
	send("close").Body.Close()
	send("").Body.Close()
	r := newRequest(t, "GET", nil)
	r.Header.Set("Then", "wait")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, f := p.Attempt(ctx, r)
	assert.Assert(t, f != nil)
	close(release)
	send("").Body.Close()
	assert.DeepEqual(t, causes, []OpenCause{OpenedFirst, OpenedEnded, OpenedCancelled})
}
