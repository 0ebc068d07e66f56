package main

import (
	"math"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `day                  own/srv  score  worth served refused failed  weakest part
sweep-30              30/300   0.93  0.930  0.985   0.000  0.002  worst class 0.95; prices 0.049, most for machine-seconds
sweep-100           100/1000   0.80  0.804  0.881   0.010  0.002  worst class 0.85; prices 0.120, most for cloud calls

middle / busiest or longest, by own machines
                                                          30             100  power  at 5561
router: processor %                                2.0 / 5.0      2.0 / 20.0   1.15  2000
config acked, ms                                   102 / 102       102 / 102    0.0  102
power: the busiest grows as machines to this power
snapshot 8d90b5df
`

func parsed(t *testing.T, text string) *sweep {
	t.Helper()
	s, err := parseSweep(strings.NewReader(text))
	assert.NilError(t, err)
	return s
}

func TestSweepIsReadAsPrinted(t *testing.T) {
	s := parsed(t, sample)
	assert.Equal(t, s.snapshot, "8d90b5df")
	assert.DeepEqual(t, s.sizes, []int{30, 100})
	assert.Equal(t, s.days[1], day{100, 1000, 0.804, 0.881, 0.002, 0.120})
	assert.Equal(t, len(s.quantities), 2)
	assert.DeepEqual(t, s.quantities[0].median(), []float64{2, 2})
	assert.DeepEqual(t, s.quantities[0].busiest(), []float64{5, 20})
}

// It guards against a table that loses its rows unnoticed when the sweep prints another form.
func TestSweepThatCannotBeReadIsAnError(t *testing.T) {
	for _, broken := range []string{
		"", "snapshot x\n",
		strings.Replace(sample, "2.0 / 5.0", "2.0 / ?", 1),
		strings.Replace(sample, "2.0 / 5.0 ", "", 1),
	} {
		_, err := parseSweep(strings.NewReader(broken))
		assert.Assert(t, err != nil, broken)
	}
}

// It guards against a page that promises figures no sweep gives any more.
func TestPageEqualsTheCommittedSweeps(t *testing.T) {
	deployments, err := loadDeployments("sweeps")
	assert.NilError(t, err)
	tables, err := render(deployments)
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	_, computed, _, err := splitPage(string(page))
	assert.NilError(t, err)
	assert.Equal(t, computed, tables, "run: go run ./lab/capacity -write")
}

// It guards against sweeps that the journal does not hold.
func TestCommittedSweepsAreInTheJournal(t *testing.T) {
	deployments, err := loadDeployments("sweeps")
	assert.NilError(t, err)
	entries, err := os.ReadDir("../../journal")
	assert.NilError(t, err)
	held := func(snapshot string) bool {
		for _, entry := range entries {
			if snapshot != "" && strings.HasSuffix(entry.Name(), "-"+snapshot+".json") {
				return true
			}
		}
		return false
	}
	for _, d := range deployments {
		assert.Assert(t, held(d.before.snapshot), "%s before: %s", d.name, d.before.snapshot)
		assert.Assert(t, held(d.after.snapshot), "%s: %s", d.name, d.after.snapshot)
	}
}

// It guards against powers fitted to other columns than those that were printed.
func TestPowersAgreeWithTheSweeps(t *testing.T) {
	deployments, err := loadDeployments("sweeps")
	assert.NilError(t, err)
	for _, d := range deployments {
		for _, s := range []*sweep{d.before, d.after} {
			last := max(0, len(s.sizes)-3)
			for _, q := range s.quantities {
				p := power(s.sizes[last:], q.busiest()[last:], q.least())
				assert.Assert(t, math.Abs(p-q.printed) < 0.02, "%s, %s: %.3f, printed %.3f", d.name, q.name, p, q.printed)
			}
		}
	}
}

func TestPowerAndWhatItCarries(t *testing.T) {
	sizes := []int{30, 100, 300}
	assert.Assert(t, math.Abs(power(sizes, []float64{3, 10, 30}, 0)-1) < 1e-9)
	assert.Assert(t, math.Abs(carriedOn(sizes, []float64{3, 10, 30}, 0, 3000)-300) < 1e-6)
	assert.Equal(t, carriedOn(sizes, []float64{30, 10, 3}, 0, 3000), 3.0)
	assert.Equal(t, power(sizes, []float64{0, 20, 49}, leastTime), 0.0)
}

// It guards against a slope that grows faster than its rule and is not named with its
// remedy, and against a remedy that is left over.
func TestSlopeAboveItsRuleNeedsARemedy(t *testing.T) {
	const name = "router: processor %"
	above := map[string][]string{name: {"made up, busiest router (1.15)"}}
	remedy := map[string]string{name: "less work"}
	b := new(strings.Builder)
	assert.NilError(t, writeRemedies(b, above, remedy))
	assert.Assert(t, strings.Contains(b.String(), "| processor % | made up, busiest router (1.15) |"))
	assert.ErrorContains(t, writeRemedies(b, above, nil), "above its rule")
	assert.ErrorContains(t, writeRemedies(b, nil, remedy), "above its rule")
}

func TestSlopesAreHeldToTheirRules(t *testing.T) {
	s := parsed(t, sample)
	rows := s.seriesOf(&rule{quantity: "router: processor %", median: constant, busiest: squareRoot})
	assert.Equal(t, len(rows), 2)
	assert.Assert(t, !rows[0].exceedsRule())
	assert.Assert(t, rows[1].exceedsRule())
	assert.Equal(t, len(s.seriesOf(&rule{quantity: "config acked, ms"})), 1)
}

func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1.2345: "1.23", 123456: "123,000", 0.001234: "0.00123", 99.96: "100", 12: "12", 1234567: "1,230,000", -931: "-931", -0.5: "-0.5", -123456: "-123,000"} {
		assert.Equal(t, number(v), want)
	}
}
