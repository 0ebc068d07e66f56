package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"tarragongw/core/ownership"
	"tarragongw/core/routing"
	"tarragongw/eventlog"
)

// countBegun answers with the units that have requests in flight at the target, and follows each
// of them to its end.
func (o *ownerDuty) countBegun(a ownership.CountBegun) {
	counted := ownership.BegunCounted{Target: a.Target, Sequence: a.Sequence}
	u := o.r.upstreams.settled(a.Target)
	if u == nil {
		o.duty.TellLater(counted)
		return
	}
	counted.Units = u.flights.units()
	go func() {
		o.duty.Tell(counted) // before the first end
		u.flights.follow(a.Sequence, counted.Units, func(unit routing.Unit) {
			o.duty.TellLater(ownership.BegunEnded{Target: a.Target, Sequence: a.Sequence, Unit: unit})
		})
	}()
}

func (o *ownerDuty) cancelBegun(a ownership.CancelBegun) {
	if u := o.r.upstreams.settled(a.Target); u != nil {
		u.flights.cutWhere(a.Units.Contains)
	}
}

// formerWaits measures how long moves wait for requests that former grantors had begun.
type formerWaits struct {
	waited  tally.Counter
	waiting tally.Gauge
	units   int
}

func newFormerWaits(r *Router) formerWaits {
	return formerWaits{
		waited:  r.tel.Scope().Counter("former_grantor_wait_milliseconds_total"),
		waiting: r.tel.Scope().Gauge("units_awaiting_former_grantor"),
	}
}

func (w *formerWaits) take(a ownership.Report) {
	switch a.Kind {
	case ownership.AwaitingFormer:
		w.units += len(a.Units)
	case ownership.FormerAwaited:
		w.units -= len(a.Units)
		w.waited.Inc(a.Waited.Milliseconds())
	default:
		return
	}
	w.waiting.Update(float64(w.units))
}

// reportFields are the fields of the event about a report.
func reportFields(a ownership.Report) []eventlog.Field {
	fields := []eventlog.Field{eventlog.F("term", uintText(a.Term)), eventlog.F("report", a.Kind.String())}
	if a.Router != "" {
		fields = append(fields, eventlog.F("former", a.Router))
	}
	if len(a.Units) > 0 {
		fields = append(fields, eventlog.F("units", uintText(uint64(len(a.Units)))))
	}
	for _, unit := range a.Units[:min(len(a.Units), maxUnitsNamed)] {
		fields = append(fields, eventlog.F("unit", unit.String()))
	}
	if a.Waited > 0 {
		fields = append(fields, eventlog.F("waited", a.Waited.Round(time.Millisecond).String()))
	}
	if a.Ends > 0 {
		fields = append(fields, eventlog.F("ends_within", a.Ends.Round(time.Millisecond).String()))
	}
	return fields
}
