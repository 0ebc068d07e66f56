package target

import (
	"context"
	"io"
	"math"
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
	"tarragongw/internal/suspendtest"
)

// headerLeaseEnd has when the right to send the request ends.
const headerLeaseEnd = "X-Until"

// A process that is suspended between its look at its right to send and the system call
// writes the request when it goes on, after the right has ended.
func TestSuspendedProcessWritesNothingAfterLeaseExpiry(t *testing.T) {
	var received suspendtest.Receiver
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		until, err := strconv.ParseInt(r.Header.Get(headerLeaseEnd), 10, 64)
		if _, bodyErr := io.Copy(io.Discard, r.Body); err != nil || bodyErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		received.Arrived(time.Duration(until))
	}))
	defer server.Close()
	received.Run(t, strings.TrimPrefix(server.URL, "http://"))
}

// A request is reported as not run, or as lost, by whether bytes of it left before the right to
// send it ended.
func TestExpiredLeaseIsNotRunBeforeTheFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		begun bool
		kind  fault.Kind
		ran   fault.Ran
	}{
		"before the header":               {false, fault.StaleRoute, fault.NotRun},
		"between the header and the body": {true, fault.TargetLost, fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, respondAlways(okResponse))
			p := newPool(t, s.addr(), nil)
			r := newRequest(t, http.MethodPost, io.NopCloser(strings.NewReader("x")))
			r.ContentLength = 1
			_, f := p.AttemptOn(background, r, Terms{Until: func(begun bool) time.Duration {
				if begun == c.begun {
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

// sendUntilKilled is the process that TestSuspendedProcessWritesNothingAfterItsRight suspends.
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

func sendWhileAllowed(p *Pool) {
	for i := 0; ; i++ {
		until := (clock.Boot{}).Now() + suspendtest.Right
		method, body := http.MethodGet, io.Reader(http.NoBody)
		if i%2 == 1 {
			method, body = http.MethodPost, strings.NewReader("x")
		}
		r, err := http.NewRequest(method, "http://target/", body)
		if err != nil {
			panic(err)
		}
		r.Header.Set(headerLeaseEnd, strconv.FormatInt(int64(until), 10))
		resp, f := p.AttemptOn(context.Background(), r, Terms{Still: func(bool) *fault.Fault {
			if (clock.Boot{}).Now() >= until {
				return fault.New(fault.StaleRoute, "lapsed")
			}
			return nil
		}, Until: func(bool) time.Duration { return until }})
		if f == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}
