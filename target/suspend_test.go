package target

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
	"tarragongw/internal/suspendtest"
)

const (
	// headerLeaseEnd holds the time at which the lease to send the request expires.
	headerLeaseEnd = "X-Until"
	// pathOpen is the path of requests that only open a connection and have no lease.
	pathOpen = "/open"
	// The senders are the names of the processes that are suspended.
	senderRequests    = "requests"
	senderTLSRequests = "requests over TLS"
	senderGrants      = "grants"
	// grantTimeout limits a grant of senderGrants.
	grantTimeout = time.Second
)

// Guards against a process that is suspended between checking its lease and the system call,
// and writes the request when it resumes after the lease has expired.
func TestSuspendedProcessWritesNothingAfterLeaseExpiry(t *testing.T) {
	for sender, start := range map[string]func(*httptest.Server){
		senderRequests:    (*httptest.Server).Start,
		senderTLSRequests: (*httptest.Server).StartTLS,
	} {
		t.Run(sender, func(t *testing.T) {
			var received suspendtest.Receiver
			server := received.NewServer(t, countRequests(&received))
			start(server)
			defer server.Close()
			received.Run(t, sender, server.Listener.Addr().String())
		})
	}
}

// countRequests returns the handler of a target that counts requests.
func countRequests(received *suspendtest.Receiver) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathOpen {
			return
		}
		expiry, err := strconv.ParseInt(r.Header.Get(headerLeaseEnd), 10, 64)
		if _, bodyErr := io.Copy(io.Discard, r.Body); err != nil || bodyErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		received.Arrived(r, time.Duration(expiry))
	}
}

// Guards against a router that is suspended before the system call and then renews expired grants.
func TestSuspendedProcessSendsNoGrantAfterItsDeadline(t *testing.T) {
	var received suspendtest.Receiver
	server := received.NewServer(t, func(w http.ResponseWriter, r *http.Request) {
		var batch GrantBatch
		if err := json.NewDecoder(r.Body).Decode(&batch); err != nil || r.URL.Path != PathGrants {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		received.Arrived(r, time.Duration(batch.Sequence))
		// An error means that the sender is gone.
		_, _ = io.WriteString(w, `{"accepted":true}`)
	})
	server.Start()
	defer server.Close()
	received.Run(t, senderGrants, server.Listener.Addr().String())
}

// Whether a request is reported as not run or as lost depends on whether bytes of it were
// written before the lease expired.
func TestExpiredLeaseIsNotRunBeforeTheFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		started bool
		kind    fault.Kind
		ran     fault.Ran
	}{
		"before the header":               {false, fault.StaleRoute, fault.NotRun},
		"between the header and the body": {true, fault.TargetLost, fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, respondAlways(okResponse))
			p := newPool(t, s.addr(), nil)
			r := newRequest(t, http.MethodPost, io.NopCloser(strings.NewReader("x")))
			r.ContentLength = 1
			_, f := p.AttemptWithOptions(background, r, AttemptOptions{LeaseExpiry: func(started bool) time.Duration {
				if started == c.started {
					return 0
				}
				return math.MaxInt64
			}})
			assert.Assert(t, f != nil, "the request was sent")
			assert.Equal(t, f.Kind, c.kind)
			assert.Equal(t, f.Ran, c.ran)
			assert.Equal(t, p.Stats().Open, 0)
		})
	}
}

// connWithoutSocket hides the socket of a connection, as a Dial of an embedding program may.
type connWithoutSocket struct{ net.Conn }

// Guards against a lease that isn't checked where a connection's socket is not known.
func TestExpiredLeaseSendsNothingWithoutASocket(t *testing.T) {
	s := startTarget(t, respondAlways(okResponse))
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			return connWithoutSocket{c}, err
		}
	})
	expiry := time.Duration(0)
	opts := AttemptOptions{LeaseExpiry: func(bool) time.Duration { return expiry }}
	_, f := p.AttemptWithOptions(background, newRequest(t, http.MethodGet, nil), opts)
	faulttest.Is(t, f, fault.StaleRoute, fault.NotRun)
	expiry = math.MaxInt64
	resp, f := p.AttemptWithOptions(background, newRequest(t, http.MethodGet, nil), opts)
	assert.Assert(t, f == nil)
	assert.NilError(t, resp.Body.Close())
}

// sendRequests is the main function of senderRequests.
func sendRequests(address string) {
	sendThrough(PoolConfig{Address: address}, func(*Pool) {})
}

// sendTLSRequests is the main function of senderTLSRequests. A handshake may last longer than a
// lease, so that a request without a lease replaces each connection that an expired lease broke.
func sendTLSRequests(address string) {
	config := &tls.Config{InsecureSkipVerify: true, ClientSessionCache: tls.NewLRUClientSessionCache(0)}
	sendThrough(PoolConfig{Address: address, TLS: func() *tls.Config { return config }}, openConn)
}

// openConn opens a connection by a request without a lease.
func openConn(p *Pool) {
	r, err := http.NewRequest(http.MethodGet, "http://target"+pathOpen, http.NoBody)
	if err != nil {
		panic(err)
	}
	if resp, f := p.AttemptWithOptions(context.Background(), r, AttemptOptions{}); f == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// sendThrough sends requests through a pool until the process is killed, and calls afterFault after
// each that failed.
func sendThrough(cfg PoolConfig, afterFault func(*Pool)) {
	p, err := New(cfg)
	if err != nil {
		panic(err)
	}
	suspendtest.InParallel(func() { sendWhileAllowed(p, afterFault) })
}

// sendWhileAllowed sends requests forever, each under a lease of its own.
func sendWhileAllowed(p *Pool, afterFault func(*Pool)) {
	for i := 0; ; i++ {
		expiry := (clock.Boot{}).Now() + suspendtest.Right
		method, body := http.MethodGet, io.Reader(http.NoBody)
		if i%2 == 1 {
			method, body = http.MethodPost, strings.NewReader("x")
		}
		r, err := http.NewRequest(method, "http://target/", body)
		if err != nil {
			panic(err)
		}
		r.Header.Set(headerLeaseEnd, strconv.FormatInt(int64(expiry), 10))
		resp, f := p.AttemptWithOptions(context.Background(), r, AttemptOptions{BeforeWrite: func(bool) *fault.Fault {
			if (clock.Boot{}).Now() >= expiry {
				return fault.New(fault.StaleRoute, "expired")
			}
			return nil
		}, LeaseExpiry: func(bool) time.Duration { return expiry }})
		if f != nil {
			afterFault(p)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// sendGrants is the main function of senderGrants.
func sendGrants(address string) {
	conns := 2 * runtime.GOMAXPROCS(0)
	p, err := New(PoolConfig{Address: address, MaxConns: conns + 1, ControlConns: conns})
	if err != nil {
		panic(err)
	}
	c, err := NewControl(p)
	if err != nil {
		panic(err)
	}
	suspendtest.InParallel(func() { grantUntilKilled(c) })
}

// grantUntilKilled sends grants forever. The sequence number of each is its deadline.
func grantUntilKilled(c *Control) {
	for {
		sendBy := (clock.Boot{}).Now() + suspendtest.Right
		ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
		// The test checks the grants that arrive, not their outcomes here.
		_, _ = c.Grant(ctx, &GrantBatch{Grantor: "router", Term: 1, Sequence: uint64(sendBy)}, sendBy)
		cancel()
	}
}
