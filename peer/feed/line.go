package feed

import (
	"context"
	"sync"
	"time"

	"tarragongw/core/linkbudget"
)

const (
	// minLinedSize is the length in bytes from which a frame waits for its turn: shorter ones, such as heartbeats, take
	// hardly any of the link.
	minLinedSize = 256
	// minLineWait is the shortest wait that is worth one.
	minLineWait = 2 * time.Millisecond
	// maxLineWait is the longest wait. With a heartbeat's time, and that of whatever did not fit into the line, it stays
	// below silenceTimeout.
	maxLineWait = 200 * time.Millisecond
)

// Line spaces the frames for followers on this router's link. A nil Line doesn't. It is safe for concurrent use.
type Line struct {
	mu   sync.Mutex
	line *linkbudget.Line
}

// NewLine returns a line for a part of the link, in bytes per second; nil if that is zero, which means unknown.
func NewLine(bytesPerSecond float64) *Line {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Line{line: linkbudget.NewLine(bytesPerSecond, maxLineWait)}
}

// wait waits for the turn of a frame of a length in bytes, and reports whether it took time.
func (l *Line) wait(ctx context.Context, bytes int) bool {
	if l == nil || bytes < minLinedSize {
		return false
	}
	l.mu.Lock()
	wait := l.line.Turn(time.Now(), bytes)
	l.mu.Unlock()
	if wait < minLineWait {
		return false
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return true
}
