package main

import (
	_ "embed"
	"html/template"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragongw/core/history"
)

//go:embed report.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("report").Parse(pageText))

// page is the data of the report template.
type page struct {
	From, To, Generated string
	Span                string
	Step                time.Duration
	Routers             []routerRow
	Silent              int
	Sections            []section
	Services            []serviceRow
	Classes             []classRow
	Events              []eventRow
	Omitted             int
}

type routerRow struct{ Name, DataCentre, State, Coverage, Problem string }

type serviceRow struct{ Name, Unavailable, Moved, Imbalance string }

type classRow struct{ Name, Answered, P50, P99 string }

func newPage(answers []routerAnswer[routerReport], from, to time.Time) (*page, error) {
	t := mergeSeries(answers, from)
	events := mergeEvents(answers)
	p := &page{
		From: from.UTC().Format(time.DateTime), To: to.UTC().Format(time.DateTime), Generated: to.UTC().Format(time.RFC3339),
		Span: shortDuration(to.Sub(from)), Step: t.step,
	}
	for i := range answers {
		p.addRouter(&answers[i], from)
	}
	p.addTotals(t)
	// Start the plots at the first data: a mostly empty plot is hard to read.
	if len(t.points) > 0 && t.points[0].start.After(from) {
		from = t.points[0].start
	}
	markers := p.addEvents(events, to.Sub(from)/markersPerWidth)
	base := chart{from: from, to: to, step: t.step, markers: marksWithin(markers, from, to)}
	for _, point := range t.points {
		base.starts = append(base.starts, point.start)
	}
	return p, p.addSections(t, base)
}

func (p *page) addRouter(a *routerAnswer[routerReport], from time.Time) {
	row := routerRow{Name: a.Router, DataCentre: a.DataCentre, State: a.State}
	switch {
	case a.Err != nil:
		p.Silent++
		row.Problem = "no answer: " + a.Err.Error()
	case a.Answer.Series.Began.IsZero():
		row.Coverage = "has counted nothing yet"
	case a.Answer.Series.Began.After(from):
		row.Coverage = "since " + a.Answer.Series.Began.UTC().Format(time.TimeOnly) + ", when it started"
	default:
		row.Coverage = "the whole time"
	}
	p.Routers = append(p.Routers, row)
}

func (p *page) addTotals(t *timeline) {
	unavailable := t.total(func(p *point) map[string]float64 { return p.unavailable })
	moved := t.total(func(p *point) map[string]float64 { return p.moved })
	imbalance := make(map[string]float64)
	for _, point := range t.points {
		for name, value := range point.imbalance {
			imbalance[name] = max(imbalance[name], value)
		}
	}
	for _, name := range namesOf(unavailable, moved, imbalance) {
		row := serviceRow{Name: name, Unavailable: number(unavailable[name]), Moved: number(moved[name]), Imbalance: "not known"}
		if imbalance[name] > 0 {
			row.Imbalance = number(imbalance[name])
		}
		p.Services = append(p.Services, row)
	}
	latency := t.latency()
	for _, class := range sortedNames(latency) {
		var answered uint64
		for _, n := range latency[class] {
			answered += n
		}
		p.Classes = append(p.Classes, classRow{
			Name: class, Answered: strconv.FormatUint(answered, 10),
			P50: milliseconds(t.bounds, latency[class], 0.5), P99: milliseconds(t.bounds, latency[class], 0.99),
		})
	}
}

func milliseconds(bounds []time.Duration, counts []uint64, q float64) string {
	value := history.Quantile(bounds, counts, q)
	if value == 0 {
		return "-"
	}
	return number(float64(value) / float64(time.Millisecond))
}

func namesOf(all ...map[string]float64) []string {
	union := make(map[string]bool)
	for _, m := range all {
		for name := range m {
			union[name] = true
		}
	}
	return sortedNames(union)
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// number formats a value with up to two decimals; larger values get fewer.
func number(v float64) string {
	switch {
	case v == math.Trunc(v) || v >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case v >= 10:
		return strconv.FormatFloat(v, 'f', 1, 64)
	default:
		return strconv.FormatFloat(v, 'f', 2, 64)
	}
}

// shortDuration formats a duration without trailing parts that are zero, such as 1h.
func shortDuration(d time.Duration) string {
	text := d.Round(time.Second).String()
	if short, ok := strings.CutSuffix(text, "m0s"); ok {
		text = short + "m"
	}
	if short, ok := strings.CutSuffix(text, "h0m"); ok {
		text = short + "h"
	}
	return text
}
