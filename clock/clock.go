// Package clock provides the clock by which leases are measured.
package clock

import (
	"math"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that counts from an arbitrary start.
type Clock interface {
	Now() time.Duration
}

// Boot is the monotonic clock that keeps running while the VM is suspended.
//
// Go's own monotonic clock stops during a suspension. A lease measured with it would still
// look valid on a VM that was suspended past the lease's end, and two routers would act on the
// same lease. CLOCK_BOOTTIME includes suspensions.
type Boot struct{}

// Now returns the time since the VM started.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	// unix.ClockGettime would tell the runtime that the call may block, and the first such
	// call after an idle period wakes the thread that monitors blocking calls.
	_, _, failed := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&ts)), 0)
	if failed != 0 {
		// The call fails only for an unknown clock, and every supported kernel has this one.
		panic("clock: CLOCK_BOOTTIME is not available: " + failed.Error())
	}
	return time.Duration(ts.Nano())
}

// BootTime converts a time of c to a time of Boot. If the VM is suspended between the readings
// of the two clocks, the result is earlier. math.MaxInt64 stands for never and stays so.
func BootTime(c Clock, at time.Duration) time.Duration {
	if at == math.MaxInt64 {
		return at
	}
	boot := Boot{}.Now()
	return boot + at - c.Now()
}
