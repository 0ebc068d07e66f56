// Package procuse tells what this process uses, for measurements.
package procuse

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// CPU returns the processor time that this process has used, in user and kernel mode.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call only fails for a wrong argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Resident reads the bytes of the resident set from /proc; zero where there is none.
func Resident() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}
