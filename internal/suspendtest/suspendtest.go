// Package suspendtest suspends a process of a test again and again while it sends under a right
// that ends soon, and counts what it sends after the end.
package suspendtest

import (
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
)

const (
	// Right is for how long each message may be sent, from its begin on.
	Right = 10 * time.Millisecond
	// suspensions is how often the process is suspended, for duration each time after it has
	// run for pause.
	suspensions = 60
	duration    = 150 * time.Millisecond
	pause       = 5 * time.Millisecond
	// wireDelay is how late a message may arrive that left in time.
	wireDelay = 50 * time.Millisecond
	// addressVariable tells the process that it is to send, and where.
	addressVariable = "TARRAGONGW_TEST_SUSPENDED_SENDS_TO"
)

// Sends returns the address that this process is to send to until it is killed; false means
// that it is the one that runs the tests. TestMain asks it first.
func Sends() (string, bool) { return os.LookupEnv(addressVariable) }

// Receiver counts the messages that arrive.
type Receiver struct{ arrived, late atomic.Int64 }

// Arrived counts a message whose right ended at a time of clock.Boot.
func (r *Receiver) Arrived(until time.Duration) {
	r.arrived.Add(1)
	if (clock.Boot{}).Now()-until > wireDelay {
		r.late.Add(1)
	}
}

// Run starts this test program as a process that sends to the address, suspends it again and
// again, and fails the test if a message was sent after its right had ended.
func (r *Receiver) Run(t *testing.T, address string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), addressVariable+"="+address)
	child.Stderr = os.Stderr
	assert.NilError(t, child.Start())
	defer func() {
		assert.Check(t, child.Process.Kill())
		_ = child.Wait() // says that it was killed
	}()
	for r.arrived.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range suspensions {
		time.Sleep(pause)
		assert.NilError(t, child.Process.Signal(syscall.SIGSTOP))
		time.Sleep(duration)
		assert.NilError(t, child.Process.Signal(syscall.SIGCONT))
	}
	t.Logf("%d suspensions, %d messages, %d late", suspensions, r.arrived.Load(), r.late.Load())
	assert.Equal(t, r.late.Load(), int64(0), "messages were sent after the right to send them had ended")
}
