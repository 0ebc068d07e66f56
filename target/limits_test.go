package target

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
)

// Guards against a request that fails on a connection that was closed long ago. The target
// closes an idle connection, or writes to it unasked, and the pool reuses it without a check.
func TestStaleConnectionsAreFoundBeforeReuse(t *testing.T) {
	for _, unasked := range []string{"", "HTTP/1.1 408 Request Timeout\r\n\r\n"} {
		idleConn := make(chan net.Conn, 1)
		proceed := make(chan struct{})
		s := startTarget(t, func(c net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			io.WriteString(c, okResponse)
			select {
			case idleConn <- c:
				<-proceed
				if unasked != "" {
					io.WriteString(c, unasked)
				}
			default:
			}
			if unasked == "" {
				return
			}
			io.Copy(io.Discard, br)
		})
		p := newPool(t, s.addr(), nil)
		_, _, err := sendGet(t, p, background)
		assert.NilError(t, err)
		<-idleConn
		close(proceed)
		c := p.idle[0]
		for c.reusable() {
			time.Sleep(time.Millisecond)
		}
		_, _, err = sendGet(t, p, background)
		assert.NilError(t, err)
		assert.Equal(t, p.Stats().Stale, uint64(1))
		assert.Equal(t, p.Stats().Dials, uint64(2))
	}
}

func TestAgeAndIdleLimits(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	now := time.Now()
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.MaxAge, cfg.MaxIdle = 10*time.Minute, time.Minute
		cfg.Now = func() time.Time { return now }
	})
	use := func() Stats {
		_, _, err := sendGet(t, p, background)
		assert.NilError(t, err)
		return p.Stats()
	}
	use()
	now = now.Add(time.Minute)
	stats := use() // idle for too long: opens a new connection
	assert.Equal(t, stats.Dials, uint64(2))
	for range 10 {
		now = now.Add(59 * time.Second)
		stats = use()
	}
	assert.Equal(t, stats.Dials, uint64(2))
	now = now.Add(59 * time.Second)
	stats = use() // over ten minutes old, never idle for a minute
	assert.Equal(t, stats.Dials, uint64(3))
	assert.Equal(t, stats.Aged, uint64(2))
	p.sweep(now.Add(59 * time.Second))
	assert.Equal(t, p.Stats().Open, 1)
	p.sweep(now.Add(time.Minute))
	assert.Equal(t, p.Stats().Open, 0)
	assert.Equal(t, p.Stats().Aged, uint64(3))

	resp := attempt(t, p, background, newRequest(t, "GET", nil))
	now = now.Add(10 * time.Minute)
	_, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, p.Stats().Open, 0, "the connection became too old during the exchange")
}

// connGauge counts open connections and records the highest count.
type connGauge struct {
	mu         sync.Mutex
	open, peak int
}

func (g *connGauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open += n
	g.peak = max(g.peak, g.open)
}

// gaugedConn is a connection that decrements the gauge when it is closed.
type gaugedConn struct {
	net.Conn
	once  sync.Once
	gauge *connGauge
}

func (c *gaugedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.gauge.add(-1) })
	return err
}

func TestConnectionBudgetHoldsUnderConcurrency(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Cut") {
		case "yes":
			panic(http.ErrAbortHandler)
		case "close":
			w.Header().Set("Connection", "close")
		}
		io.WriteString(w, `{"ready":true}`)
	}))
	defer server.Close()
	g := new(connGauge)
	p := newPool(t, server.Listener.Addr().String(), func(cfg *PoolConfig) {
		cfg.MaxConns, cfg.ControlConns, cfg.Wait = 6, 2, -1
		cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			g.add(1)
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				g.add(-1)
				return nil, err
			}
			return &gaugedConn{Conn: raw, gauge: g}, nil
		}
	})
	control, err := NewControl(p)
	assert.NilError(t, err)
	defer control.Close()
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 50 {
				if i%8 == 0 {
					if _, err := control.Probe(background); err != nil {
						t.Error(err)
					}
					continue
				}
				r := newRequest(t, "GET", nil)
				r.Header.Set("Cut", []string{"", "close", "yes"}[n%3])
				ctx, cancel := context.WithTimeout(background, time.Duration(1+i*n)*time.Millisecond)
				resp, f := p.Attempt(ctx, r)
				if f == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				cancel()
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, g.peak, 6)
	stats := p.Stats()
	assert.Equal(t, stats.InUse, 0)
	assert.Equal(t, stats.Waiting, 0)
	assert.Equal(t, stats.Open, stats.Idle)
}

func TestFullPoolRefusesOrWaits(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, -1} {
		var release chan struct{}
		full := func(cfg *PoolConfig) { cfg.MaxConns, cfg.ControlConns, cfg.Wait = 1, -1, wait }
		withFakeTime(t, full, func(c net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			<-release
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, func(t *testing.T, p *Pool) {
			release = make(chan struct{}) // made inside the synctest bubble, as its fake clock requires
			first := make(chan *fault.Fault)
			go func() {
				_, f := p.Attempt(background, newRequest(t, "HEAD", nil))
				first <- f
			}()
			synctest.Wait()
			ctx, cancel := context.WithTimeout(background, 20*time.Millisecond)
			_, f := p.Attempt(ctx, newRequest(t, "GET", nil))
			cancel()
			assert.Equal(t, f.Ran, fault.NotRun)
			if wait < 0 {
				assert.Equal(t, f.Kind, fault.DeadlineExceeded)
			} else {
				assert.Equal(t, f.Kind, fault.QueueFull)
				assert.Equal(t, p.Stats().Full, uint64(1))
			}
			close(release)
			assert.Assert(t, <-first == nil)
			assert.Equal(t, p.Stats().Waiting, 0)
		})
	}
}

// Guards against sending work to a target after the router's lease has expired. The router
// checks its lease before it has a connection, opening one takes long, and the lease expires
// meanwhile.
func TestLeaseIsCheckedAfterTheDial(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	expired := false
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			expired = true
			return new(net.Dialer).DialContext(ctx, network, address)
		}
	})
	checkLease := func() *fault.Fault {
		if expired {
			return fault.New(fault.StaleRoute, "expired")
		}
		return nil
	}
	_, f := p.AttemptWithOptions(background, newRequest(t, "GET", nil), AttemptOptions{BeforeRequest: checkLease})
	assert.Equal(t, f.Kind, fault.StaleRoute)
	assert.Equal(t, p.Stats().Idle, 1)
	expired = false
	resp, f := p.AttemptWithOptions(background, newRequest(t, "GET", nil), AttemptOptions{BeforeRequest: checkLease})
	assert.Assert(t, f == nil)
	io.ReadAll(resp.Body)
	assert.Equal(t, p.Stats().Dials, uint64(1))
}

// Guards against a key's former holder running a request that a router sent after its lease
// had expired. The router checks its lease; before the first byte is written, or between the
// header and the body, its process is suspended until after the lease has expired. There is
// time for that because the header is built after the check, a request with a body is written
// by a goroutine that must first be scheduled, and the body is written separately from the
// header.
func TestLeaseIsCheckedBeforeEveryWrite(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		// checks is how many checks find the lease valid.
		checks int64
		kind   fault.Kind
		ran    fault.Ran
	}{
		"before the header":               {"GET", 1, fault.StaleRoute, fault.NotRun},
		"before the header, with a body":  {"POST", 1, fault.StaleRoute, fault.NotRun},
		"between the header and the body": {"POST", 2, fault.TargetLost, fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, respondAlways(okResponse))
			p := newPool(t, s.addr(), nil)
			expired := fault.New(fault.StaleRoute, "expired")
			var checks atomic.Int64
			checkLease := func() *fault.Fault {
				if checks.Add(1) <= c.checks {
					return nil
				}
				return expired
			}
			body := func() io.Reader {
				if c.method == "GET" {
					return nil
				}
				return io.NopCloser(strings.NewReader("x"))
			}
			r := newRequest(t, c.method, body())
			if c.method == "POST" {
				r.ContentLength = 1
			}
			_, f := p.AttemptWithOptions(background, r, AttemptOptions{BeforeRequest: checkLease, BeforeWrite: func(bool) *fault.Fault { return checkLease() }})
			assert.Assert(t, f != nil, "the request was sent")
			assert.Equal(t, f.Kind, c.kind)
			assert.Equal(t, f.Ran, c.ran)
			assert.Equal(t, p.Stats().Open, 0)
			resp, f := p.AttemptWithOptions(background, newRequest(t, c.method, body()), AttemptOptions{})
			assert.Assert(t, f == nil)
			_, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
		})
	}
}

func TestDialTimeoutIsNotRun(t *testing.T) {
	p := newPool(t, "127.0.0.1:1", func(cfg *PoolConfig) {
		cfg.DialTimeout = 10 * time.Millisecond
		cfg.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	_, _, err := sendGet(t, p, background)
	assert.Equal(t, err.(*fault.Fault).Kind, fault.TargetUnreachable)
	assert.Equal(t, err.(*fault.Fault).Ran, fault.NotRun)
	assert.Equal(t, p.Stats().Open, 0)
}

func TestTLSConnectionsAreReusedAndFoundStale(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok")
	}))
	defer server.Close()
	roots := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	p := newPool(t, server.Listener.Addr().String(), func(cfg *PoolConfig) {
		cfg.TLS = func() *tls.Config { return &tls.Config{RootCAs: roots, ServerName: "example.com"} }
	})
	for range 3 {
		_, body, err := sendGet(t, p, background)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, p.Stats().Reuses, uint64(2))
	server.CloseClientConnections()
	for p.idle[0].reusable() {
		time.Sleep(time.Millisecond)
	}
	_, _, err := sendGet(t, p, background)
	assert.NilError(t, err)
	assert.Equal(t, p.Stats().Stale, uint64(1))
}

func TestClosedPoolRefusesAttempts(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), nil)
	resp := attempt(t, p, background, newRequest(t, "GET", nil))
	p.Close()
	select {
	case <-p.Drained():
		t.Fatal("drained with an exchange in flight")
	default:
	}
	_, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	<-p.Drained()
	assert.Equal(t, p.Stats().Open, 0)
	_, f := p.Attempt(background, newRequest(t, "GET", nil))
	assert.Equal(t, f.Ran, fault.NotRun)
}

func TestInvalidSettingsAreRefused(t *testing.T) {
	_, err := New(PoolConfig{})
	assert.ErrorContains(t, err, "Address")
	_, err = New(PoolConfig{Address: "a:1", MaxConns: 2})
	assert.ErrorContains(t, err, "MaxConns 2")
	p := newPool(t, "127.0.0.1:1", nil)
	_, err = NewControl(p)
	assert.NilError(t, err)
	_, err = NewControl(p)
	assert.ErrorContains(t, err, "already")
}

// Guards against a response that exhausts memory although its header is bounded. A target sends
// a chunked body and then endless trailers, to which the limit on the header does not apply.
func TestResponseTrailersAreBounded(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: %s\r\n\r\n"
	for length, complete := range map[int]bool{1 << 10: true, 8 << 10: false} {
		s := startTarget(t, respondAlways(strings.Replace(response, "%s", strings.Repeat("x", length), 1)))
		p := newPool(t, s.addr(), nil)
		_, _, err := sendGet(t, p, background)
		assert.Equal(t, err == nil, complete, "a trailer of %d bytes: %v", length, err)
	}
}
