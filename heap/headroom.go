package heap

import "time"

const (
	// minHeadroom is the smallest headroom of Go itself, so that an idle router uses no more
	// memory than without pacing.
	minHeadroom = 4 << 20
	// maxHeadroom bounds the memory that pacing adds. With a larger live heap the
	// collector's default, as much garbage as is live, allows more anyway.
	maxHeadroom = 64 << 20
	// defaultPercent is the collector's default and the lowest percentage that is set.
	defaultPercent = 100
	// The headroom grows if the time between two collections is below busyInterval, and
	// shrinks if it is above idleInterval.
	busyInterval = 500 * time.Millisecond
	idleInterval = 5 * time.Second
	// toleranceDivisor sets the tolerance: the percentage in force may differ from the
	// wanted one by 1/toleranceDivisor of itself, because setting it stops the world.
	toleranceDivisor = 4
	// minLive is the smallest live heap, in bytes, from which the percentage is computed.
	minLive = 1 << 20
)

// headroom decides how much garbage may accumulate between two collections.
type headroom struct {
	// bytes is the garbage currently allowed.
	bytes int64
	// percent is the percentage that was set last.
	percent int
}

func newHeadroom() headroom { return headroom{bytes: minHeadroom, percent: defaultPercent} }

// collected records a collection that left live bytes, sinceLast after the previous one.
// It returns the percentage to use from now on and whether it has changed.
func (h *headroom) collected(sinceLast time.Duration, live int64) (percent int, changed bool) {
	switch {
	case sinceLast < busyInterval:
		h.bytes = min(2*h.bytes, maxHeadroom)
	case sinceLast > idleInterval:
		h.bytes = max(h.bytes/2, minHeadroom)
	}
	want := max(int(100*h.bytes/max(live, minLive)), defaultPercent)
	off := max(want-h.percent, h.percent-want)
	if off*toleranceDivisor <= h.percent && (want != defaultPercent || off == 0) {
		return h.percent, false
	}
	h.percent = want
	return want, true
}
