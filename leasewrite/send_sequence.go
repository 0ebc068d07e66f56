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

// sendBefore makes one system call, or none once until has passed.
func sendBefore(fd uintptr, b []byte, until time.Duration) (int, error) {
	if !supported() {
		return lookAndSend(fd, b, until)
	}
	n := C.leasewrite_send_before(C.int(fd), unsafe.Pointer(&b[0]), C.size_t(len(b)), C.int64_t(until))
	switch {
	case n >= 0:
		return int(n), nil
	case n == C.LEASEWRITE_LAPSED:
		return 0, ErrLapsed
	case n == C.LEASEWRITE_INTERRUPTED:
		return 0, ErrInterrupted
	}
	return 0, syscall.Errno(-n)
}

// clockSourceFile names the clock that the kernel uses; the vDSO serves vdsoSources.
const clockSourceFile = "/sys/devices/system/clocksource/clocksource0/current_clocksource"

var vdsoSources = []string{"tsc", "kvm-clock", "hyperv_clocksource_tsc_page"}

// Check returns an error that says why a suspension may fall between the clock and the system
// call here, or nil.
func Check() error {
	if !supported() {
		return ErrUnsupported
	}
	source, err := os.ReadFile(clockSourceFile)
	if err != nil {
		return errors.Wrap(err, "leasewrite: the kernel's clock is not known")
	}
	if name := strings.TrimSpace(string(source)); !slices.Contains(vdsoSources, name) {
		return errors.Errorf("leasewrite: the vDSO does not serve the kernel's clock %s", name)
	}
	return nil
}
