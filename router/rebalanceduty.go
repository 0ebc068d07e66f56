package router

import (
	"cmp"
	"slices"
	"time"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/rendezvous"
	"tarragongw/core/routing"
	"tarragongw/duty"
	"tarragongw/peer"
	"tarragongw/peer/peerpb"
	"tarragongw/peer/wire"
)

// rebalanceDuty reports the load of the targets that this router sends to, and plans
// the moves of the services that it is chosen for. The grantor of a unit's present
// owner carries a move out; it alone knows what is under way and writes the unit away.
type rebalanceDuty struct {
	r    *Router
	duty *duty.Duty

	// services is the planning state by service; only the duty itself uses it.
	services map[string]*serviceLoad
}

type rebalanceTicked struct{}

// loadReceived and movesReceived are messages of other routers.
type (
	loadReceived struct {
		kind    string
		payload []byte
	}
	movesReceived struct{ payload []byte }
)

func newRebalanceDuty(r *Router) *rebalanceDuty {
	return &rebalanceDuty{r: r, services: make(map[string]*serviceLoad)}
}

// start runs the duty. Its mailbox drops the oldest where it is full: loads are
// reported again, and moves are planned again.
func (b *rebalanceDuty) start() {
	b.duty = b.r.startDuty(true, b.handle)
	b.r.run(b.tick)
}

// tick has no flag that spares a second tick in the mailbox: a tick that the mailbox
// dropped would leave the flag set and end all ticks.
func (b *rebalanceDuty) tick() {
	ticker := time.NewTicker(b.r.opts.Settings.Timers.Rebalance)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.duty.Tell(rebalanceTicked{})
		case <-b.r.lifetime.Done():
			return
		}
	}
}

func (b *rebalanceDuty) handle(message any) {
	now := time.Now()
	switch m := message.(type) {
	case rebalanceTicked:
		b.round(now)
	case loadReceived:
		decode := wire.DecodeLoad
		if m.kind == wire.KindCompactLoad {
			decode = wire.DecodeCompactLoad
		}
		report, err := decode(m.payload)
		if err != nil {
			b.r.log.Warn("unreadable load report", "error", err)
			return
		}
		b.keep(now, report)
	case movesReceived:
		order, err := wire.DecodeMoves(m.payload)
		if err != nil {
			b.r.log.Warn("unreadable move order", "error", err)
			return
		}
		b.carryOut(order)
	}
}

// round reports what this router measured and plans what it is chosen for.
func (b *rebalanceDuty) round(now time.Time) {
	v := b.r.view.Load()
	if v == nil {
		return
	}
	gate := b.r.gate.Load()
	for name, u := range b.r.upstreams.all() {
		service := v.compiled.Service(u.spec.Service)
		if service == nil || service.Division != model.ByKey {
			continue
		}
		rows := u.loads.take(now, func(key string) routing.Unit { return v.compiled.UnitOf(service.Name, key) })
		if term := gate.Term(name); term != 0 {
			b.report(now, service.Name, name, term, rows)
		}
	}
	for i := range v.model().Services {
		service := &v.model().Services[i]
		if service.Division != model.ByKey || b.chosen(service.Name) != b.r.self.Name {
			delete(b.services, service.Name)
			continue
		}
		b.plan(now, v, service)
	}
}

// chosen is the router that plans the service's moves in this data centre. Routers
// that disagree for a moment do no harm but to plan twice: a grantor moves a unit
// only away from its present owner.
func (b *rebalanceDuty) chosen(service string) string {
	names := liveNames(b.r.members.view.Load(), b.r.self.DataCentre)
	top := rendezvous.Top("rebalance/"+service, 1, names)
	if len(top) == 0 {
		return b.r.self.Name
	}
	return top[0]
}

func (b *rebalanceDuty) report(now time.Time, service, target string, term uint64, rows []loadOf) {
	slices.SortFunc(rows, func(x, y loadOf) int {
		return cmp.Or(cmp.Compare(y.load, x.load), cmp.Compare(x.unit.Slot, y.unit.Slot), cmp.Compare(x.unit.Range, y.unit.Range))
	})
	message := &peerpb.LoadReport{Service: service, Target: target, Term: term}
	for _, row := range rows[:min(len(rows), wire.MaxUnitLoads)] {
		message.Units = append(message.Units, &peerpb.UnitLoad{
			Unit: row.unit.String(), Load: row.load, AtMostOnce: row.once, HotKeyHash: row.hotHash, HotLoad: row.hotLoad,
		})
	}
	chosen := b.chosen(service)
	if chosen == b.r.self.Name {
		b.keep(now, message)
		return
	}
	kind, encode := loadCoding(b.r.peers.Minor(chosen))
	payload, err := encode(message)
	if err != nil {
		b.r.log.Error("load report not encoded", "error", err)
		return
	}
	b.r.peers.Send(chosen, kind, payload)
}

// loadCoding is how a report goes to a router by what is known of its version.
func loadCoding(minor uint32, known bool) (kind string, encode func(*peerpb.LoadReport) ([]byte, error)) {
	if known && minor >= peer.MinorCompactLoads {
		return wire.KindCompactLoad, wire.EncodeCompactLoad
	}
	return wire.KindLoad, wire.EncodeLoad
}

// receive hands a message of another router to the duty.
func (b *rebalanceDuty) receive(_ peer.Identity, kind string, payload []byte) {
	if kind == wire.KindMoves {
		b.duty.Tell(movesReceived{payload})
		return
	}
	b.duty.Tell(loadReceived{kind, payload})
}

// order sends the moves away from one target to its grantor.
func (b *rebalanceDuty) order(message *peerpb.MoveOrder) {
	grantor := b.r.table.Load().Grantor(message.From)
	if grantor.Router == b.r.self.Name {
		b.carryOut(message)
		return
	}
	payload, err := wire.EncodeMoves(message)
	if err != nil {
		b.r.log.Error("move order not encoded", "error", err)
		return
	}
	b.r.peers.Send(grantor.Router, wire.KindMoves, payload)
}

// carryOut hands the moves that are still right to the ownership core. A unit with
// work under way that may run at most once stays: to move it means to wait for that
// work or to cut it off, and nobody could say then whether it ran.
func (b *rebalanceDuty) carryOut(message *peerpb.MoveOrder) {
	v := b.r.view.Load()
	u := b.r.upstreams.settled(message.From)
	if v == nil || u == nil || b.r.gate.Load().Term(message.From) == 0 {
		return
	}
	units := unitsByName(v, message.Service)
	var event ownership.MovesRequested
	for _, move := range message.Moves {
		unit, known := units[move.Unit]
		if !known || !b.mayReceive(v, unit, move.To) || u.loads.protected(unit) {
			continue
		}
		event.Moves = append(event.Moves, ownership.Move{Unit: unit, From: message.From, To: move.To})
	}
	if len(event.Moves) == 0 {
		return
	}
	b.r.moves(message.Service).Inc(int64(len(event.Moves)))
	b.r.owner.duty.Tell(event)
}

// mayReceive checks the receiver against the configuration in force here, which may
// be newer than the planner's.
func (b *rebalanceDuty) mayReceive(v *view, unit routing.Unit, to string) bool {
	spec := v.compiled.Target(to)
	if spec == nil || spec.Service != unit.Service || spec.Drain || spec.DataCentre != b.r.self.DataCentre {
		return false
	}
	eligible := v.compiled.Eligible(unit)
	return unit.Kind != routing.RangeUnit || slices.Contains(eligible, to)
}

func unitsByName(v *view, service string) map[string]routing.Unit {
	units := v.compiled.Units(service)
	out := make(map[string]routing.Unit, len(units))
	for _, unit := range units {
		out[unit.String()] = unit
	}
	return out
}
