package replay

import (
	"io"
	"slices"
)

// Head returns a copy of the first n bytes of the body, or of the whole body if that is shorter. It
// returns false if fewer bytes have been read so far, or if they are no longer kept.
func (b *Body) Head(n int) ([]byte, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.kept
	if b.keptFrom > 0 {
		kept = b.head
	}
	whole := b.keptFrom == 0 && (b.sourceErr == io.EOF || int64(len(kept)) == b.length)
	if len(kept) < n && !whole {
		return nil, false
	}
	return slices.Clone(kept[:min(n, len(kept))]), true
}

// dropKept stops keeping bytes once more than maxKept were read, up to the offset end; the caller
// holds the lock. The first ones stay for Head.
func (b *Body) dropKept(end int64) {
	if b.keptFrom == 0 {
		b.head = slices.Clone(b.kept[:min(len(b.kept), maxHead)])
	}
	b.keptFrom, b.kept = end, nil
}

// maxHead is how many bytes of a body that is longer than what is kept remain available to Head.
const maxHead = 16 << 10
