package main

import (
	"bufio"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxPower bounds the power by which a quantity is carried on, as the sweep does.
	maxPower = 2
	// leastTime and leastLoad are the smallest values that the sweep tells from none, in
	// milliseconds and in the unit of the load.
	leastTime = 50
	leastLoad = 0.1
)

// reading is one quantity in a fleet of one size.
type reading struct {
	median, busiest float64
}

// quantity is what the sweep reports of one load or time, by size of the fleet.
type quantity struct {
	name     string
	readings []reading // as sweep.sizes
	// printed is the power that the sweep itself gives for the busiest router.
	printed float64
}

// day is the outcome of the day at one size.
type day struct {
	routers, targets              int
	worth, served, failed, prices float64
}

// sweep is one day played at several sizes of a deployment.
type sweep struct {
	snapshot   string // identifies the journal entry
	sizes      []int  // routers
	days       []day
	quantities []quantity
}

var (
	columns  = regexp.MustCompile(`\s{2,}`)
	dayLine  = regexp.MustCompile(`^sweep-\d+\s+(\d+)/(\d+)\s+\S+\s+(\S+)\s+(\S+)\s+\S+\s+(\S+)\s.*prices (\S+?),`)
	sizeLine = regexp.MustCompile(`^\s+([\d ]+?)\s+power\s+at \S+$`)
)

// parseSweep reads the output of a sweep as it was printed.
func parseSweep(r io.Reader) (*sweep, error) {
	s := new(sweep)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if err := s.parseLine(lines.Text()); err != nil {
			return nil, errors.Wrapf(err, "line %q", lines.Text())
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read the sweep")
	}
	if len(s.sizes) < 2 || len(s.quantities) == 0 {
		return nil, errors.New("the sweep has no table of two sizes or more")
	}
	return s, nil
}

func (s *sweep) parseLine(line string) error {
	if snapshot, ok := strings.CutPrefix(line, "snapshot "); ok {
		s.snapshot = snapshot
		return nil
	}
	if match := dayLine.FindStringSubmatch(line); match != nil {
		return s.parseDay(match[1:])
	}
	if match := sizeLine.FindStringSubmatch(line); match != nil {
		return s.parseSizes(match[1])
	}
	if len(s.sizes) > 0 && strings.Contains(line, " / ") {
		return s.parseQuantity(columns.Split(line, -1))
	}
	return nil
}

func (s *sweep) parseDay(fields []string) error {
	v, err := floats(fields)
	if err != nil {
		return err
	}
	s.days = append(s.days, day{int(v[0]), int(v[1]), v[2], v[3], v[4], v[5]})
	return nil
}

func (s *sweep) parseSizes(text string) error {
	v, err := floats(strings.Fields(text))
	for _, size := range v {
		s.sizes = append(s.sizes, int(size))
	}
	return err
}

func (s *sweep) parseQuantity(fields []string) error {
	if len(fields) != len(s.sizes)+3 {
		return errors.Errorf("%d columns, not %d", len(fields), len(s.sizes)+3)
	}
	q := quantity{name: fields[0]}
	for _, field := range fields[1 : 1+len(s.sizes)] {
		v, err := floats(strings.Split(field, " / "))
		if err != nil {
			return err
		}
		q.readings = append(q.readings, reading{v[0], v[1]})
	}
	power, err := floats(fields[1+len(s.sizes) : 2+len(s.sizes)])
	if err != nil {
		return err
	}
	q.printed = power[0]
	s.quantities = append(s.quantities, q)
	return nil
}

func floats(fields []string) ([]float64, error) {
	values := make([]float64, len(fields))
	for i, field := range fields {
		var err error
		if values[i], err = strconv.ParseFloat(strings.TrimSpace(field), 64); err != nil {
			return nil, errors.Wrap(err, "number")
		}
	}
	return values, nil
}

// isTime reports whether the quantity is a time of the fleet, not a load of its routers.
func (q *quantity) isTime() bool { return !strings.HasPrefix(q.name, "router: ") }

// least is the smallest value that counts.
func (q *quantity) least() float64 {
	if q.isTime() {
		return leastTime
	}
	return leastLoad
}

// power returns p of the least-squares fit value = c * size^p, where smaller values count as
// the least.
func power(sizes []int, values []float64, least float64) float64 {
	var mean float64
	for _, size := range sizes {
		mean += math.Log(float64(size)) / float64(len(sizes))
	}
	// Relative to the first value, values that don't grow give exactly zero on all processors.
	var xx, xy float64
	for i, size := range sizes {
		x, y := math.Log(float64(size))-mean, math.Log(max(values[i], least)/max(values[0], least))
		xx, xy = xx+x*x, xy+x*y
	}
	return xy / xx
}

// carriedOn returns the value at a size from the last one of the sweep.
func carriedOn(sizes []int, values []float64, least float64, size int) float64 {
	last := len(sizes) - 1
	p := min(max(power(sizes, values, least), 0), maxPower)
	return values[last] * math.Pow(float64(size)/float64(sizes[last]), p)
}

func (q *quantity) median() []float64 {
	return q.values(func(r reading) float64 { return r.median })
}

func (q *quantity) busiest() []float64 {
	return q.values(func(r reading) float64 { return r.busiest })
}

func (q *quantity) values(of func(reading) float64) []float64 {
	values := make([]float64, len(q.readings))
	for i, r := range q.readings {
		values[i] = of(r)
	}
	return values
}
