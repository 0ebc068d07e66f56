package assign

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
)

// leaderPath drives an assigner whose orders reach only some targets; each order takes no time, and one
// that doesn't reach its target is answered with NotSent.
type leaderPath struct {
	a   *Assigner
	now time.Time
	// unreached are the targets that orders don't reach.
	unreached map[string]bool
	// silent are the targets that orders reach and that don't answer; they are reported after orderTimeout,
	// releases after releaseTimeout.
	silent map[string]bool
	// replaced are the targets whose address another one has.
	replaced map[string]bool
	pending  []pendingOutcome
	// probes counts the probes by target.
	probes map[string]int
}

// releaseTimeout is how long a release may wait for its answer, which comes when the running requests have ended.
const releaseTimeout = 1500 * time.Millisecond

// pendingOutcome is the outcome of an order that is reported later.
type pendingOutcome struct {
	at time.Time
	id uint64
}

func newLeaderPath(a *Assigner, now time.Time) *leaderPath {
	return &leaderPath{a: a, now: now, unreached: map[string]bool{}, silent: map[string]bool{}, replaced: map[string]bool{}, probes: map[string]int{}}
}

// run steps the assigner every 10 ms for a time.
func (p *leaderPath) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(10 * time.Millisecond) {
		p.reportPending()
		actions := p.a.Step(p.now)
		if actions.Write != nil {
			p.a.WriteDone(actions.Write.Generation, true)
		}
		for _, o := range actions.Orders {
			if o.Kind == Probe {
				p.probes[o.Holder.Target]++
			}
			if p.silent[o.Holder.Target] {
				timeout := orderTimeout
				if o.Kind == Release {
					timeout = releaseTimeout
				}
				p.pending = append(p.pending, pendingOutcome{p.now.Add(timeout), o.ID})
				continue
			}
			outcome := Accepted
			switch {
			case p.replaced[o.Holder.Target]:
				outcome = AddressTaken
			case p.unreached[o.Holder.Target]:
				outcome = NotSent
			}
			p.a.OrderDone(p.now, o.ID, outcome, "h")
		}
	}
}

// reportPending reports the orders that had no answer in time.
func (p *leaderPath) reportPending() {
	due := func(o pendingOutcome) bool { return !o.at.After(p.now) }
	for _, o := range p.pending {
		if due(o) {
			p.a.OrderDone(p.now, o.id, Unanswered, "")
		}
	}
	p.pending = slices.DeleteFunc(p.pending, due)
}

// draining returns four targets, one of which drains, and restarted four, one of which is a new instance.
func draining(id string) []directory.Target {
	return changed(id, func(t *directory.Target) { t.Draining = true })
}

func restarted(id string) []directory.Target {
	return changed(id, func(t *directory.Target) { t.StartUnixMilli++ })
}

func changed(id string, change func(t *directory.Target)) []directory.Target {
	targets := testTargets("a", "b", "c", "d")
	for i := range targets {
		if targets[i].ID == id {
			change(&targets[i])
		}
	}
	return targets
}

// Guards against a service whose keys stay without a holder after its leader could reach no target for a
// while: a target without keys gets no orders, whose answer alone would show that it is reached again.
func TestTargetsThatWereAllUnreachableAreGivenKeysAgain(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b", "c"), after(2*time.Second))
	p.run(time.Second)
	p.unreached = map[string]bool{"a": true, "b": true, "c": true}
	p.run(12 * time.Second)
	assert.Equal(t, p.a.Coverage().UnassignedKeys, 1<<16)
	assert.Equal(t, p.a.Coverage().Unreachable, 3)
	p.unreached = nil
	p.run(2 * time.Second)
	assert.Equal(t, p.a.Coverage().UnassignedKeys, 0)
	for i := range p.a.spans {
		assert.Assert(t, p.a.spans[i].acked, "from %d", p.a.spans[i].From)
	}
}

// Guards against probes that are sent more often the longer a target is lost, and against probes of
// targets that get orders anyway.
func TestProbesAreFewAndOnlyForTargetsWithoutKeys(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b", "c"), after(2*time.Second))
	p.run(5 * time.Second)
	assert.Equal(t, len(p.probes), 0, "%v", p.probes)
	p.unreached["b"] = true
	p.run(13 * time.Second)
	assert.Assert(t, p.probes["b"] > 0 && p.probes["b"] <= 13, "%v", p.probes)
	assert.Equal(t, len(p.probes), 1, "%v", p.probes)
	p.a.SetTargets(p.now, testTargets("a", "c"))
	before := p.probes["b"]
	p.run(3 * time.Second)
	assert.Equal(t, p.probes["b"], before, "a target that is gone is probed")
}

// Guards against a leader that is cut off itself and takes all keys from their holders before another
// router could lead; keys of a single lost target are still moved early.
func TestManySilentTargetsCountAsUnreachableLater(t *testing.T) {
	for name, test := range map[string]struct {
		unreached []string
		early     bool
	}{"one of three": {[]string{"a"}, true}, "all": {[]string{"a", "b", "c"}, false}} {
		t.Run(name, func(t *testing.T) {
			p := newLeaderPath(newSettled(t, "a", "b", "c"), after(2*time.Second))
			p.run(time.Second)
			for _, id := range test.unreached {
				p.unreached[id] = true
			}
			p.run(1400 * time.Millisecond)
			assert.Equal(t, p.a.Coverage().Unreachable > 0, test.early)
			p.run(time.Second)
			assert.Equal(t, p.a.Coverage().Unreachable, len(test.unreached))
		})
	}
}

// Guards against a target that holds nothing being counted among the holders that don't answer.
func TestSilentHoldersAreThoseWithKeys(t *testing.T) {
	p := newLeaderPath(newSettled(t, "a", "b"), after(2*time.Second))
	p.a.SetTargets(p.now, append(testTargets("a", "b"), directory.Target{ID: "new", StartUnixMilli: 1, Service: "s", Slots: 4}))
	p.unreached["a"] = true
	p.run(800 * time.Millisecond)
	holders, silent := p.a.SilentHolders(2)
	assert.Equal(t, holders, 2)
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].ID, "a")
}
