// Package patch encodes a value as a delta against an older one, the base: runs of bytes that
// are copied from the base, and literal bytes. It does not interpret the values, so that a
// router can also relay values in a format that only a newer release understands. The encoding
// is deterministic.
package patch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// blockSize is the length in bytes of the blocks of base that Make looks for in next. Runs shorter
// than a block are encoded as literals, because a copy step alone takes up to a dozen bytes.
const blockSize = 32

// Errors of Apply.
var (
	// ErrDamaged means that the patch is malformed or refers to bytes outside of its base.
	ErrDamaged = errors.New("patch: damaged")
	// ErrTooLarge means that the value would be longer than the limit.
	ErrTooLarge = errors.New("patch: the value is too large")
)

// Sum returns the checksum of a value. Compare the checksum of Apply's result with that of the
// value that the patch was made from.
func Sum(value []byte) uint64 { return xxhash.Sum64(value) }

// Make returns the patch that turns base into next. It consists of the length of next and a
// sequence of steps. A step starts with a varint: twice its number of bytes, plus one for a
// literal. The bytes of a literal follow; a copy is followed by the distance of its start in
// base from the end of the previous copy.
func Make(base, next []byte) []byte {
	e := encoder{base: base, next: next, blockOffsets: indexBlocks(base), out: binary.AppendUvarint(nil, uint64(len(next)))}
	e.run()
	return e.out
}

// encoder builds a patch.
type encoder struct {
	base, next []byte
	// blockOffsets are the offsets of base's blocks, by the blocks' hash.
	blockOffsets map[uint32]int
	out          []byte
	// encoded is the length of the part of next that is already encoded; copyEnd is the end in
	// base of the last copy.
	encoded, copyEnd int
}

// indexBlocks returns the offsets of base's blocks by the blocks' hash. Of blocks with the same
// hash it keeps the first.
func indexBlocks(base []byte) map[uint32]int {
	offsets := make(map[uint32]int, len(base)/blockSize)
	for pos := 0; pos+blockSize <= len(base); pos += blockSize {
		h := blockHash(base[pos : pos+blockSize])
		if _, known := offsets[h]; !known {
			offsets[h] = pos
		}
	}
	return offsets
}

// hashFactor is the multiplier of the rolling hash. A byte that leaves the window is
// subtracted with the multiplier outgoingFactor.
const hashFactor = 0x01000193

var outgoingFactor = func() uint32 {
	power := uint32(1)
	for range blockSize {
		power *= hashFactor
	}
	return power
}()

func blockHash(b []byte) uint32 {
	var h uint32
	for _, c := range b {
		h = h*hashFactor + uint32(c)
	}
	return h
}

// run looks for blocks of base at every offset of next.
func (e *encoder) run() {
	pos, h, valid := 0, uint32(0), false
	for pos+blockSize <= len(e.next) {
		if !valid {
			h, valid = blockHash(e.next[pos:pos+blockSize]), true
		}
		if from, ok := e.blockOffsets[h]; ok && string(e.base[from:from+blockSize]) == string(e.next[pos:pos+blockSize]) {
			pos, valid = e.emitCopy(from, pos), false
			continue
		}
		if pos+blockSize < len(e.next) {
			h = h*hashFactor + uint32(e.next[pos+blockSize]) - outgoingFactor*uint32(e.next[pos])
		}
		pos++
	}
	e.emitLiteral(len(e.next))
}

// emitCopy takes the block that is common to base, at offset from, and next, at offset pos. It
// extends the block to the longest common run, encodes the run as a copy, and returns the run's
// end in next.
func (e *encoder) emitCopy(from, pos int) int {
	for pos > e.encoded && from > 0 && e.base[from-1] == e.next[pos-1] {
		pos, from = pos-1, from-1
	}
	n := blockSize
	for pos+n < len(e.next) && from+n < len(e.base) && e.base[from+n] == e.next[pos+n] {
		n++
	}
	e.emitLiteral(pos)
	e.out = binary.AppendUvarint(e.out, uint64(n)<<1)
	e.out = binary.AppendVarint(e.out, int64(from-e.copyEnd))
	e.copyEnd, e.encoded = from+n, pos+n
	return e.encoded
}

// emitLiteral encodes as a literal the bytes of next before pos that are not encoded yet.
func (e *encoder) emitLiteral(pos int) {
	if pos == e.encoded {
		return
	}
	e.out = binary.AppendUvarint(e.out, uint64(pos-e.encoded)<<1|1)
	e.out = append(e.out, e.next[e.encoded:pos]...)
	e.encoded = pos
}

// Apply returns the value that the patch makes from base, of at most limit bytes. It can't
// detect a wrong base; compare the checksum of the result, see Sum.
func Apply(base, patch []byte, limit int) ([]byte, error) {
	size, n := binary.Uvarint(patch)
	if n <= 0 {
		return nil, ErrDamaged
	}
	if size > uint64(limit) {
		return nil, ErrTooLarge
	}
	// The capacity is bounded, so that a damaged length does not allocate too much memory.
	out := make([]byte, 0, min(size, uint64(len(base)+len(patch))))
	rest, copyEnd := patch[n:], 0
	for len(rest) > 0 {
		var run []byte
		var err error
		if run, rest, copyEnd, err = decodeStep(base, rest, copyEnd); err != nil {
			return nil, err
		}
		if uint64(len(run)) > size-uint64(len(out)) {
			return nil, ErrDamaged
		}
		out = append(out, run...)
	}
	if uint64(len(out)) != size {
		return nil, ErrDamaged
	}
	return out, nil
}

// decodeStep reads one step. It returns the bytes that the step adds, the rest of the patch, and
// the end in base of the last copy.
func decodeStep(base, patch []byte, copyEnd int) (run, rest []byte, end int, err error) {
	head, n := binary.Uvarint(patch)
	if n <= 0 || head < 2 {
		return nil, nil, 0, ErrDamaged
	}
	patch = patch[n:]
	length := head >> 1
	if head&1 == 1 {
		if length > uint64(len(patch)) {
			return nil, nil, 0, ErrDamaged
		}
		return patch[:length], patch[length:], copyEnd, nil
	}
	distance, n := binary.Varint(patch)
	from := int64(copyEnd) + distance
	if n <= 0 || from < 0 || from > int64(len(base)) || length > uint64(int64(len(base))-from) {
		return nil, nil, 0, ErrDamaged
	}
	end = int(from) + int(length)
	return base[from:end], patch[n:], end, nil
}
