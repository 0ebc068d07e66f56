package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

var (
	began  = time.Unix(1000, 0)
	strong = Machine{CPUShare: 0.8, LinkBytesPerSecond: 25e6}
	middle = Machine{CPUShare: 0.4, LinkBytesPerSecond: 1.25e6}
	weak   = Machine{CPUShare: 0.12, LinkBytesPerSecond: 1.25e6}
)

func at(d time.Duration) time.Time { return began.Add(d) }

func TestMachineThatIsStrongerInOneRespectAndWeakerInAnotherDoesNotExceed(t *testing.T) {
	for _, c := range []struct {
		a, b Machine
		want bool
	}{
		{strong, middle, true}, {middle, strong, false}, {middle, weak, true}, {strong, strong, false},
		{Machine{0.8, 1.25e6}, Machine{0.2, 25e6}, false},
		{Machine{0.5, 1e6}, Machine{0.3, 1e6}, false},
		{Machine{}, weak, false}, {strong, Machine{}, false}, {Machine{CPUShare: 0.8}, weak, true},
	} {
		assert.Equal(t, c.a.Exceeds(c.b), c.want, "%v, %v", c.a, c.b)
	}
}

// candidates returns n routers of each machine, named by the machine's place and their number.
func candidates(n int, machines ...Machine) []Candidate {
	var all []Candidate
	for kind, m := range machines {
		for i := range n {
			all = append(all, Candidate{Router: fmt.Sprintf("%d-%d", kind, i), Machine: m})
		}
	}
	return all
}

func TestStandbysAreTheStrongestThatDoNotDecline(t *testing.T) {
	all := candidates(3, weak, middle, strong)
	assert.DeepEqual(t, Standbys(began, all, 2), []string{"2-0", "2-1"})
	for i := range all {
		if all[i].Machine == strong {
			all[i].DeclinesUntil = at(time.Second)
		}
	}
	assert.DeepEqual(t, Standbys(began, all, 8), []string{"1-0", "1-1", "1-2"})
	assert.Equal(t, len(Standbys(began, candidates(3, middle), 8)), 0, "any of routers that are alike may lead")
}

// load replays a leader's renewals: each of 232 holders gets one every half second, and the share
// of them that the machine's link carries is answered in time.
func load(h *Handover, from, to time.Duration, answered float64) {
	const holders = 232
	for d := from; d < to; d += 500 * time.Millisecond {
		for i := range holders {
			h.RecordOrder(at(d), fmt.Sprint("t", i), float64(i) < answered*holders)
		}
	}
}

// Guards against a leader on a weak machine that keeps the lead beside a stronger one, with a link
// that carries one order in ten.
func TestFullLinkOfAWeakLeaderHandsOverToAStrongerRouter(t *testing.T) {
	h := NewHandover(began, middle)
	load(h, 0, 2*time.Second, 0.1)
	successor, why, err := h.Successor(at(2*time.Second), candidates(2, weak, middle, strong))
	assert.NilError(t, err)
	assert.Equal(t, successor, "2-0")
	assert.Equal(t, why, ReasonStronger)
}

// Guards against changing back and forth: the successor keeps the lead, also when it is overloaded
// itself beside the router that has just failed.
func TestLeadIsNotHandedBackAndForth(t *testing.T) {
	first := NewHandover(began, middle)
	load(first, 0, 2*time.Second, 0.1)
	others := candidates(3, weak, middle)
	successor, why, err := first.Successor(at(2*time.Second), others)
	assert.NilError(t, err)
	assert.Equal(t, successor, "1-0")
	assert.Equal(t, why, ReasonOverloaded)
	second := NewHandover(began, middle)
	load(second, 0, 2*time.Second, 0.1)
	for i := range others {
		if others[i].Router == "1-2" {
			others[i].DeclinesUntil = at(10 * time.Second)
		}
	}
	successor, _, err = second.Successor(at(2*time.Second), others)
	assert.Equal(t, successor, "")
	assert.Assert(t, errors.Is(err, ErrNoSuccessor))
}

// Guards against a leader that gives up the lead because of lost targets: those of one of three data
// centres don't answer.
func TestLossOfADataCentreIsNoOverload(t *testing.T) {
	h := NewHandover(began, strong)
	load(h, 0, 3*time.Second, 2.0/3)
	assert.Assert(t, !h.Overloaded(at(3*time.Second)))
	load(h, 3*time.Second, 5*time.Second, 0.2)
	assert.Assert(t, h.Overloaded(at(5*time.Second)))
	successor, _, err := h.Successor(at(5*time.Second), candidates(2, weak))
	assert.Equal(t, successor, "")
	assert.Assert(t, errors.Is(err, ErrNoSuccessor), "weaker routers would do no better")
}

func TestOldOutcomesOfOrdersAreForgotten(t *testing.T) {
	h := NewHandover(began, strong)
	load(h, 0, time.Second, 0)
	assert.Assert(t, h.Overloaded(at(time.Second)))
	assert.Assert(t, !h.Overloaded(at(3*time.Second)))
	assert.Equal(t, len(h.targets), 0)
}

func TestPositionOfRouters(t *testing.T) {
	assert.Equal(t, PositionOf("a", nil), AnyRouter)
	assert.Equal(t, PositionOf("b", []string{"a", "b"}), Position(1))
	assert.Equal(t, PositionOf("c", []string{"a", "b"}), AfterStandbys)
}
