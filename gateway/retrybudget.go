package gateway

import (
	"time"

	"tarragongw/core/pressure"
	"tarragongw/core/retry"
)

// newBudget returns the retry budget of one service.
func (g *Gateway) newBudget() *retry.WindowBudget {
	b := retry.NewWindowBudget(retry.WindowLimit{Share: g.opts.RetryShare, Fixed: g.opts.RetryMin, Window: g.opts.RetryWindow})
	b.SetFraction(time.Now(), g.share.current())
	return b
}

// takeRetry takes a retry from the service's budget, and reports whether there was one.
func (x *exchange) takeRetry() bool {
	x.g.share.apply() // it may have expired
	rank := x.rank()
	taken := x.service.takeRetry(rank)
	if !taken {
		x.g.log.Info("retry refused by the budget", "id", x.meta.ID, "service", x.service.name, "sends", x.sends, "share", x.g.share.current(),
			"rank", rank, "rank_share", x.service.retryShare(rank))
	}
	if tel := x.g.opts.Telemetry; tel != nil {
		result := "taken"
		if !taken {
			result = "refused"
		}
		tel.Scope().Tagged(map[string]string{"service": x.service.name, "result": result}).Counter("retry_budget_total").Inc(1)
	}
	return taken
}

// rank returns the rank of the request among those that ask for what is scarce.
func (x *exchange) rank() int { return pressure.RankOf(x.route.Priority, x.age >= returnAge) }

// returnAge is the least time that a caller which returns after a refusal has waited; less is how callers' time limits
// differ by themselves.
const returnAge = 50 * time.Millisecond
