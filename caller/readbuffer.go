package caller

import "time"

// readBuffer holds bytes that were read from a connection and are not used yet, and when they arrived.
type readBuffer struct {
	data []byte
	// used is how many bytes of data were used.
	used int
	// reads are the reads that the unused bytes came with, oldest first.
	reads []connRead
}

// connRead is one read from a connection.
type connRead struct {
	// end is the number of bytes in data up to and including its last one.
	end       int
	arrivedAt time.Time
}

// unused returns the bytes that were not used.
func (b *readBuffer) unused() []byte { return b.data[b.used:] }

func (b *readBuffer) add(data []byte, arrivedAt time.Time) {
	if len(data) == 0 {
		return
	}
	b.data = append(b.data, data...)
	b.reads = append(b.reads, connRead{len(b.data), arrivedAt})
}

// arrivalOf returns when the last of the next n bytes arrived, of which there must be so many.
func (b *readBuffer) arrivalOf(n int) time.Time {
	i := 0
	for b.reads[i].end < b.used+n {
		i++
	}
	return b.reads[i].arrivedAt
}

// ofOneRead returns how many of the next bytes came with one read.
func (b *readBuffer) ofOneRead() int { return b.reads[0].end - b.used }

// take moves the next bytes to dst and returns how many.
func (b *readBuffer) take(dst []byte) int {
	n := copy(dst, b.unused())
	b.used += n
	if b.used == len(b.data) {
		b.data, b.reads, b.used = b.data[:0], b.reads[:0], 0
		if cap(b.data) > pipelineReadBytes {
			b.data = nil // idle connections keep little memory
		}
		return n
	}
	for b.reads[0].end <= b.used {
		b.reads = b.reads[1:]
	}
	return n
}
