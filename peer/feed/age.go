package feed

import (
	"time"

	"github.com/pkg/errors"

	"tarragongw/peer/feedpb"
)

const (
	// maxStartDelay is how much longer the first update of a connection may have been on its way than the fastest of the
	// next startUpdates, before the follower connects again: that much is added to the age of all.
	maxStartDelay = 400 * time.Millisecond
	startUpdates  = 8
)

// errSlowStart ends a feed whose first update took so long that nothing it brings counts as recent.
var errSlowStart = errors.New("feed: the first update was delayed")

// ageEstimator bounds how old the leader's state is when an update arrives, although the clocks of the two routers
// differ by an unknown offset: no update was sent before the connection began.
type ageEstimator struct {
	// began is when this router began to connect.
	began time.Duration
	// minOffset is the least possible difference between the arrival of an update and when it was sent, each by the clock of
	// its router: the first update was not sent before began. fastest is the least difference that was seen.
	minOffset, fastest time.Duration
	updates            int
}

// age returns the age of the leader's state at the arrival of an update, by this router's clock, or more; false if the
// leader doesn't say.
func (e *ageEstimator) age(arrived time.Duration, p *feedpb.Update) (time.Duration, bool) {
	if p.GetSentMs() == 0 || p.GetConfigConfirmedMs() == 0 {
		return 0, false
	}
	sent, confirmed := time.Duration(p.GetSentMs())*time.Millisecond, time.Duration(p.GetConfigConfirmedMs())*time.Millisecond
	offset := arrived - sent
	if e.updates == 0 {
		e.minOffset, e.fastest = e.began-sent, offset
	}
	e.updates++
	e.fastest = min(e.fastest, offset)
	e.minOffset = min(e.minOffset, offset) // the clocks have drifted
	return max(sent-confirmed, 0) + offset - e.minOffset, true
}

// errIfUncertain returns errSlowStart if the updates would count as much more recent on another connection.
func (e *ageEstimator) errIfUncertain() error {
	if e.updates >= startUpdates && e.fastest-e.minOffset > maxStartDelay {
		return errSlowStart
	}
	return nil
}
