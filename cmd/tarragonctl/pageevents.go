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
	// maxMarkers is the largest number of markers in a plot, and maxEvents that of rows in
	// the table.
	maxMarkers = 20
	maxEvents  = 400
	// markersPerWidth is the number of markers that fit side by side into the width of a
	// plot; the labels of closer markers could not be read.
	markersPerWidth = 40
	// maxTargets is the largest number of targets that one row names.
	maxTargets = 4
)

type eventRow struct{ Mark, Time, Kind, About, Cause, Routers string }

func marksWithin(markers []marker, from, to time.Time) []marker {
	return slices.DeleteFunc(markers, func(m marker) bool { return m.at.Before(from) || m.at.After(to) })
}

// markedKinds are the kinds of events that have markers in the plots.
var markedKinds = map[eventlog.Kind]bool{
	eventlog.ConfigChanged: true, eventlog.TargetDraining: true, eventlog.TargetEjected: true, eventlog.TargetReadmitted: true,
	eventlog.MemberLost: true, eventlog.MemberLeft: true, eventlog.MemberJoined: true, eventlog.GrantorDead: true,
	eventlog.DataCentreCutOff: true, eventlog.DataCentreBack: true, eventlog.StoreUnavailable: true, eventlog.StoreAvailable: true,
	eventlog.UnitUnserved: true, eventlog.RouterStopping: true, eventlog.IsolationBegan: true, eventlog.IsolationEnded: true,
	eventlog.RouterSaturated: true, eventlog.RouterRelieved: true,
}

// addEvents fills the table of events, newest last, and returns the markers for the plots.
func (p *page) addEvents(events []*mergedEvent, minGap time.Duration) []marker {
	if extra := len(events) - maxEvents; extra > 0 {
		p.Omitted = extra
		events = events[extra:]
	}
	var markers []marker
	for _, e := range events {
		row := eventRow{
			Time: e.Time.UTC().Format("15:04:05.000"), Kind: string(e.Kind), About: describeEvent(e), Cause: e.Cause,
			Routers: strings.Join(e.Routers, ", "),
		}
		if e.Count > 1 {
			row.Kind += " ×" + strconv.Itoa(e.Count)
		}
		if markedKinds[e.Kind] {
			row.Mark, markers = assignMarker(markers, e.Time, minGap)
		}
		p.Events = append(p.Events, row)
	}
	return markers
}

// assignMarker returns the label of the marker for an event at the time, and the markers
// with a new one if it is needed. An event less than minGap after the last marker shares
// that marker; once there are maxMarkers, the label is empty.
func assignMarker(markers []marker, at time.Time, minGap time.Duration) (string, []marker) {
	n := len(markers)
	if n > 0 && at.Sub(markers[n-1].at) < minGap {
		return markers[n-1].label, markers
	}
	if n == maxMarkers {
		return "", markers
	}
	label := strconv.Itoa(n + 1)
	return label, append(markers, marker{at: at, label: label})
}

// describeEvent returns what the event is about: service, targets, router and other fields.
func describeEvent(e *mergedEvent) string {
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
