package clock

import (
	"sync/atomic"
	"time"
)

// Manual is a clock that tests set by hand.
type Manual struct {
	now atomic.Int64
}

// Now returns the time that the clock was advanced to.
func (m *Manual) Now() time.Duration { return time.Duration(m.now.Load()) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) { m.now.Add(int64(d)) }
