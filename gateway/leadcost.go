package gateway

import (
	"sync/atomic"
	"time"

	"tarragongw/core/assign"
	"tarragongw/peer/feed"
)

// leadCostInterval is how often the leader logs and counts what the lead costs.
const leadCostInterval = 2 * time.Second

// orderOutcomes is the number of outcomes of orders.
const orderOutcomes = int(assign.AddressTaken) + 1

// leadCost counts what this router sends and gets because it leads. It is safe for concurrent use.
type leadCost struct {
	feed     [feed.Parts]atomic.Int64
	outcomes [orderOutcomes]atomic.Int64
	// tableWrites are the bytes of key tables that were sent to the store.
	tableWrites atomic.Int64
}

// leadCosts are the counts of leadCost at a time.
type leadCosts struct {
	feed        [feed.Parts]int64
	outcomes    [orderOutcomes]int64
	orderBytes  int64
	tableWrites int64
	connections int64
}

func (c *leadCost) countFeed(part feed.Part, bytes int) { c.feed[part].Add(int64(bytes)) }

func (c *leadCost) countOrder(outcome assign.Outcome) { c.outcomes[outcome].Add(1) }

// leadCosts returns the counts since the start.
func (g *Gateway) leadCosts() leadCosts {
	now := leadCosts{tableWrites: g.leadCost.tableWrites.Load()}
	for i := range now.feed {
		now.feed[i] = g.leadCost.feed[i].Load()
	}
	for i := range now.outcomes {
		now.outcomes[i] = g.leadCost.outcomes[i].Load()
	}
	if g.opts.Adapter.OrderTraffic != nil {
		bytes, opened := g.opts.Adapter.OrderTraffic()
		now.orderBytes, now.connections = int64(bytes), int64(opened)
	}
	return now
}

// observeCost logs and counts what the lead has cost since the last call, every leadCostInterval.
func (l *leader) observeCost(now time.Time) {
	elapsed := now.Sub(l.costAt)
	if elapsed < leadCostInterval {
		return
	}
	before, current := l.costBefore, l.g.leadCosts()
	l.costBefore, l.costAt = current, now
	attributes := []any{"in", elapsed, "followers", l.g.subscription.followers.Load(),
		"table_write_bytes", current.tableWrites - before.tableWrites, "order_bytes", current.orderBytes - before.orderBytes, "connections", current.connections - before.connections}
	for part := range feed.Parts {
		bytes := current.feed[part] - before.feed[part]
		attributes = append(attributes, part.String()+"_bytes", bytes)
		l.countCost("lead_feed_bytes_total", "part", part.String(), bytes)
	}
	for outcome := range orderOutcomes {
		name, orders := assign.Outcome(outcome).String(), current.outcomes[outcome]-before.outcomes[outcome]
		attributes = append(attributes, name, orders)
		l.countCost("lead_orders_total", "outcome", name, orders)
	}
	l.countCost("lead_table_write_bytes_total", "", "", current.tableWrites-before.tableWrites)
	l.countCost("lead_order_bytes_total", "", "", current.orderBytes-before.orderBytes)
	l.countCost("lead_order_connections_total", "", "", current.connections-before.connections)
	l.g.log.Info("cost of the lead", attributes...)
}

// countCost adds to a counter, with a tag unless its name is empty.
func (l *leader) countCost(name, tag, value string, n int64) {
	if l.g.opts.Telemetry == nil || n <= 0 {
		return
	}
	scope := l.g.opts.Telemetry.Scope()
	if tag != "" {
		scope = scope.Tagged(map[string]string{tag: value})
	}
	scope.Counter(name).Inc(n)
}
