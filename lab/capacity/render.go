package main

import (
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Marks of the part of the page that is computed.
const (
	beginMark = "<!-- computed by go run ./lab/capacity -write: begin -->\n"
	endMark   = "<!-- computed: end -->\n"
)

// number renders three significant digits, with a separator of thousands.
func number(v float64) string {
	if math.Abs(v) < 1e-6 {
		return "0"
	}
	if v < 0 {
		return "-" + number(-v)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits > 0 {
		return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.*f", digits, v), "0"), ".")
	}
	scale := math.Pow(10, float64(-digits))
	text := fmt.Sprintf("%.0f", math.Round(v/scale)*scale)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// series is one quantity of one role over the sizes of a sweep.
type series struct {
	role    string
	rule    float64
	values  []float64
	power   float64
	carried float64 // value at the design size
}

func (s *series) exceedsRule() bool { return s.power > s.rule+powerNoise }

// seriesOf returns a quantity's series; times have one role only.
func seriesOf(sizes []int, q *quantity, r *rule) []series {
	fit := func(role string, allowed float64, values []float64) series {
		return series{role, allowed, values, power(sizes, values, q.least()), carriedOn(sizes, values, q.least(), designSize)}
	}
	if q.isTime() {
		return []series{fit("fleet", r.busiest, q.busiest())}
	}
	return []series{
		fit("median router", r.median, q.median()),
		fit("busiest router", r.busiest, q.busiest()),
	}
}

// render returns the computed part of the page.
func render(deployments []deployment) (string, error) {
	var b strings.Builder
	faster := map[string][]string{}
	for i := range deployments {
		d := &deployments[i]
		fmt.Fprintf(&b, "### %s\n\n", d.name)
		writeDays(&b, d)
		if err := writeQuantities(&b, d, faster); err != nil {
			return "", errors.Wrap(err, d.name)
		}
	}
	b.WriteString("### Slopes above their rule\n\n")
	if err := writeRemedies(&b, faster, remedies); err != nil {
		return "", err
	}
	return b.String(), nil
}

func writeDays(b *strings.Builder, d *deployment) {
	b.WriteString("| routers | targets | worth | before | served | before | prices | before |\n|---|---|---|---|---|---|---|---|\n")
	for i, now := range d.after.days {
		was := day{worth: math.NaN(), served: math.NaN(), prices: math.NaN()}
		if i < len(d.before.days) {
			was = d.before.days[i]
		}
		fmt.Fprintf(b, "| %d | %d | %s | %s | %s | %s | %s | %s |\n", now.routers, now.targets,
			share(now.worth), share(was.worth), share(now.served), share(was.served), share(now.prices), share(was.prices))
	}
	fmt.Fprintf(b, "\nJournal entries %s and, before, %s.\n\n", d.after.snapshot, d.before.snapshot)
}

func share(v float64) string {
	if math.IsNaN(v) {
		return "not played"
	}
	return fmt.Sprintf("%.3f", v)
}

func writeQuantities(b *strings.Builder, d *deployment, faster map[string][]string) error {
	b.WriteString("| quantity | role |")
	for _, size := range d.after.sizes {
		fmt.Fprintf(b, " at %d |", size)
	}
	fmt.Fprintf(b, " power | rule | at %d | bound | power before | at %d before |\n", designSize, designSize)
	b.WriteString("|---|---|" + strings.Repeat("---|", len(d.after.sizes)+6) + "\n")
	for i := range d.after.quantities {
		q := &d.after.quantities[i]
		r := ruleOf(q.name)
		if r == nil {
			return errors.Errorf("no rule for %q", q.name)
		}
		before := d.before.seriesOf(r)
		for n, s := range seriesOf(d.after.sizes, q, r) {
			var was *series
			if before != nil {
				was = &before[n]
			}
			writeSeries(b, r, &s, was)
			if s.exceedsRule() {
				faster[q.name] = append(faster[q.name], fmt.Sprintf("%s, %s (%.2f)", d.name, s.role, s.power))
			}
		}
	}
	b.WriteString("\n")
	return nil
}

// writeSeries writes a line of the table; before is nil where the earlier sweep lacks it.
func writeSeries(b *strings.Builder, r *rule, s, before *series) {
	fmt.Fprintf(b, "| %s | %s |", strings.TrimPrefix(r.quantity, "router: "), s.role)
	for _, v := range s.values {
		fmt.Fprintf(b, " %s |", number(v))
	}
	mark := ""
	if s.exceedsRule() {
		mark = " **above**"
	}
	bound := "-"
	if r.bound > 0 {
		bound = number(r.bound)
	}
	fmt.Fprintf(b, " %.2f%s | %s | %s | %s |", s.power, mark, number(s.rule), number(s.carried), bound)
	if before == nil {
		b.WriteString(" - | - |\n")
		return
	}
	fmt.Fprintf(b, " %.2f | %s |\n", before.power, number(before.carried))
}

// seriesOf returns nil where the sweep does not have the quantity.
func (s *sweep) seriesOf(r *rule) []series {
	for i := range s.quantities {
		if s.quantities[i].name == r.quantity {
			return seriesOf(s.sizes, &s.quantities[i], r)
		}
	}
	return nil
}

// writeRemedies fails where a slope above its rule has no remedy, or a remedy no slope.
func writeRemedies(b *strings.Builder, faster map[string][]string, remedies map[string]string) error {
	b.WriteString("| quantity | where (power) | comes from | what would mend it |\n|---|---|---|---|\n")
	for i := range rules {
		name := rules[i].quantity
		where, remedy := faster[name], remedies[name]
		if (len(where) > 0) != (remedy != "") {
			return errors.Errorf("%q is above its rule at %d places, its remedy is %q", name, len(where), remedy)
		}
		if len(where) > 0 {
			fmt.Fprintf(b, "| %s | %s | %s | %s |\n", strings.TrimPrefix(name, "router: "), strings.Join(where, "; "), rules[i].comes, remedy)
		}
	}
	return nil
}

// splitPage returns what stands before, between and after the marks.
func splitPage(page string) (before, computed, after string, err error) {
	before, rest, ok := strings.Cut(page, beginMark)
	if !ok {
		return "", "", "", errors.New("the page has no mark where the computed part begins")
	}
	computed, after, ok = strings.Cut(rest, endMark)
	if !ok {
		return "", "", "", errors.New("the page has no mark where the computed part ends")
	}
	return before, computed, after, nil
}

// writePage replaces the computed part of the page.
func writePage(path, computed string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	before, _, after, err := splitPage(string(b))
	if err != nil {
		return err
	}
	page := before + beginMark + computed + endMark + after
	return errors.Wrap(os.WriteFile(path, []byte(page), 0o644), "write page")
}
