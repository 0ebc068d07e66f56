package replay

// PrefetchChunk is the number of bytes read at a time.
const PrefetchChunk = 4 << 10

// Prefetch reads the source up to the given offset and buffers the bytes.
func (b *Body) Prefetch(offset int64) error {
	// This attempt is never the current one, so that everything it reads is buffered for the
	// others.
	reader := &Attempt{body: b}
	chunk := make([]byte, min(offset, PrefetchChunk))
	for {
		end, err := b.extent()
		if err != nil || end >= offset {
			return err
		}
		reader.readSource(chunk[:min(offset-end, int64(len(chunk)))], end)
	}
}

// extent returns the offset up to which the source was read, and the error that ended it.
func (b *Body) extent() (end int64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keptFrom + int64(len(b.kept)), b.sourceErr
}
