package ownership

import (
	"sort"
	"time"

	"tarragongw/core/routing"
)

// move moves one unit from a target whose grantor is this router to the next owner. Only
// that grantor writes units out of a target, in two writes: the first (releasing) is
// visible to a grantor that takes over, which then does not grant the unit again; the
// second names the new owner.
type move struct {
	unit routing.Unit
	from string
	to   string
	// releasedAt is when this router learnt that the first write is in the store.
	releasedAt time.Duration
	// grantExpiresAt is when the target's grant of the unit expires without any further
	// order.
	grantExpiresAt time.Duration
	// confirmed means that the target accepted a set without the unit and has no work on it
	// in flight.
	confirmed bool
	// drained means that no work of this router on the unit is in flight.
	drained bool
}

func (k *Keeper) requestMoves(e MovesRequested) {
	for _, m := range e.Moves {
		k.addMove(m)
	}
}

func (k *Keeper) addMove(m Move) {
	d := k.duties[m.From]
	if d == nil || d.phase != serving || k.moves[m.Unit] != nil || m.From == m.To || m.To == "" {
		return
	}
	if st, ok := k.table.State(m.Unit); ok && st.Target == m.From {
		k.moves[m.Unit] = &move{unit: m.Unit, from: m.From, to: m.To}
	}
}

func (k *Keeper) dropMoves(target string) {
	for u, m := range k.moves {
		if m.from == target {
			delete(k.moves, u)
		}
	}
}

func (k *Keeper) confirmReleases(d *duty, busy []routing.Unit) {
	isBusy := map[routing.Unit]bool{}
	for _, u := range busy {
		isBusy[u] = true
	}
	for _, m := range k.moves {
		if m.from != d.spec.Name || m.releasedAt == 0 || isBusy[m.unit] {
			continue
		}
		if st, ok := d.sentTable.State(m.unit); ok && st.Target == m.from && st.Releasing {
			m.confirmed = true
		}
	}
}

func (k *Keeper) sendClosed(e SendClosed) {
	for _, u := range e.Units {
		if m := k.moves[u]; m != nil && m.from == e.Target && m.releasedAt != 0 {
			m.drained = true
		}
	}
}

// recordChanges collects the changes of one record that go into one write.
type recordChanges struct {
	units    []unitChange
	assigned []Assigned
}

type unitChange struct {
	unit  routing.Unit
	state UnitState
}

func (k *Keeper) advanceMoves(now time.Duration) {
	for _, d := range k.dutyList {
		if d.phase == serving {
			k.adoptReleasing(d)
			k.planLeaving(d)
		}
	}
	if len(k.moves) == 0 {
		return
	}
	byKey := map[string]*recordChanges{}
	closing := map[string][]routing.Unit{}
	for _, m := range k.sortedMoves() {
		k.advanceMove(now, m, byKey, closing)
	}
	k.closeSends(now, closing)
	for _, key := range sortedKeys(byKey) {
		k.writeRecordChanges(now, key, byKey[key])
	}
}

func (k *Keeper) sortedMoves() []*move {
	out := make([]*move, 0, len(k.moves))
	for _, m := range k.moves {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return lessUnit(out[i].unit, out[j].unit) })
	return out
}

func lessUnit(a, b routing.Unit) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	if a.Slot != b.Slot {
		return a.Slot < b.Slot
	}
	return a.Range < b.Range
}

// adoptReleasing continues moves that an earlier grantor started.
func (k *Keeper) adoptReleasing(d *duty) {
	if d.releasesScanned == k.table {
		return
	}
	d.releasesScanned = k.table
	k.table.EachUnit(d.spec.Service, func(u routing.Unit, st UnitState) {
		if st.Target == d.spec.Name && st.Releasing && k.moves[u] == nil {
			k.moves[u] = &move{unit: u, from: st.Target, to: st.Next}
		}
	})
}

func (k *Keeper) advanceMove(now time.Duration, m *move, byKey map[string]*recordChanges, closing map[string][]routing.Unit) {
	d := k.duties[m.from]
	st, ok := k.table.State(m.unit)
	if d == nil || d.phase != serving || !ok || st.Target != m.from {
		delete(k.moves, m.unit)
		return
	}
	if st.Releasing && m.releasedAt == 0 {
		m.releasedAt, m.grantExpiresAt = now, d.grantsExpireAt
		closing[m.from] = append(closing[m.from], m.unit)
	}
	key := UnitKey(m.unit)
	if k.writes[key] != nil || !k.mayWrite(now, d) {
		return
	}
	changes := byKey[key]
	if changes == nil {
		changes = &recordChanges{}
		byKey[key] = changes
	}
	if !st.Releasing {
		changes.units = append(changes.units, unitChange{m.unit, UnitState{Target: st.Target, Token: st.Token, Releasing: true, Next: m.to}})
		return
	}
	if !k.oldOwnerStopped(now, d, m) {
		return
	}
	if to := k.currentReceiver(d, m); to != "" {
		changes.units = append(changes.units, unitChange{m.unit, UnitState{Target: to, Token: st.Token + 1}})
		changes.assigned = append(changes.assigned, Assigned{Unit: m.unit, From: m.from, To: to, Token: st.Token + 1})
	}
}

// mayWrite reports whether this router is the single writer of units that leave the target.
// A router whose authority has expired is not, even if it has not been notified of that
// yet.
func (k *Keeper) mayWrite(now time.Duration, d *duty) bool {
	return !d.withoutStore && !d.received.active && now < d.validUntil(k)
}

// oldOwnerStopped reports whether the old owner provably no longer serves the unit.
func (k *Keeper) oldOwnerStopped(now time.Duration, d *duty, m *move) bool {
	if k.cfg.omit == omitConfirm {
		return m.drained || k.lostTargets[m.from]
	}
	if d.confirmedAt < m.releasedAt {
		// Without a confirmation of the grantor record that was requested after the first
		// write, a grantor that took over in between may have read the units before that
		// write and may grant this one again.
		return false
	}
	if !k.formersDone(now, d, m.unit) {
		return false
	}
	drained := m.drained || now >= m.releasedAt+k.cfg.RequestBound
	switch {
	case !d.spec.Grants.Expires && !d.spec.Grants.ChecksTokens:
		return drained
	case m.confirmed && drained:
		return true
	case !d.spec.Grants.Expires:
		return drained && now >= max(m.releasedAt+k.cfg.OrderBound, d.earlierSendersUntil) && k.lostTargets[m.from]
	case k.lostTargets[m.from]:
		return now >= m.grantExpiresAt
	default:
		return drained && now >= m.grantExpiresAt
	}
}

// currentReceiver returns the next owner; another one is chosen if the planned one is lost
// or is being drained.
func (k *Keeper) currentReceiver(d *duty, m *move) string {
	candidates := k.candidates(d.spec.Service, k.cfg.DataCentre)
	for _, c := range candidates {
		if c.Name == m.to {
			return m.to
		}
	}
	spec := k.service(d.spec.Service)
	if spec == nil {
		return ""
	}
	for _, a := range Assign(k.placed(spec, candidates, m.to), candidates, 0) {
		if a.Unit == m.unit {
			return a.To
		}
	}
	return ""
}

// closeSends tells the shell to stop sending, after the gate was replaced, and requests the
// confirmation that the second write needs.
func (k *Keeper) closeSends(now time.Duration, closing map[string][]routing.Unit) {
	if len(closing) == 0 {
		return
	}
	k.refreshGate()
	for _, target := range sortedKeys(closing) {
		k.emit(CloseSend{Target: target, Units: closing[target], Abort: k.lostTargets[target]})
		k.sendRead(now, k.duties[target])
	}
}

func (k *Keeper) writeRecordChanges(now time.Duration, key string, changes *recordChanges) {
	if len(changes.units) == 0 {
		return
	}
	e := k.table.unitShard(changes.units[0].unit)
	next := e.shard.unpack()
	for _, c := range changes.units {
		*next.at(c.unit) = c.state
	}
	op := k.nextOp()
	next.Ops = next.Ops.with(op)
	k.put(now, key, e.revision, op, Update{Shard: next}, changes.assigned...)
}
