package main

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"tarragongw/eventlog"
)

// mergedEvent is one thing that happened, as one or more routers recorded it.
type mergedEvent struct {
	eventlog.Event
	// Routers recorded it, about these Targets; Count is how often in all.
	Routers, Targets []string
	Count            int
	// Units is the sum of what the records say of units; zero where they say nothing.
	Units int
}

// sameEvent is how long after the first record others are taken for the same event: a
// loss changes the grantors of many targets, and other routers hear of it.
const sameEvent = 3 * time.Second

// fieldUnits is the field of an event that counts units.
const fieldUnits = "units"

// record is an event with the router that recorded it.
type record struct {
	recorder string
	eventlog.Event
}

// subject is what records of the same event have in common.
type subject struct {
	kind                   eventlog.Kind
	cause, service, router string
}

// mergeEvents puts the routers' events in order of time and records of the same
// together.
func mergeEvents(answers []answerOf[routerReport]) []*mergedEvent {
	last := make(map[subject]*mergedEvent)
	var out []*mergedEvent
	for _, r := range sortedRecords(answers) {
		key := subject{r.Kind, r.Cause, r.Service, r.about()}
		m := last[key]
		if m == nil || r.Time.Sub(m.Time) > sameEvent {
			m = &mergedEvent{Event: r.Event}
			last[key] = m
			out = append(out, m)
		}
		m.add(&r)
	}
	return out
}

func sortedRecords(answers []answerOf[routerReport]) []record {
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

// about is the router that the event is about; empty where that is only the one that
// recorded it.
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
		// A field that is no number counts for nothing.
		units, _ := strconv.Atoi(f.Value)
		m.Units += units
	}
}

// addName adds a name that is not yet there.
func addName(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}
