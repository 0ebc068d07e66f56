package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragongw/eventlog"
)

const (
	// maxMarkers bounds the events that the plots show, and maxEvents those in the table.
	maxMarkers = 20
	maxEvents  = 400
	// markersApart is how many marks side by side fill a plot's width: closer ones could
	// not be read.
	markersApart = 40
	// maxTargets bounds the targets that one line names.
	maxTargets = 4
)

type eventRow struct{ Mark, Time, Kind, About, Cause, Routers string }

func marksWithin(markers []marker, from, to time.Time) []marker {
	return slices.DeleteFunc(markers, func(m marker) bool { return m.at.Before(from) || m.at.After(to) })
}

// marked are the kinds of events that the plots show.
var marked = map[eventlog.Kind]bool{
	eventlog.ConfigChanged: true, eventlog.TargetDraining: true, eventlog.TargetEjected: true, eventlog.TargetReadmitted: true,
	eventlog.MemberLost: true, eventlog.MemberLeft: true, eventlog.MemberJoined: true, eventlog.GrantorDead: true,
	eventlog.DataCentreCutOff: true, eventlog.DataCentreBack: true, eventlog.StoreUnavailable: true, eventlog.StoreAvailable: true,
	eventlog.UnitUnserved: true, eventlog.RouterStopping: true, eventlog.IsolationBegan: true, eventlog.IsolationEnded: true,
	eventlog.RouterSaturated: true, eventlog.RouterRelieved: true,
}

// addEvents fills the table, newest last, and returns the marks of the plots.
func (p *page) addEvents(events []*mergedEvent, apart time.Duration) []marker {
	if extra := len(events) - maxEvents; extra > 0 {
		p.LeftOut = extra
		events = events[extra:]
	}
	var markers []marker
	for _, e := range events {
		row := eventRow{
			Time: e.Time.UTC().Format("15:04:05.000"), Kind: string(e.Kind), About: about(e), Cause: e.Cause,
			Routers: strings.Join(e.Routers, ", "),
		}
		if e.Count > 1 {
			row.Kind += " ×" + strconv.Itoa(e.Count)
		}
		if marked[e.Kind] {
			row.Mark, markers = mark(markers, e.Time, apart)
		}
		p.Events = append(p.Events, row)
	}
	return markers
}

// mark returns the number of the marker at the time, that of the last one where it
// would be drawn over it.
func mark(markers []marker, at time.Time, apart time.Duration) (string, []marker) {
	n := len(markers)
	if n > 0 && at.Sub(markers[n-1].at) < apart {
		return markers[n-1].label, markers
	}
	if n == maxMarkers {
		return "", markers
	}
	label := strconv.Itoa(n + 1)
	return label, append(markers, marker{at: at, label: label})
}

// about says what the event is about.
func about(e *mergedEvent) string {
	var parts []string
	add := func(key, value string) {
		if value != "" {
			parts = append(parts, key+" "+value)
		}
	}
	add("service", e.Service)
	add("target", e.targets())
	if e.Units > 0 {
		add(fieldUnits, strconv.Itoa(e.Units))
	}
	if !slices.Contains(e.Routers, e.Router) {
		add("router", e.Router)
	}
	if e.Count > 1 {
		return strings.Join(parts, ", ")
	}
	add("unit", e.Unit)
	for _, f := range e.Fields {
		if f.Key != fieldUnits && f.Key != "unit" {
			add(f.Key, f.Value)
		}
	}
	return strings.Join(parts, ", ")
}

func (m *mergedEvent) targets() string {
	if extra := len(m.Targets) - maxTargets; extra > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(m.Targets[:maxTargets], ", "), extra)
	}
	return strings.Join(m.Targets, ", ")
}
