package main

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"tarragongw/eventlog"
)

// mergedEvent is an event that one or more routers recorded.
type mergedEvent struct {
	eventlog.Event
	// Routers are those that recorded the event, Targets those that it concerns; Count is
	// the number of records.
	Routers, Targets []string
	Count            int
	// Units is the sum of the units fields of all records; zero if they have no such field.
	Units int
}

// sameEventWindow is the time after the first record within which equal records count as
// the same event: the loss of a router changes the grantors of many targets, and other
// routers record it too.
const sameEventWindow = 3 * time.Second

// fieldUnits is the field of an event that counts units.
const fieldUnits = "units"

// record is an event with the router that recorded it.
type record struct {
	recorder string
	eventlog.Event
}

// eventKey holds the fields that records of the same event have in common.
type eventKey struct {
	kind                   eventlog.Kind
	cause, service, router string
}

// mergeEvents returns the routers' events in order of time, with records of the same
// event merged into one.
func mergeEvents(answers []routerAnswer[routerReport]) []*mergedEvent {
	last := make(map[eventKey]*mergedEvent)
	var out []*mergedEvent
	for _, r := range sortedRecords(answers) {
		key := eventKey{r.Kind, r.Cause, r.Service, r.about()}
		m := last[key]
		if m == nil || r.Time.Sub(m.Time) > sameEventWindow {
			m = &mergedEvent{Event: r.Event}
			last[key] = m
			out = append(out, m)
		}
		m.add(&r)
	}
	return out
}

func sortedRecords(answers []routerAnswer[routerReport]) []record {
	var all []record
	for i := range answers {
		page := answers[i].Answer.Events
		if page == nil {
			continue
		}
		for _, e := range page.Events {
			all = append(all, record{answers[i].Router, e})
		}
	}
	slices.SortStableFunc(all, func(a, b record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.recorder, b.recorder))
	})
	return all
}

// about returns the router that the event is about, or the empty string if that is the
// router that recorded it.
func (r *record) about() string {
	if r.Router == r.recorder {
		return ""
	}
	return r.Router
}

func (m *mergedEvent) add(r *record) {
	m.Count++
	m.Routers = addName(m.Routers, r.recorder)
	m.Targets = addName(m.Targets, r.Target)
	for _, f := range r.Fields {
		if f.Key != fieldUnits {
			continue
		}
		// A value that is not a number counts as zero.
		units, _ := strconv.Atoi(f.Value)
		m.Units += units
	}
}

// addName appends the name unless it is empty or already present.
func addName(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}
