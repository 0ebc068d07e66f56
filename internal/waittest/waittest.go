// Package waittest waits for conditions in tests that run on the real clock.
package waittest

import (
	"testing"
	"time"
)

// Patience is the timeout of each wait. It is much longer than any measured wait, so that
// no test fails only because the machine is busy.
const Patience = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// Until waits until the condition holds and returns how long that took. After Patience it
// fails the test with the description of the condition.
func Until(t testing.TB, description string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > Patience {
			t.Fatalf("not within %v: %s", Patience, description)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}
