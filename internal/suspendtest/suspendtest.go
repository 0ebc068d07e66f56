// Package suspendtest repeatedly suspends a test process that sends messages, each under a
// right that expires soon, and counts the messages that it sends after their right has expired.
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
	// Right is how long the right to send a message lasts, counted from when the message is begun.
	Right = 10 * time.Millisecond
	// suspensions is the number of times that the process is suspended. Each time it first runs
	// for runDuration and is then suspended for suspendDuration.
	suspensions     = 60
	suspendDuration = 150 * time.Millisecond
	runDuration     = 5 * time.Millisecond
	// wireDelay is how long after the expiry of its right a message may arrive that was sent in time.
	wireDelay = 50 * time.Millisecond
	// addressVariable is the environment variable that makes a process send, and to which address.
	addressVariable = "TARRAGONGW_TEST_SUSPENDED_SENDS_TO"
)

// Sends returns the address to which this process must send until it is killed; false means
// that this process runs the tests. TestMain calls it first.
func Sends() (string, bool) { return os.LookupEnv(addressVariable) }

// Receiver counts the messages that arrive, and those that arrive too late.
type Receiver struct{ arrived, late atomic.Int64 }

// Arrived counts a message whose right expires at the time until of clock.Boot.
func (r *Receiver) Arrived(until time.Duration) {
	r.arrived.Add(1)
	if (clock.Boot{}).Now()-until > wireDelay {
		r.late.Add(1)
	}
}

// Run starts this test program as a process that sends to the address, suspends it repeatedly,
// and fails the test if a message was sent after its right had expired.
func (r *Receiver) Run(t *testing.T, address string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), addressVariable+"="+address)
	child.Stderr = os.Stderr
	assert.NilError(t, child.Start())
	defer func() {
		assert.Check(t, child.Process.Kill())
		_ = child.Wait() // returns an error, because the process was killed
	}()
	for r.arrived.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range suspensions {
		time.Sleep(runDuration)
		assert.NilError(t, child.Process.Signal(syscall.SIGSTOP))
		time.Sleep(suspendDuration)
		assert.NilError(t, child.Process.Signal(syscall.SIGCONT))
	}
	t.Logf("%d suspensions, %d messages, %d late", suspensions, r.arrived.Load(), r.late.Load())
	assert.Equal(t, r.late.Load(), int64(0), "messages were sent after the right to send them had expired")
}
