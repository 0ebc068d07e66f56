package linkbudget

import "time"

// Line gives messages that are due at the same moment their turns one after the other, so that they don't fill the queue of
// the link, in which others would wait behind them. A nil Line lets each go at once. It is not safe for concurrent use.
type Line struct {
	bytesPerSecond float64
	// longest is the longest wait for a turn.
	longest time.Duration
	// free is when the messages so far have been sent.
	free time.Time
}

// NewLine returns a line for a part of a link, in bytes per second, in which no message waits for longer than a time. It
// returns nil if the rate of the link is unknown.
func NewLine(bytesPerSecond float64, longest time.Duration) *Line {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Line{bytesPerSecond: bytesPerSecond, longest: longest}
}

// Turn returns for how long a message of a length in bytes has to wait.
func (l *Line) Turn(now time.Time, bytes int) time.Duration {
	if l == nil {
		return 0
	}
	if l.free.Before(now) {
		l.free = now
	}
	wait := min(l.free.Sub(now), l.longest)
	l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	if latest := now.Add(l.longest); l.free.After(latest) {
		l.free = latest // those that didn't wait in full are not held against later ones
	}
	return wait
}
