package ownership

import (
	"sort"
	"time"

	"tarragongw/core/routing"
)

// advanceUnowned assigns units without an owner to a target. For each record the router
// that ranks first tries; if several routers believe that they rank first, the
// compare-and-swap decides. A unit without an owner has no sender, so any router may write
// it.
func (k *Keeper) advanceUnowned(now time.Duration) {
	if !k.checkUnowned || len(k.live) == 0 || k.stopping {
		return
	}
	k.checkUnowned = false
	for i := range k.services {
		k.placeUnowned(now, &k.services[i])
	}
}

func (k *Keeper) placeUnowned(now time.Duration, spec *ServiceSpec) {
	candidates := k.candidates(spec.Name, "")
	for _, key := range shardKeys(spec) {
		if k.writes[key] != nil || k.rankLive(key)[0] != k.cfg.Self {
			continue
		}
		if !k.ensureRead(now, key, 0) {
			k.checkUnowned = true
			continue
		}
		k.placeRecord(now, spec, key, candidates)
	}
}

// placeRecord assigns the units of the record that have no owner, taking into account the
// units that the targets already own.
func (k *Keeper) placeRecord(now time.Duration, spec *ServiceSpec, key string, candidates []Candidate) {
	want, revision := k.recordWithAllUnits(spec, key)
	if want == nil {
		return
	}
	index := map[string]int{}
	for i, c := range candidates {
		index[c.Name] = i
	}
	var units []Placed
	want.Each(func(u routing.Unit, st UnitState) {
		if st.Target == "" {
			units = append(units, Placed{Unit: u, Eligible: eligibleFor(spec, u, index)})
		}
	})
	if len(units) == 0 {
		return
	}
	units = append(units, k.placed(spec, candidates, "")...)
	var assigned []Assigned
	for _, m := range Assign(units, candidates, 0) {
		if st := want.at(m.Unit); st != nil && st.Target == "" && m.From == "" {
			*st = UnitState{Target: m.To, Token: st.Token + 1}
			assigned = append(assigned, Assigned{Unit: m.Unit, To: m.To, Token: st.Token})
		}
	}
	if len(assigned) == 0 {
		return
	}
	op := k.nextOp()
	want.Ops = want.Ops.with(op)
	k.put(now, key, revision, op, Update{Shard: want}, assigned...)
}

// recordWithAllUnits returns a copy of the record that contains all units of the service,
// and the record's revision.
func (k *Keeper) recordWithAllUnits(spec *ServiceSpec, key string) (*Shard, uint64) {
	kind, index := shardOf(spec, key)
	want := &Shard{Service: spec.Name, Kind: kind, Index: index}
	var revision uint64
	if e := k.table.shard(spec.Name, kind, index); e != nil {
		want, revision = e.shard.unpack(), e.revision
	}
	if kind == routing.RangeUnit {
		addRanges(want, spec)
		return want, revision
	}
	count := min(spec.HashSlots-index*ShardSlots, ShardSlots)
	for uint32(len(want.Slots)) < count {
		want.Slots = append(want.Slots, UnitState{})
	}
	return want, revision
}

func shardOf(spec *ServiceSpec, key string) (routing.UnitKind, uint32) {
	slots := (spec.HashSlots + ShardSlots - 1) / ShardSlots
	for i, k := range shardKeys(spec) {
		if k != key {
			continue
		}
		if uint32(i) < slots {
			return routing.SlotUnit, uint32(i)
		}
		return routing.RangeUnit, uint32(i) - slots
	}
	return routing.SlotUnit, 0
}

func addRanges(s *Shard, spec *ServiceSpec) {
	known := map[string]UnitState{}
	names := append([]string(nil), s.Names...)
	for i, n := range s.Names {
		known[n] = s.Ranges[i]
	}
	for _, r := range spec.Ranges {
		if _, ok := known[r.Name]; !ok && rangeBucket(r.Name) == s.Index {
			names = append(names, r.Name)
		}
	}
	sort.Strings(names)
	s.Names, s.Ranges = names, make([]UnitState, len(names))
	for i, n := range names {
		s.Ranges[i] = known[n]
	}
}
