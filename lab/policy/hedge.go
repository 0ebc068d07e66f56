package policy

import (
	"fmt"

	"tarragongw/core/retry"
)

// hedgeFactor is how many mean service times a copy may take before a second one is
// sent to another target. Hedges have a budget of their own, a tenth of the answers.
const hedgeFactor = 3

func newHedgeBudget() *retry.Budget {
	return retry.NewBudget(retry.BudgetConfig{RetriesPerSuccess: 0.1, Burst: 1, MinPerSecond: 0.01}, routers)
}

// hedge sends a second copy of a request that takes long.
func (c *choice) hedge(a *ask) {
	if a.ended || len(a.open) != 1 {
		return
	}
	if c.views[a.router].hedges.Take(c.sim.clock()) {
		c.try(a, a.open[0].target)
	}
}

// Hedge measures a second copy of repeatable requests that take long. The time of
// work is either drawn for each copy, as where it is a matter of the target's moment,
// or once for each request, as where it is a matter of what was asked for. The ratio
// is over no hedging.
func Hedge(seed uint64) Table {
	var t Table
	for _, s := range scenarios()[:5] {
		for _, work := range []string{"of-the-copy", "of-the-request"} {
			results := each(2, func(i int) *choiceResult {
				c := newChoice(seed, []chooser{withHealth, withHedge}[i])
				c.ownWork = work == "of-the-request"
				s.setUp(c)
				return c.run(s.load)
			})
			plain, hedged := results[0], results[1]
			name := fmt.Sprintf("hedge/%s/%gx/work-%s/", s.name, s.load, work)
			t.compare(name+"answered", 100*answeredShare(hedged), "%", 100*answeredShare(plain))
			t.compare(name+"p50", quantile(hedged.latencies, 0.5), "ms", quantile(plain.latencies, 0.5))
			t.compare(name+"p99", quantile(hedged.latencies, 0.99), "ms", quantile(plain.latencies, 0.99))
			t.add(name+"attempts-per-request", float64(hedged.attempts)/float64(hedged.offered), "1")
		}
	}
	return t
}

func answeredShare(r *choiceResult) float64 { return float64(r.answered) / float64(r.offered) }
