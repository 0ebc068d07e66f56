package gateway

import (
	"tarragongw/core/retry"
)

// newBudget returns the retry budget of one service.
//
// The platform limits the attempts beyond the first of all routers together in any window of time:
// to a share of the requests plus a fixed number. Half of the fixed number may accumulate as a burst
// and half is refilled within a window, so that no window gets more. A tenth of the limit is left
// unused, for routers whose count of routers is out of date.
func (g *Gateway) newBudget() *retry.Budget {
	minRetries := g.opts.RetryMin * budgetUsableShare / 2
	return retry.NewBudget(retry.BudgetConfig{
		RetriesPerSuccess: g.opts.RetryShare * budgetUsableShare, Burst: max(minRetries, 1), DivideBurst: true, MinPerSecond: minRetries / g.opts.RetryWindow.Seconds(),
	}, g.routerCount())
}

// budgetUsableShare is the part of the platform's limit that is used, see newBudget.
const budgetUsableShare = 0.9

// takeRetry takes a retry from the service's budget, and reports whether there was one.
func (x *exchange) takeRetry() bool {
	taken := x.service.takeRetry()
	if !taken {
		x.g.log.Info("retry refused by the budget", "id", x.meta.ID, "service", x.service.name, "sends", x.sends, "routers", x.g.countedRouters())
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
