//go:build cgo && linux && amd64

package leasewrite

// #include "sequence_linux_amd64.h"
import "C"

import (
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"
)

var supported = sync.OnceValue(func() bool { return C.leasewrite_supported() != 0 })

// sendBefore sends b with one system call, or makes none if clock.Boot has reached expiry.
func sendBefore(fd uintptr, b []byte, expiry time.Duration) (int, error) {
	if !supported() {
		return checkAndSend(fd, b, expiry)
	}
	n := C.leasewrite_send_before(C.int(fd), unsafe.Pointer(&b[0]), C.size_t(len(b)), C.int64_t(expiry))
	switch {
	case n >= 0:
		return int(n), nil
	case n == C.LEASEWRITE_LAPSED:
		return 0, ErrExpired
	case n == C.LEASEWRITE_INTERRUPTED:
		return 0, ErrInterrupted
	}
	return 0, syscall.Errno(-n)
}

// clockSourceFile holds the name of the kernel's current clock source. The vDSO can read
// only those in vdsoSources; for any other, reading the clock is a system call.
const clockSourceFile = "/sys/devices/system/clocksource/clocksource0/current_clocksource"

var vdsoSources = []string{"tsc", "kvm-clock", "hyperv_clocksource_tsc_page"}

// Check returns nil if Write is protected against a suspension between the clock check and
// the system call, and otherwise an error that says why it is not.
func Check() error {
	if !supported() {
		return ErrUnsupported
	}
	source, err := os.ReadFile(clockSourceFile)
	if err != nil {
		return errors.Wrap(err, "leasewrite: reading the kernel's clock source")
	}
	if name := strings.TrimSpace(string(source)); !slices.Contains(vdsoSources, name) {
		return errors.Errorf("leasewrite: the vDSO does not support the kernel's clock source %s", name)
	}
	return nil
}
