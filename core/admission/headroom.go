package admission

const (
	// targetWaitShare is the fraction of interactive offers that may wait because of batch
	// work.
	targetWaitShare = 0.25
	// headroomStep is the number of slots by which one such wait widens the headroom.
	headroomStep = 0.1
)

// headroom is the number of slots that batch work beyond its share leaves free. A fixed
// number is too small when interactive work uses most slots, since one more long batch
// job then makes people wait, and too large when interactive work is rare. Waits caused
// by batch work widen the headroom and offers without such a wait narrow it, so that it
// settles where targetWaitShare of the offers wait.
type headroom struct {
	minimum int
	slots   float64
}

// observe records an interactive offer and whether batch work made it wait.
func (h *headroom) observe(waits bool, limit int) {
	if waits {
		h.slots += headroomStep
	} else {
		h.slots -= headroomStep * targetWaitShare / (1 - targetWaitShare)
	}
	h.slots = max(min(h.slots, float64(limit-1)), float64(h.minimum))
}

// width returns the headroom in whole slots; one slot of limit always remains for batch
// work.
func (h *headroom) width(limit int) int {
	return max(min(int(h.slots+0.5), limit-1), 0)
}
