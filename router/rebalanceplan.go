package router

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"tarragongw/core/balance"
	"tarragongw/core/model"
	"tarragongw/core/routing"
	"tarragongw/eventlog"
	"tarragongw/peer/peerpb"
	"tarragongw/telemetry"
)

const (
	// loadGain is the weight of a new report in the estimate of a unit's load.
	loadGain = 0.5
	// freshIntervals is how many intervals a report is good for, and settleIntervals
	// how long the estimate of a unit that moved is left alone.
	freshIntervals  = 3
	settleIntervals = 2
	// leastUse is the part of all slots below which nothing is moved: the estimates are
	// noise then, and no target can be busy.
	leastUse = 0.05
	// hotReports is how many reports in a row must name the same key; one alone may
	// have seen a handful of requests.
	hotReports = 5
	// proposeAgain is when a hot key is proposed once more.
	proposeAgain = 10 * time.Minute
)

// serviceLoad is what the chosen router knows of one service.
type serviceLoad struct {
	rebalancer *balance.Rebalancer
	imbalance  *telemetry.Gauge
	reports    map[string]*targetLoad
	units      map[string]*unitEstimate
}

// targetLoad is the last report on a target.
type targetLoad struct {
	at    time.Time
	units map[string]*peerpb.UnitLoad
}

// unitEstimate is the smoothed load of a unit and its last move.
type unitEstimate struct {
	load  float64
	token uint64
	moved time.Time
	// proposed is when its hot key was last proposed.
	proposed time.Time
	hotHash  uint64
	hotLoad  float64
	// hotFor counts the reports in a row that named the same hot key.
	hotFor int
	once   bool
}

// keep stores a report for the next plan.
func (b *rebalanceDuty) keep(now time.Time, message *peerpb.LoadReport) {
	v := b.r.view.Load()
	if v == nil || v.compiled.Target(message.Target) == nil || v.compiled.Service(message.Service) == nil {
		return
	}
	units := make(map[string]*peerpb.UnitLoad, len(message.Units))
	for _, u := range message.Units {
		units[u.Unit] = u
	}
	b.state(message.Service).reports[message.Target] = &targetLoad{at: now, units: units}
}

func (b *rebalanceDuty) state(service string) *serviceLoad {
	s := b.services[service]
	if s == nil {
		s = &serviceLoad{
			rebalancer: balance.NewRebalancer(balance.RebalanceConfig{MovesPerMinute: b.r.opts.Settings.Limits.MovesPerMinute}),
			imbalance:  b.r.imbalance(service),
			reports:    make(map[string]*targetLoad),
			units:      make(map[string]*unitEstimate),
		}
		b.services[service] = s
	}
	return s
}

// plan estimates the loads, asks the core for moves and orders them. It does nothing
// until each target that takes units has reported: one that is silent would look
// idle and be given everything.
func (b *rebalanceDuty) plan(now time.Time, v *view, service *model.Service) {
	s := b.state(service.Name)
	interval := b.r.opts.Settings.Timers.Rebalance
	in, complete := b.input(now, v, service, s, interval)
	if !complete {
		return
	}
	imbalance := balance.Imbalance(in)
	s.imbalance.Set(int64(1000 * imbalance))
	b.r.past.setImbalance(now, service.Name, imbalance)
	if !worthMoving(&in) || b.r.opts.Settings.Limits.MovesPerMinute == 0 {
		return
	}
	plan := s.rebalancer.Plan(now, in)
	for _, split := range plan.Splits {
		b.propose(now, service.Name, s, split)
	}
	orders := make(map[string]*peerpb.MoveOrder)
	for _, move := range plan.Moves {
		if move.Forced {
			// The ownership core empties targets that leave or are lost by itself.
			continue
		}
		order := orders[move.From]
		if order == nil {
			order = &peerpb.MoveOrder{Service: service.Name, From: move.From}
			orders[move.From] = order
		}
		order.Moves = append(order.Moves, &peerpb.UnitMove{Unit: move.Unit, To: move.To})
	}
	for _, order := range orders {
		b.order(order)
	}
}

// input collects the units and targets of this data centre; complete is false where
// a report is missing.
func (b *rebalanceDuty) input(now time.Time, v *view, service *model.Service, s *serviceLoad, interval time.Duration) (in balance.Input, complete bool) {
	in.Weights = service.Weights
	for i := range v.model().Targets {
		spec := &v.model().Targets[i]
		if spec.Service != service.Name || spec.DataCentre != b.r.self.DataCentre {
			continue
		}
		t := balance.Target{Name: spec.Name, DataCentre: spec.DataCentre, Capacity: float64(max(spec.Slots, 1))}
		t.Eligible = !spec.Drain && !b.r.lost.has(spec.Name)
		report := s.reports[spec.Name]
		if t.Eligible && (report == nil || now.Sub(report.at) > freshIntervals*interval) {
			return in, false
		}
		in.Targets = append(in.Targets, t)
	}
	allowed := b.addUnits(now, v, service, s, interval, &in)
	in.Allowed = func(unit *balance.Unit, target *balance.Target) bool {
		eligible, limited := allowed[unit.Name]
		return !limited || slices.Contains(eligible, target.Name)
	}
	if len(allowed) == 0 {
		in.Allowed = nil
	}
	return in, len(in.Targets) > 1
}

// addUnits adds the units that the targets own and returns the owners allowed for
// those that are limited to some.
func (b *rebalanceDuty) addUnits(now time.Time, v *view, service *model.Service, s *serviceLoad, interval time.Duration, in *balance.Input) map[string][]string {
	here := make(map[string]bool, len(in.Targets))
	for i := range in.Targets {
		here[in.Targets[i].Name] = true
	}
	allowed := make(map[string][]string)
	table := b.r.table.Load()
	for _, unit := range v.compiled.Units(service.Name) {
		state, known := table.State(unit)
		if !known || !here[state.Target] {
			continue
		}
		name := unit.String()
		if unit.Kind == routing.RangeUnit {
			allowed[name] = v.compiled.Eligible(unit)
		}
		e := s.estimate(now, name, state.Token, interval, s.reports[state.Target])
		u := balance.Unit{
			Name: name, Owner: state.Target, Load: e.load, Moved: e.moved,
			// A unit on its way is as good as gone; nothing more is to be planned for it.
			Protected: e.once || state.Releasing,
			Single:    unit.Kind == routing.RangeUnit && isSingle(v.model(), unit.Range),
		}
		if e.hotFor >= hotReports {
			u.HotKey, u.HotLoad = strconv.FormatUint(e.hotHash, 16), e.hotLoad
		}
		in.Units = append(in.Units, u)
	}
	slices.SortFunc(in.Units, func(x, y balance.Unit) int { return cmp.Compare(x.Name, y.Name) })
	return allowed
}

func isSingle(m *model.Model, name string) bool {
	for i := range m.Ranges {
		if m.Ranges[i].Name == name {
			return m.Ranges[i].From == m.Ranges[i].To
		}
	}
	return false
}

// estimate takes the owner's report on a unit into its estimate. For a while after a
// move it is left as it was: the new owner's first reports cover only a part of their
// interval.
func (s *serviceLoad) estimate(now time.Time, name string, token uint64, interval time.Duration, report *targetLoad) *unitEstimate {
	e := s.units[name]
	if e == nil {
		e = &unitEstimate{token: token}
		s.units[name] = e
	}
	if e.token != token {
		e.token, e.moved = token, now
	}
	if !e.moved.IsZero() && now.Sub(e.moved) < settleIntervals*interval {
		return e
	}
	var seen *peerpb.UnitLoad
	if report != nil {
		seen = report.units[name]
	}
	e.load += loadGain * (seen.GetLoad() - e.load)
	if hash := seen.GetHotKeyHash(); hash != e.hotHash {
		e.hotHash, e.hotLoad, e.hotFor = hash, 0, 0
	}
	if e.hotHash != 0 {
		e.hotFor++
	}
	e.hotLoad += loadGain * (seen.GetHotLoad() - e.hotLoad)
	e.once = seen.GetAtMostOnce()
	return e
}

func worthMoving(in *balance.Input) bool {
	var load, capacity float64
	for i := range in.Units {
		load += in.Units[i].Load
	}
	for i := range in.Targets {
		capacity += in.Targets[i].Capacity
	}
	return load >= leastUse*capacity
}

// propose tells operators of a key that should be a unit of its own. The router
// never changes their configuration; and the key itself, which may be a secret of
// the callers, is named by its hash alone.
func (b *rebalanceDuty) propose(now time.Time, service string, s *serviceLoad, split balance.Split) {
	e := s.units[split.Unit]
	if e == nil || (!e.proposed.IsZero() && now.Sub(e.proposed) < proposeAgain) {
		return
	}
	e.proposed = now
	b.r.journal.Record(eventlog.Event{
		Kind:    eventlog.HotKeyFound,
		Cause:   "one key makes up most of its unit; a range of this key alone could move by itself",
		Service: service,
		Unit:    split.Unit,
		Router:  b.r.self.Name,
		Fields: []eventlog.Field{
			eventlog.F("hash", split.Key),
			eventlog.F("slots_used", strconv.FormatFloat(split.Load, 'f', 2, 64)),
		},
	})
}

// imbalance is the gauge of the busiest target over the mean, in thousandths.
func (r *Router) imbalance(service string) *telemetry.Gauge {
	if g, ok := r.imbalances.Load(service); ok {
		return g.(*telemetry.Gauge)
	}
	g := r.tel.Gauge("imbalance_thousandths", map[string]string{"service": service})
	r.imbalances.Store(service, g)
	return g
}

// moves counts the units that rebalancing moves.
func (r *Router) moves(service string) tally.Counter {
	return r.tel.Scope().Tagged(map[string]string{"service": service}).Counter("rebalance_moves_total")
}
