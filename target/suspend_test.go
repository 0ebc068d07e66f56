package target

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/fault"
)

const (
	// suspendedAddress names the target's address to the process that is suspended.
	suspendedAddress = "TARRAGONGW_TEST_SUSPENDED_SENDS_TO"
	headerUntil      = "X-Until"
	// sendingRight is for how long each request may be sent, from its begin on.
	sendingRight = 10 * time.Millisecond
	// suspensions is how often the process is suspended.
	suspensions = 60
	// suspension is how long the process stands still, and wireDelay how late a request
	// may arrive that left in time.
	suspension = 150 * time.Millisecond
	wireDelay  = 50 * time.Millisecond
)

// A process that is suspended between its look at its right to send and the system call
// writes the request when it goes on, after the right has ended.
func TestSuspendedProcessWritesNothingAfterItsRight(t *testing.T) {
	var ran, late atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		until, err := strconv.ParseInt(r.Header.Get(headerUntil), 10, 64)
		if _, bodyErr := io.Copy(io.Discard, r.Body); err != nil || bodyErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if lateness := (clock.Boot{}).Now() - time.Duration(until); lateness > wireDelay {
			late.Add(1)
			t.Logf("a %s came %v after the right to send it", r.Method, lateness)
		}
	}))
	defer server.Close()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), suspendedAddress+"="+strings.TrimPrefix(server.URL, "http://"))
	child.Stderr = os.Stderr
	assert.NilError(t, child.Start())
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	for ran.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range suspensions {
		time.Sleep(5 * time.Millisecond)
		assert.NilError(t, child.Process.Signal(syscall.SIGSTOP))
		time.Sleep(suspension)
		assert.NilError(t, child.Process.Signal(syscall.SIGCONT))
	}
	t.Logf("%d suspensions, %d requests, %d late", suspensions, ran.Load(), late.Load())
	assert.Equal(t, late.Load(), int64(0))
}

// A request is reported as not run, or as lost, by whether bytes of it left before the right to
// send it ended.
func TestRightThatHasEndedIsNotRunBeforeTheFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		begun bool
		kind  fault.Kind
		ran   fault.Ran
	}{
		"before the header":               {false, fault.StaleRoute, fault.NotRun},
		"between the header and the body": {true, fault.TargetLost, fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := play(t, always(okAnswer))
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
		until := (clock.Boot{}).Now() + sendingRight
		method, body := http.MethodGet, io.Reader(http.NoBody)
		if i%2 == 1 {
			method, body = http.MethodPost, strings.NewReader("x")
		}
		r, err := http.NewRequest(method, "http://target/", body)
		if err != nil {
			panic(err)
		}
		r.Header.Set(headerUntil, strconv.FormatInt(int64(until), 10))
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
