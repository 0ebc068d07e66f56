package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// row is one line of the table.
type row struct {
	Name string `json:"name"`
	// Value is the median of the rounds; Least and Most are their extremes.
	Value float64 `json:"value"`
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
	Unit  string  `json:"unit"`
	// Ratio is the median of the rounds' ratios to the baseline, zero where there is none.
	Ratio    float64 `json:"ratio,omitempty"`
	Baseline string  `json:"baseline,omitempty"`
	// Goal is the bound that the value or ratio is held against, in words.
	Goal string `json:"goal,omitempty"`
}

// table collects the rows of a run.
type table struct{ rows []row }

// add appends a row for the values of the rounds.
func (t *table) add(name, unit string, values ...float64) *row {
	t.rows = append(t.rows, row{
		Name: name, Unit: unit, Value: median(values), Least: slices.Min(values), Most: slices.Max(values),
	})
	return &t.rows[len(t.rows)-1]
}

// against sets the ratio to the baseline's values of the same rounds. A
// difference that noise made zero or negative in any round gives no ratio.
func (r *row) against(baseline string, values, base []float64) *row {
	if slices.Min(base) <= 0 {
		return r
	}
	ratios := make([]float64, 0, len(values))
	for i := range values {
		ratios = append(ratios, values[i]/base[i])
	}
	r.Ratio, r.Baseline = median(ratios), baseline
	return r
}

func (r *row) goal(text string) *row {
	r.Goal = text
	return r
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func (t *table) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tvalue\tunit\tratio\tspread\tgoal")
	for _, r := range t.rows {
		ratio, spread := "", ""
		if r.Baseline != "" {
			ratio = fmt.Sprintf("%.2f of %s", r.Ratio, r.Baseline)
		}
		if r.Least != r.Most {
			spread = number(r.Least) + " to " + number(r.Most)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, number(r.Value), r.Unit, ratio, spread, r.Goal)
	}
	// Standard output that is gone leaves nobody to tell.
	_ = w.Flush()
}

func number(v float64) string {
	if v >= 100 || v <= -100 || v == float64(int64(v)) {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func (t *table) write(path string) error {
	data, err := json.MarshalIndent(t.rows, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the table")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write the table")
}
