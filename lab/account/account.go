// Package main prints where a played day lost its worth: an account of the bench's report of that day.
//
// The worth of a day is a weighted sum of shares, less prices. The account says what each missing share costs, which kinds
// of requests, data centres and seconds miss how much of what they asked for, why, and what the targets did with what they got.
package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// report is the part of the bench's report that the account needs.
type report struct {
	Worth float64 `json:"G"`
	// Parts and Prices are rows of mixed types: name, weight, share; and name, quantity, price.
	Parts      [][]any    `json:"parts"`
	Prices     [][]any    `json:"prices"`
	Classes    []group    `json:"classes"`
	Zones      []group    `json:"zones"`
	Windows    []group    `json:"windows"`
	Services   []service  `json:"services"`
	UnservedBy [][]any    `json:"unserved_by"`
	Events     []event    `json:"events"`
	Breaks     ruleBreaks `json:"breaks"`
}

type ruleBreaks map[string]any

// group counts the requests of one kind, data centre or time.
type group struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// service counts what the targets of one service got.
type service struct {
	Name     string  `json:"name"`
	Targets  int     `json:"servers"`
	Arrivals int     `json:"arrivals"`
	NotRun   int     `json:"not_run"`
	RanBadly int     `json:"ran_badly"`
	Again    int     `json:"again"`
	Busiest  float64 `json:"busiest_x"`
}

type event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// lateShare is the part of its worth that a late answer earns, by the sheets of all deployments.
const lateShare = 0.3

// worstWindows is how many of the worst stretches of time are listed.
const worstWindows = 6

func decodeReport(r io.Reader) (*report, error) {
	d := &report{}
	return d, errors.Wrap(json.NewDecoder(r).Decode(d), "decode a report")
}

// lost is what a group misses of what it asked for, in requests, by cause.
type lost struct{ late, refused, failed float64 }

func (g *group) lost() lost {
	return lost{late: (1 - lateShare) * float64(g.Late), refused: float64(g.Refused), failed: float64(g.Failed)}
}

func (l lost) sum() float64 { return l.late + l.refused + l.failed }

// write prints the account as Markdown tables.
func (d *report) write(w io.Writer) {
	fmt.Fprintf(w, "worth %.3f", d.Worth)
	if len(d.Breaks) > 0 {
		fmt.Fprintf(w, ", rules broken: %v", d.Breaks)
	}
	fmt.Fprint(w, "\n\n| part | weight | share | lost |\n|---|---|---|---|\n")
	for _, row := range d.Parts {
		if name, weight, share, ok := decodeRow(row); ok {
			fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f |\n", name, weight, share, weight*(1-share))
		}
	}
	d.writePrices(w)
	writeGroups(w, "kind of request", d.Classes, len(d.Classes))
	writeGroups(w, "data centre", d.Zones, len(d.Zones))
	writeGroups(w, "from second", d.Windows, worstWindows)
	fmt.Fprint(w, "\n| service | targets | arrivals | refused by targets | ran badly | repeats | busiest target / mean |\n|---|---|---|---|---|---|---|\n")
	for _, s := range d.Services {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %d | %.1f |\n", s.Name, s.Targets, s.Arrivals, s.NotRun, s.RanBadly, s.Again, s.Busiest)
	}
	fmt.Fprint(w, "\n| not served, by the last answer | requests |\n|---|---|\n")
	for _, row := range d.UnservedBy {
		if len(row) >= 2 {
			fmt.Fprintf(w, "| %v | %v |\n", row[0], row[1])
		}
	}
	for _, e := range d.Events {
		fmt.Fprintf(w, "\n%5.1f to %5.1f s  %s %s", e.From, e.To, strings.TrimSpace(e.Kind), e.What)
	}
	fmt.Fprintln(w)
}

func (d *report) writePrices(w io.Writer) {
	prices := slices.Clone(d.Prices)
	slices.SortStableFunc(prices, func(a, b []any) int {
		_, _, x, _ := decodeRow(a)
		_, _, y, _ := decodeRow(b)
		return cmp.Compare(y, x)
	})
	fmt.Fprint(w, "\n| price | quantity | lost |\n|---|---|---|\n")
	for _, row := range prices {
		if name, quantity, price, ok := decodeRow(row); ok && price >= 0.0005 {
			fmt.Fprintf(w, "| %s | %.3g | %.3f |\n", name, quantity, price)
		}
	}
}

// writeGroups prints the groups that miss most, in per cent of what all asked for.
func writeGroups(w io.Writer, title string, groups []group, most int) {
	asked := 0
	for i := range groups {
		asked += groups[i].Asked
	}
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b group) int { return cmp.Compare(b.lost().sum(), a.lost().sum()) })
	fmt.Fprintf(w, "\n| %s | asked | worth | lost, %% of all | late | refused | failed |\n|---|---|---|---|---|---|---|\n", title)
	for i := range sorted[:min(most, len(sorted))] {
		g := &sorted[i]
		l, percent := g.lost(), 100/max(float64(asked), 1)
		fmt.Fprintf(w, "| %s | %d | %.3f | %.1f | %.1f | %.1f | %.1f |\n", g.Name, g.Asked, g.Worth, l.sum()*percent, l.late*percent, l.refused*percent, l.failed*percent)
	}
}

// decodeRow decodes a row of a name and two numbers.
func decodeRow(row []any) (name string, first, second float64, ok bool) {
	if len(row) < 3 {
		return "", 0, 0, false
	}
	name, named := row[0].(string)
	first, isFirst := row[1].(float64)
	second, isSecond := row[2].(float64)
	return name, first, second, named && isFirst && isSecond
}
