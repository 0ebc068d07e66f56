// Package clock reads the time that leases are measured with.
package clock

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock since an arbitrary start.
type Clock interface {
	Now() time.Duration
}

// Boot is the monotonic clock that goes on while the VM is suspended.
//
// Go's own monotonic reading stops during a suspension, so a lease measured
// with it would still look valid on a VM that was suspended past its end, and
// two routers would act on the same lease. CLOCK_BOOTTIME counts the suspension.
type Boot struct{}

// Now returns the time since the VM started.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	// unix.ClockGettime would announce a call that may block, and with each first one
	// after a rest wake the thread by which the runtime watches for such calls.
	_, _, failed := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&ts)), 0)
	if failed != 0 {
		// The call only fails for an unknown clock, which no supported kernel reports.
		panic("clock: CLOCK_BOOTTIME is not available: " + failed.Error())
	}
	return time.Duration(ts.Nano())
}

// BootTime converts a time of c to one of Boot. A suspension between the readings of the two
// clocks makes it earlier.
func BootTime(c Clock, at time.Duration) time.Duration {
	boot := Boot{}.Now()
	return boot + at - c.Now()
}
