package policy

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Row is one figure of a measurement.
type Row struct {
	Name  string
	Value float64
	Unit  string
	// Ratio is the value over that of the baseline, or NaN where there is none.
	Ratio float64
}

// Table is the result of a measurement.
type Table []Row

func (t *Table) add(name string, value float64, unit string) {
	*t = append(*t, Row{Name: name, Value: value, Unit: unit, Ratio: math.NaN()})
}

func (t *Table) compare(name string, value float64, unit string, baseline float64) {
	*t = append(*t, Row{Name: name, Value: value, Unit: unit, Ratio: value / baseline})
}

// Find returns the value of the row with the name, or NaN.
func (t Table) Find(name string) float64 {
	for _, r := range t {
		if r.Name == name {
			return r.Value
		}
	}
	return math.NaN()
}

// Write prints the table as name,value,unit,ratio.
func (t Table) Write(w io.Writer) error {
	if _, err := fmt.Fprintln(w, "name,value,unit,ratio"); err != nil {
		return err
	}
	for _, r := range t {
		ratio := ""
		if !math.IsNaN(r.Ratio) && !math.IsInf(r.Ratio, 0) {
			ratio = fmt.Sprintf("%.3f", r.Ratio)
		}
		if _, err := fmt.Fprintf(w, "%s,%.4g,%s,%s\n", r.Name, r.Value, r.Unit, ratio); err != nil {
			return err
		}
	}
	return nil
}

// quantile returns the q-quantile of durations in milliseconds; it sorts them.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	index := min(int(q*float64(len(values))), len(values)-1)
	return float64(values[index]) / float64(time.Millisecond)
}
