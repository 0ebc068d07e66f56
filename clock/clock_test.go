package clock

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a router that acts on a lease that ended while its VM was suspended, or drops
// all leases when the VM's wall clock is set, because leases are measured by a clock that
// stops during a suspension, or by the wall clock. The kernel's uptime is affected by neither,
// so that the clock for leases must agree with it.
func TestBootShowsTheKernelsUptime(t *testing.T) {
	before := Boot{}.Now()
	text, err := os.ReadFile("/proc/uptime")
	assert.NilError(t, err)
	after := Boot{}.Now()
	seconds, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
	assert.NilError(t, err)
	uptime := time.Duration(seconds * float64(time.Second))
	// The file has two decimal digits and is truncated, not rounded.
	const digit = 10 * time.Millisecond
	assert.Assert(t, uptime > before-2*digit && uptime < after+2*digit, "%v is not between %v and %v", uptime, before, after)
}

// Guards against a right without an end that looks expired, because its conversion overflows.
func TestNeverIsNeverInBootTimeToo(t *testing.T) {
	assert.Equal(t, BootTime(&Manual{}, math.MaxInt64), time.Duration(math.MaxInt64))
}
