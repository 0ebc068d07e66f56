package main

import (
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"
	"time"

	"tarragongw/core/history"
)

// maxLines is the largest number of lines with a name of their own in one plot; all further
// names are summed into one more line.
const maxLines = 7

// section is a plot with its title, description and legend.
type section struct {
	Title, Description string
	Plot               template.HTML
	Legend             []legendEntry
	Empty              bool
}

type legendEntry struct {
	Name   string
	Color  template.CSS
	Dashed bool
}

func (p *page) addSections(t *timeline, base chart) error {
	perSecond := 0.0
	if t.step > 0 {
		perSecond = 1 / t.step.Seconds()
	}
	for _, s := range []struct {
		title, description, unit string
		floor                    float64
		lines                    []line
	}{
		{
			"Unavailable time", "Units of keys that were not served, on average over each interval, by service. 1 for 10 s is 10 unit-seconds.",
			"units unserved", 0, t.lines(perSecond, false, func(p *point) map[string]float64 { return p.unavailable }),
		},
		{
			"Imbalance", "Load of the busiest target over the mean of its service's targets in the same data centre; 1 is even. The worst data centre is shown.",
			"busiest / mean", 1, t.lines(1, true, func(p *point) map[string]float64 { return p.imbalance }),
		},
		{
			"Churn", "Units of keys that went from one owner to another, by service.",
			"units moved", 0, t.lines(1, false, func(p *point) map[string]float64 { return p.moved }),
		},
		{
			"Latency", "Requests answered completely, from arrival to the end of the answer, by class.",
			"ms", 0, t.latencyLines(),
		},
		{
			"Refusals", "Requests refused as not run, by cause (docs/ERRORS.md).",
			"per second", 0, t.lines(perSecond, false, func(p *point) map[string]float64 { return p.refused }),
		},
		{
			"Failures", "Requests that ended with a fault and may have run, by cause.",
			"per second", 0, t.lines(perSecond, false, func(p *point) map[string]float64 { return p.failed }),
		},
	} {
		c := base
		c.lines, c.unit, c.floor = s.lines, s.unit, s.floor
		section := section{Title: s.title, Description: s.description, Empty: len(s.lines) == 0}
		for i := range s.lines {
			section.Legend = append(section.Legend, legendEntry{s.lines[i].name, cssColor(s.lines[i].color), s.lines[i].dashed})
		}
		if !section.Empty {
			var err error
			if section.Plot, err = c.svg(); err != nil {
				return err
			}
		}
		p.Sections = append(p.Sections, section)
	}
	return nil
}

// lines returns a line for each name that has a value at any point, in descending order
// of total; names beyond maxLines are summed. With sparse, zero means that there is no data.
func (t *timeline) lines(scale float64, sparse bool, of func(*point) map[string]float64) []line {
	total := t.total(of)
	names := sortedNames(total)
	names = slices.DeleteFunc(names, func(name string) bool { return total[name] == 0 })
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(total[b], total[a]) })
	var out []line
	for i, name := range names {
		if i < maxLines {
			out = append(out, line{name: name, color: palette[i], values: make([]float64, len(t.points))})
		} else if i == maxLines {
			out = append(out, line{name: "all others", color: palette[i], values: make([]float64, len(t.points))})
		}
		values := out[len(out)-1].values
		for j, p := range t.points {
			values[j] += scale * of(p)[name]
		}
	}
	if !sparse {
		return out
	}
	for i := range out {
		for j, v := range out[i].values {
			if v == 0 {
				out[i].values[j] = math.NaN()
			}
		}
	}
	return out
}

func (t *timeline) latencyLines() []line {
	var out []line
	total := t.latency()
	for i, class := range sortedNames(total) {
		for _, q := range []struct {
			name   string
			share  float64
			dashed bool
		}{{"p50", 0.5, true}, {"p99", 0.99, false}} {
			l := line{name: class + " " + q.name, color: palette[i%len(palette)], dashed: q.dashed}
			if history.Quantile(t.bounds, total[class], q.share) == 0 {
				continue
			}
			for _, p := range t.points {
				value := float64(history.Quantile(t.bounds, p.latency[class], q.share)) / float64(time.Millisecond)
				if value == 0 {
					value = math.NaN()
				}
				l.values = append(l.values, value)
			}
			out = append(out, l)
		}
	}
	return out
}

func cssColor(c color.RGBA) template.CSS {
	return template.CSS(fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B))
}
