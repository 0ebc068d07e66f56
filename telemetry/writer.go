package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// defaultBufferedLines is the default number of lines that are buffered while the output is
// slow.
const defaultBufferedLines = 1024

// Writer forwards lines to an output without blocking the goroutine that logs them.
//
// An output may block forever: a pipe whose reader hangs, a full terminal buffer. If the
// log were written to it directly, the first goroutine that logs would block, and with it
// the renewal of grants: the router would be alive but do nothing. Writer drops lines
// instead and counts them; Dropped should be exported as a metric.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a new Writer that buffers up to lines lines; zero means 1024. Close
// stops it.
func NewWriter(output io.Writer, lines int) *Writer {
	if lines <= 0 {
		lines = defaultBufferedLines
	}
	w := &Writer{
		output: output,
		lines:  make(chan []byte, lines),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that have been dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. It returns false if the output
// has not taken them within timeout.
func (w *Writer) Close(timeout time.Duration) bool {
	w.once.Do(func() { close(w.stop) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return true
	case <-timer.C:
		return false
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.writeRemaining()
			return
		}
	}
}

func (w *Writer) writeRemaining() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write ignores errors, because there is no other place to report them.
func (w *Writer) write(line []byte) { _, _ = w.output.Write(line) }
