// Package suspendtest repeatedly suspends a test process that sends messages, each under a
// right that expires soon, and counts the messages that it sends after their right has expired.
package suspendtest

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// Right is how long the right to send a message lasts, counted from when the message is begun.
	Right = 10 * time.Millisecond
	// suspensions is the number of times that the process is suspended. Each time it first runs
	// for runDuration and is then suspended for suspendDuration.
	suspensions     = 60
	suspendDuration = 150 * time.Millisecond
	runDuration     = 5 * time.Millisecond
	// wireDelay is how long after the expiry of its right a message may arrive that was sent in time.
	wireDelay = 50 * time.Millisecond
	// senderVariable is the environment variable that makes a process send, and which sender runs;
	// addressVariable is the one with the address.
	senderVariable  = "TARRAGONGW_TEST_SUSPENDED_SENDER"
	addressVariable = "TARRAGONGW_TEST_SUSPENDED_SENDS_TO"
)

// Senders are functions by name that send to an address and never return.
type Senders map[string]func(address string)

// RunIfChosen runs the sender that this process was started for, and doesn't return. If this process
// runs the tests, it returns at once. TestMain calls it first.
func (s Senders) RunIfChosen() {
	name, sends := os.LookupEnv(senderVariable)
	if !sends {
		return
	}
	send, ok := s[name]
	if !ok {
		panic("suspendtest: no sender " + name)
	}
	send(os.Getenv(addressVariable))
	panic("suspendtest: sender " + name + " returned")
}

// InParallel runs send, which never returns, in enough goroutines to keep all processors busy.
func InParallel(send func()) {
	for range 2*runtime.GOMAXPROCS(0) - 1 {
		go send()
	}
	send()
}

// Receiver counts the messages that arrive, and those that arrive too late. A message arrives when
// the kernel receives its last bytes: the process of the tests may read them later.
type Receiver struct {
	// wallOffset is the one at the start of the test.
	wallOffset time.Duration

	mu            sync.Mutex
	arrived, late int
	// err is why the first message without a valid time of arrival has none.
	err error
}

// NewServer returns a server for the messages, which the caller starts and closes. Its handler
// passes each request to Arrived once it has read the body, and before it responds.
func (r *Receiver) NewServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	r.wallOffset = wallOffset()
	listener, err := listenWithTimestamps()
	assert.NilError(t, err)
	return &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler, ConnContext: withConn}}
}

// Arrived counts a message whose right expires at the time until of clock.Boot.
func (r *Receiver) Arrived(message *http.Request, until time.Duration) {
	at, err := arrivalTime(message, r.wallOffset)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived++
	if err != nil && r.err == nil {
		r.err = err
	}
	if err == nil && at-until > wireDelay {
		r.late++
	}
}

// counts returns the numbers of messages and of late ones, and the error of the first message
// that could not be judged.
func (r *Receiver) counts() (arrived, late int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived, r.late, r.err
}

// check fails the test if a message was late or could not be judged.
func (r *Receiver) check(t *testing.T) {
	t.Helper()
	arrived, late, err := r.counts()
	t.Logf("%d suspensions, %d messages, %d late", suspensions, arrived, late)
	assert.NilError(t, err)
	assert.Equal(t, late, 0, "messages were sent after the right to send them had expired")
}

func (r *Receiver) waitForFirst() {
	for {
		if arrived, _, _ := r.counts(); arrived > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Run starts this test program as a process that runs the sender, suspends it repeatedly, and fails
// the test if a message was sent after its right had expired.
func (r *Receiver) Run(t *testing.T, sender, address string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), senderVariable+"="+sender, addressVariable+"="+address)
	child.Stderr = os.Stderr
	assert.NilError(t, child.Start())
	defer func() {
		assert.Check(t, child.Process.Kill())
		_ = child.Wait() // returns an error, because the process was killed
	}()
	r.waitForFirst()
	for range suspensions {
		time.Sleep(runDuration)
		assert.NilError(t, child.Process.Signal(syscall.SIGSTOP))
		time.Sleep(suspendDuration)
		assert.NilError(t, child.Process.Signal(syscall.SIGCONT))
	}
	r.check(t)
}
