package router

import (
	"cmp"
	"slices"

	"tarragongw/core/ownership"
	"tarragongw/eventlog"
)

// maxUnitsNamed bounds the units that one event about several names.
const maxUnitsNamed = 8

// transfer is what an assignment moves, by service and both ends.
type transfer struct {
	service, from, to string
}

// recordAssigned writes one event for all units that went the same way in one
// step; a target's loss moves hundreds of units at once.
func (o *ownerDuty) recordAssigned(actions []ownership.Action) {
	groups := make(map[transfer][]ownership.Assigned)
	for _, action := range actions {
		if a, ok := action.(ownership.Assigned); ok {
			t := transfer{a.Unit.Service, a.From, a.To}
			groups[t] = append(groups[t], a)
		}
	}
	for _, t := range sortedTransfers(groups) {
		if t.from != "" {
			o.r.past.countMoves(t.service, len(groups[t]))
		}
		o.r.journal.Record(assignedEvent(t, groups[t]))
	}
}

func sortedTransfers(groups map[transfer][]ownership.Assigned) []transfer {
	out := make([]transfer, 0, len(groups))
	for t := range groups {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b transfer) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	return out
}

func assignedEvent(t transfer, all []ownership.Assigned) eventlog.Event {
	e := eventlog.Event{
		Kind:    eventlog.OwnerChanged,
		Cause:   "the assignment is durable",
		Service: t.service,
		Target:  t.to,
		Fields:  []eventlog.Field{eventlog.F("from", t.from), eventlog.F("units", uintText(uint64(len(all))))},
	}
	if len(all) == 1 {
		e.Unit = all[0].Unit.String()
		e.Fields = append(e.Fields, eventlog.F("token", uintText(all[0].Token)))
		return e
	}
	for _, a := range all[:min(len(all), maxUnitsNamed)] {
		e.Fields = append(e.Fields, eventlog.F("unit", a.Unit.String()))
	}
	return e
}
