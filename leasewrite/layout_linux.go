//go:build amd64 || arm64

package leasewrite

import (
	"bytes"
	"encoding/binary"
	"sync"
	"unsafe"

	"github.com/pkg/errors"
)

// sequenceLayout is the kernel's struct rseq_cs; see include/uapi/linux/rseq.h.
type sequenceLayout struct {
	_      [2]uint32 // version, flags
	start  unsafe.Pointer
	length uint64
	abort  unsafe.Pointer
}

// descriptor returns the layout of the sequence in sendIfRecent.
func descriptor() *sequenceLayout

// layoutError returns why the sequence must not be used, or nil. Its layout is written down in
// assembly and holds only as long as the assembler encodes the instructions as it did then.
var layoutError = sync.OnceValue(func() error { return descriptor().check() })

func (l *sequenceLayout) check() error {
	end := unsafe.Add(l.start, l.length)
	if !bytes.Equal(codeBefore(end, len(systemCall)), systemCall) {
		return errors.New("leasewrite: the sequence does not end with the system call")
	}
	if binary.NativeEndian.Uint32(codeBefore(l.abort, 4)) != rseqSignature {
		return errors.New("leasewrite: the abort handler has no signature")
	}
	return nil
}

func codeBefore(p unsafe.Pointer, n int) []byte {
	return unsafe.Slice((*byte)(unsafe.Add(p, -n)), n)
}
