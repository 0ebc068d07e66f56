package target

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
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

// headerLeaseEnd holds the time at which the lease to send the request expires.
const headerLeaseEnd = "X-Until"

// Guards against a process that is suspended between checking its lease and the system call,
// and writes the request when it resumes after the lease has expired.
func TestSuspendedProcessWritesNothingAfterLeaseExpiry(t *testing.T) {
	var received suspendtest.Receiver
	server := received.NewServer(t, func(w http.ResponseWriter, r *http.Request) {
		expiry, err := strconv.ParseInt(r.Header.Get(headerLeaseEnd), 10, 64)
		if _, bodyErr := io.Copy(io.Discard, r.Body); err != nil || bodyErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		received.Arrived(r, time.Duration(expiry))
	})
	server.Start()
	defer server.Close()
	received.Run(t, server.Listener.Addr().String())
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

// sendUntilKilled is the process that TestSuspendedProcessWritesNothingAfterLeaseExpiry suspends.
func sendUntilKilled(address string) {
	p, err := New(PoolConfig{Address: address})
	if err != nil {
		panic(err)
	}
	for range 2*runtime.GOMAXPROCS(0) - 1 {
		go sendWhileAllowed(p)
	}
	sendWhileAllowed(p)
}

// sendWhileAllowed sends requests forever, each under a lease of its own.
func sendWhileAllowed(p *Pool) {
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
		if f == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}
