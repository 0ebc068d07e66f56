package gateway

import (
	"net/http"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
	"tarragongw/core/statement"
	"tarragongw/operator"
)

// statements hands on what targets state of themselves in their answers to what keeps it.
type statements struct {
	g          *Gateway
	unreadable map[statement.Kind]*unreadableReports
}

func newStatements(g *Gateway) *statements {
	s := &statements{g: g, unreadable: map[statement.Kind]*unreadableReports{
		statement.Load:    {g: g, counter: "load_reports_unreadable_total", message: "load report not read"},
		statement.Limit:   {g: g, counter: "limits_unreadable_total", message: "limit of a target not read"},
		statement.Leaving: {g: g, counter: "leaving_unreadable_total", message: "leaving of a target not read"},
		statement.Rest:    {g: g, counter: "rests_unreadable_total", message: "rest of a target not read"},
	}}
	if observe := g.opts.Adapter.ObserveOrders; observe != nil {
		observe(s.observeOrder)
	}
	return s
}

// observeAnswer records what the answer of a target to a request that was sent at a time states.
func (g *Gateway) observeAnswer(t *directory.Target, resp *http.Response, sentAt time.Time) {
	said := g.opts.Adapter.DecodeAnswer(resp)
	if !said.IsOf(t.ID) {
		return
	}
	if sentAt.IsZero() {
		said.Load = nil // the answer was due to an earlier request
	}
	g.statements.observe(t, &said)
	g.statedLimits.observe(t, &said, resp.StatusCode < http.StatusMultipleChoices, sentAt)
	g.unreadStatements.observeAnswer(resp.Header)
	if s := g.service(t.Service); s != nil && said.Load != nil {
		s.recordReport(t.ID, *said.Load)
	}
}

// observe records what concerns this router, whatever was answered.
func (s *statements) observe(t *directory.Target, said *statement.Answer) {
	if !said.IsOf(t.ID) {
		return
	}
	for i := range said.Unreadable {
		s.unreadable[said.Unreadable[i].Kind].observe(t, said.Unreadable[i].Err)
	}
	if said.Leaving {
		s.g.statedLeaving.observe(t)
	}
	if said.Rest > 0 {
		s.g.rests.observe(t, said.Rest)
	}
}

// observeOrder records what a target states in its answer to an order or a status check. Limits and load are not read there:
// a target need not state them in all answers.
func (s *statements) observeOrder(holder keyspace.Holder, said statement.Answer) {
	if t, known := s.g.targetOf(holder); known {
		s.observe(&t, &said)
	}
}

// targetOf returns an instance of a target, and whether it is known.
func (g *Gateway) targetOf(holder keyspace.Holder) (directory.Target, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, t := range g.targets {
		if t.Holder() == holder {
			return t, true
		}
	}
	return directory.Target{}, false
}

// describeStatements returns what targets state of themselves, as operators see it.
func (g *Gateway) describeStatements() *operator.TargetLimits {
	described := operator.DescribeTargetLimits(g.opts.Name, g.subscription.leads(), g.statedLimits.current())
	for _, t := range g.statedLeaving.all() {
		described.Leaving = append(described.Leaving, operator.LeavingTarget{Target: t.Holder.Target, KnownMillis: time.Since(t.At).Milliseconds()})
	}
	for _, rest := range g.rests.current() {
		described.Rests = append(described.Rests, operator.TargetRest{
			Target: rest.Holder.Target, Service: rest.Service, LeftMillis: time.Until(rest.Until).Milliseconds(), Asked: rest.Asked,
		})
	}
	return described
}
