// Package syncbuffer provides a buffer that a log or a command writes to while a test
// reads it.
package syncbuffer

import (
	"bytes"
	"sync"
)

// Buffer is an io.Writer that is safe for concurrent use. Its zero value is an empty buffer
// ready to use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p; it returns no error.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all text written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
