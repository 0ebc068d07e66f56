package dispatch

import (
	"math"
	"time"
)

const (
	// typicalMemory is the time constant of the mean of reports.
	typicalMemory = time.Second
	// knownTime is the time constant with which what a report said of its target gives way to what the reports of all
	// targets say.
	knownTime = time.Second
	// fewReports is the number of reports that tell half of what many do.
	fewReports = 2.0
)

// typicalWork is the mean work of other routers at a target of the service, by the reports of all targets that this
// router has heard.
//
// Among hundreds of targets a router hears from each once in many seconds, and from some never. As long as those count
// as empty, all routers send to them at once when the targets that they know fill up, as in a burst beside the loss of
// a data centre: 365 of 565 requests in one second went to targets of which the sender had heard nothing, which
// were as full as all others.
type typicalWork struct {
	// perSlot is the mean work per slot, of reports with the weight that is left as of at.
	perSlot, weight float64
	at              time.Time
}

// record adds a report of other routers' work.
func (w *typicalWork) record(now time.Time, perSlot float64) {
	w.weight = w.weightAt(now) + 1
	w.perSlot += (perSlot - w.perSlot) / w.weight
	w.at = now
}

func (w *typicalWork) weightAt(now time.Time) float64 {
	if w.weight == 0 {
		return 0
	}
	return w.weight * math.Exp(-max(now.Sub(w.at), 0).Seconds()/typicalMemory.Seconds())
}

// estimate returns the work of other routers at a target with the slots, of which a report said own at reportedAt; the
// zero time means that there was none.
func (w *typicalWork) estimate(now time.Time, own, slots float64, reportedAt time.Time) float64 {
	if w == nil || w.weight == 0 {
		return own
	}
	trust := 0.0
	if !reportedAt.IsZero() {
		trust = math.Exp(-now.Sub(reportedAt).Seconds() / knownTime.Seconds())
	}
	weight := w.weightAt(now)
	shift := (1 - trust) * weight / (weight + fewReports)
	return own + (w.perSlot*slots-own)*shift
}
