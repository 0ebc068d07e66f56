package ownmeasure

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershiptest"
	"tarragongw/core/routing"
)

// assignment is the state of a unit, the argument of an assignment and the result
// of a read.
type assignment struct {
	token uint64
	to    string
}

// operation is the input of one operation on one unit.
type operation struct {
	unit routing.Unit
	read bool
	// acked says that the assignment was acknowledged; others may have landed or not.
	acked bool
	value assignment
}

// register is a unit whose owner changes only from one token to the next.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byUnit := map[routing.Unit][]porcupine.Operation{}
		for _, o := range history {
			u := o.Input.(operation).unit
			byUnit[u] = append(byUnit[u], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range byUnit {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return assignment{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(assignment), input.(operation)
		switch {
		case o.read:
			return s == o.value, s
		case s.token+1 == o.value.token:
			return true, o.value
		default:
			return !o.acked, s
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder turns a world's trace into a history.
type recorder struct {
	ops      []porcupine.Operation
	readAt   map[string]time.Duration
	proposed map[string]int
	seen     map[string]bool
}

func (r *recorder) trace(at time.Duration, router string, what any) {
	switch e := what.(type) {
	case ownership.Read:
		r.readAt[fmt.Sprint(router, e.Key, e.SentAt)] = at
	case ownership.CAS:
		r.each(e.Key, e.Value, func(u routing.Unit, a assignment) { r.propose(at, router, u, a) })
	case ownership.StoreChanged:
		r.each(e.Key, e.Value, func(u routing.Unit, a assignment) { r.seen[fmt.Sprint(u, a)] = true })
	case ownership.StoreRead:
		called, ok := r.readAt[fmt.Sprint(router, e.Key, e.SentAt)]
		if e.Outcome != ownership.Landed || !ok {
			return
		}
		r.each(e.Key, e.Value, func(u routing.Unit, a assignment) {
			r.seen[fmt.Sprint(u, a)] = true
			r.ops = append(r.ops, porcupine.Operation{Input: operation{unit: u, read: true, value: a}, Call: int64(called), Return: int64(at)})
		})
	case ownership.Assigned:
		i, ok := r.proposed[fmt.Sprint(router, e.Unit, assignment{e.Token, e.To})]
		if ok {
			o := r.ops[i].Input.(operation)
			o.acked = true
			r.ops[i].Input, r.ops[i].Return = o, int64(at)
		}
	}
}

func (r *recorder) each(key string, value []byte, f func(routing.Unit, assignment)) {
	if !ownership.IsShardKey(key) || len(value) == 0 {
		return
	}
	s, err := ownership.DecodeShard(key, value)
	if err != nil {
		panic(err)
	}
	s.Each(func(u routing.Unit, st ownership.UnitState) { f(u, assignment{st.Token, st.Target}) })
}

// propose notes a write of an assignment that nobody has seen yet. Until it is
// acknowledged it may land at any time, up to the end.
func (r *recorder) propose(at time.Duration, router string, u routing.Unit, a assignment) {
	key := fmt.Sprint(router, u, a)
	if _, again := r.proposed[key]; again || r.seen[fmt.Sprint(u, a)] || a.token == 0 {
		return
	}
	r.proposed[key] = len(r.ops)
	r.ops = append(r.ops, porcupine.Operation{Input: operation{unit: u, value: a}, Call: int64(at), Return: int64(time.Hour)})
}

// recordHistory runs moves through pauses, losses, outages and lost replies.
func recordHistory(seed int64) []porcupine.Operation {
	rng := rand.New(rand.NewSource(seed))
	r := &recorder{readAt: map[string]time.Duration{}, proposed: map[string]int{}, seen: map[string]bool{}}
	opt := worldOptions(seed, 4, kinds[seed%int64(len(kinds))].check, 50*time.Millisecond)
	opt.ReplyLoss, opt.Trace = 0.1, r.trace
	w := ownershiptest.New(opt)
	for range 40 {
		w.Run(150 * time.Millisecond)
		for _, u := range w.Units() {
			if rng.Intn(10) == 0 {
				w.RequestMoves(ownership.Move{Unit: u, From: w.Owner(u), To: fmt.Sprintf("t%02d", rng.Intn(4))})
			}
		}
		switch rng.Intn(8) {
		case 0:
			w.PauseRouter(rng.Intn(routers), 500*time.Millisecond)
		case 1:
			w.KillRouter(rng.Intn(routers), 300*time.Millisecond)
		case 2:
			w.OutageOfStore(300 * time.Millisecond)
		case 3:
			w.IsolateRouter(rng.Intn(routers), 400*time.Millisecond)
		}
	}
	w.Run(3 * time.Second)
	return r.ops
}

// Symptom: an assignment that was acknowledged is not the unit's next state.
// Sequence: moves with lost replies, pauses, restarts and outages. Cause: a write
// repeated, lost or acknowledged without having landed.
func TestAcknowledgedAssignmentsAreLinearisable(t *testing.T) {
	acked := 0
	for seed := int64(1); seed <= 24; seed++ {
		ops := recordHistory(seed)
		for _, o := range ops {
			if o.Input.(operation).acked {
				acked++
			}
		}
		assert.Equal(t, porcupine.CheckOperationsTimeout(register, ops, time.Minute), porcupine.Ok, "seed %d", seed)
	}
	t.Logf("acknowledged assignments: %d", acked)
	assert.Assert(t, acked > 1000, "only %d", acked)
}

// The check must be able to fail: an acknowledged assignment to another target
// than the one that landed is found.
func TestForgedAcknowledgementIsFound(t *testing.T) {
	ops := recordHistory(1)
	for i, o := range ops {
		in := o.Input.(operation)
		if in.acked && in.value.token > 1 {
			in.value.to = "elsewhere"
			ops[i].Input = in
			break
		}
	}
	assert.Equal(t, porcupine.CheckOperationsTimeout(register, ops, time.Minute), porcupine.Illegal)
}
