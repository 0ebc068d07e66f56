//go:build amd64 || arm64

package leasewrite

import (
	"sync"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"tarragongw/leasewrite/libcrseq"
)

// The layout of the kernel's struct rseq and the flag that ends a registration; see
// include/uapi/linux/rseq.h.
const (
	areaBytes       = 32
	areaAlignment   = 32
	areaArmedOffset = 8
	unregisterFlag  = 1
)

// area is the memory through which the kernel learns which restartable sequence the current
// thread is in.
type area struct {
	// own has room for an area of our own and for its alignment.
	own [areaBytes + areaAlignment]byte
	// fromLibc is the area that the C library has registered for the thread, or nil.
	fromLibc unsafe.Pointer
	// err is why the thread has no registered area, or nil.
	err error
}

var areas = sync.Pool{New: func() any { return new(area) }}

// acquireArea returns an area for the current thread, to which the caller must be locked until
// it has released the area. If none can be registered, err is set, and the memory may be used
// all the same, without effect.
//
// An area of our own is registered for one write only: nothing then depends on when threads
// end, and other code may register areas in between.
func acquireArea() *area {
	a := areas.Get().(*area)
	a.fromLibc, a.err = libcrseq.Area(), layoutError()
	if a.fromLibc == nil && a.err == nil {
		a.err = a.register(0)
	}
	return a
}

// release ends the registration.
func (a *area) release() {
	if a.fromLibc == nil && a.err == nil {
		if err := a.register(unregisterFlag); err != nil {
			// The kernel would continue to write to this memory after it has been freed.
			panic(errors.Wrap(err, "leasewrite: ending the registration of a restartable sequence"))
		}
	}
	areas.Put(a)
}

func (a *area) register(flags uintptr) error {
	_, _, errno := unix.RawSyscall6(unix.SYS_RSEQ, uintptr(a.aligned()), areaBytes, flags, rseqSignature, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

func (a *area) aligned() unsafe.Pointer {
	p := unsafe.Pointer(&a.own)
	return unsafe.Add(p, -uintptr(p)&(areaAlignment-1))
}

// armed returns the field that holds the address of the sequence that the thread is in.
func (a *area) armed() *uint64 {
	start := a.fromLibc
	if start == nil || a.err != nil {
		start = a.aligned()
	}
	return (*uint64)(unsafe.Add(start, areaArmedOffset))
}

func (a *area) countSend() {
	if a.err == nil {
		protectedSends.Add(1)
	} else {
		unprotectedSends.Add(1)
	}
}
