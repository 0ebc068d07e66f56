package ownmeasure

import (
	"fmt"
	"io"
	"math/rand"
	"time"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/routing"
)

// moved compares the moves on loss and on join with the least possible.
func moved(out io.Writer, _ Options) error {
	for _, size := range []struct{ units, targets int }{{4096, 16}, {16384, 12}, {16384, 400}} {
		cs := make([]ownership.Candidate, size.targets+1)
		for i := range cs {
			cs[i] = ownership.Candidate{Name: fmt.Sprintf("t%03d", i), Weight: 1}
		}
		units := make([]ownership.Placed, size.units)
		for i := range units {
			units[i].Unit.Slot = uint32(i)
		}
		for _, m := range ownership.Assign(units, cs[:size.targets], 0) {
			units[m.Unit.Slot].Owner = m.To
		}
		lost := 0
		for _, u := range units {
			if u.Owner == cs[0].Name {
				lost++
			}
		}
		onLoss := len(ownership.Assign(units, cs[1:size.targets], 0))
		least := size.units / (size.targets + 1)
		onJoin := len(ownership.Assign(units, cs, size.units))
		fmt.Fprintf(out, "assign units=%d targets=%d loss: moved=%d least=%d extra=%d join: moved=%d least=%d extra=%.1f%%\n",
			size.units, size.targets, onLoss, lost, onLoss-lost, onJoin, least, 100*float64(onJoin-least)/float64(least))
	}
	return nil
}

// sizes prints the bytes of the records, fresh and when every slot was moved at a
// time of its own, which is the largest that a record can become.
func sizes(out io.Writer, opt Options) error {
	rng := rand.New(rand.NewSource(opt.Seed))
	for _, size := range []struct {
		name    string
		targets int
		ranges  int
	}{{"today", 16, 200}, {"design", 400, 100000}} {
		fresh, worst := slotRecord(rng, size.targets, false), slotRecord(rng, size.targets, true)
		g := ownership.GrantorRecord{Target: "faq-viewer-doto-0001", Term: 1 << 20, Router: router(1),
			Successors: []ownership.Router{router(2), router(3)}, Ops: ops()}
		fmt.Fprintf(out, "record size=%s targets=%d slots=%d fresh=%dB worst=%dB ranges=%d per record=%d range_record=%dB grantor=%dB\n",
			size.name, size.targets, ownership.ShardSlots, len(fresh), len(worst), size.ranges, size.ranges/ownership.RangeBuckets,
			len(rangeRecord(rng, size.targets, size.ranges/ownership.RangeBuckets)), len(g.Encode()))
	}
	return nil
}

func router(i int) ownership.Router {
	return ownership.Router{Name: fmt.Sprintf("router-doto-%04d", i), Incarnation: 1 << 40}
}

func ops() ownership.Ops {
	var out ownership.Ops
	for i := range 32 {
		out = append(out, ownership.Op{Router: router(i), Sequence: 1 << 20})
	}
	return out
}

func slotRecord(rng *rand.Rand, targets int, worst bool) []byte {
	s := ownership.Shard{Service: "faq-viewer", Ops: ops()}
	for i := range ownership.ShardSlots {
		st := ownership.UnitState{Target: targetName(i * targets / ownership.ShardSlots), Token: 1}
		if worst {
			st = ownership.UnitState{Target: targetName(rng.Intn(targets)), Token: uint64(1<<20 + rng.Intn(1<<20)),
				Releasing: true, Next: targetName(rng.Intn(targets))}
		}
		s.Slots = append(s.Slots, st)
	}
	return s.Encode()
}

func targetName(i int) string { return fmt.Sprintf("faq-viewer-doto-%04d", i) }

func rangeRecord(rng *rand.Rand, targets, ranges int) []byte {
	s := ownership.Shard{Service: "faq-viewer", Kind: routing.RangeUnit, Ops: ops()}
	for i := range ranges {
		s.Names = append(s.Names, fmt.Sprintf("stall-%08d", i))
		s.Ranges = append(s.Ranges, ownership.UnitState{Target: targetName(rng.Intn(targets)), Token: uint64(rng.Intn(1 << 20))})
	}
	return s.Encode()
}

// cost prints the store calls of the grantors and the processor time of the core,
// all routers of one data centre together, at the default interval of renewal.
func cost(out io.Writer, opt Options) error {
	for _, n := range []int{6, 12, 24, 48} {
		w := world(opt.Seed, n, model.GrantCheck{ChecksTokens: true, Expires: true}, 100*time.Millisecond)
		w.Run(5 * time.Second)
		w0, r0 := w.StoreCalls()
		began := time.Now()
		w.Run(10 * time.Second)
		spent := time.Since(began)
		w1, r1 := w.StoreCalls()
		fmt.Fprintf(out, "cost targets=%d routers=%d store_reads/s=%.1f store_writes/s=%.1f simulated 10s in %v of one core (with the fakes)\n",
			n, routers, float64(r1-r0)/10, float64(w1-w0)/10, spent.Round(time.Millisecond))
	}
	return nil
}
