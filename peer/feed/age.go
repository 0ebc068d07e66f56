package feed

import (
	"time"

	"tarragongw/peer/feedpb"
)

// ageEstimator estimates how old the leader's configuration is when an update arrives, although the clocks of
// the two routers differ by an unknown offset.
type ageEstimator struct {
	// began is when this router began to connect; no update was sent before.
	began time.Duration
	// minOffset is the least difference between an arrival and when the update was sent: that of an update
	// that was hardly delayed on its way.
	minOffset time.Duration
	known     bool
}

// age returns the age of the configuration at the arrival of an update, by this router's clock; false if the
// leader doesn't say.
func (e *ageEstimator) age(arrived time.Duration, p *feedpb.Update) (time.Duration, bool) {
	if p.GetSentMs() == 0 || p.GetConfigConfirmedMs() == 0 {
		return 0, false
	}
	sent, confirmed := time.Duration(p.GetSentMs())*time.Millisecond, time.Duration(p.GetConfigConfirmedMs())*time.Millisecond
	offset, delay := arrived-sent, arrived-e.began
	if e.known {
		delay = max(offset-e.minOffset, 0)
	}
	if !e.known || offset < e.minOffset {
		e.minOffset, e.known = offset, true
	}
	return max(sent-confirmed, 0) + delay, true
}
