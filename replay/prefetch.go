package replay

// PrefetchChunk is how much is read at once.
const PrefetchChunk = 4 << 10

// Prefetch reads the source up to an offset and keeps what it read.
func (b *Body) Prefetch(want int64) error {
	// Nobody reads through this attempt, so all that it reads is kept for the others.
	reader := &Attempt{all: b}
	chunk := make([]byte, min(want, PrefetchChunk))
	for {
		end, err := b.extent()
		if err != nil || end >= want {
			return err
		}
		reader.fill(chunk[:min(want-end, int64(len(chunk)))], end)
	}
}

// extent returns the offset up to which the source was read, and what ended it.
func (b *Body) extent() (end int64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + int64(len(b.kept)), b.err
}
