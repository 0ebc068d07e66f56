package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testRouter is one router among members whose messages the test sends.
type testRouter struct {
	core *Core
	now  time.Time
	// sent holds the messages sent since the last clear, by kind.
	sent map[Kind][]Send
	lost map[string]time.Time
}

// newTestRouter returns the router a, which has just heard the others.
func newTestRouter(others ...string) *testRouter {
	b := &testRouter{
		core: New(DefaultConfig(), inDoto("a"), rand.New(rand.NewPCG(1, 1))), now: epoch,
		sent: map[Kind][]Send{}, lost: map[string]time.Time{},
	}
	b.step(Tick{})
	for _, name := range others {
		b.receive(name, Message{Kind: Heartbeat, Version: 1})
	}
	clear(b.sent)
	return b
}

func (b *testRouter) step(e Event) {
	for _, a := range b.core.Step(b.now, e) {
		switch a := a.(type) {
		case Send:
			b.sent[a.Message.Kind] = append(b.sent[a.Message.Kind], a)
		case Changed:
			if a.To == Lost {
				b.lost[a.Member.Name] = b.now
			}
		}
	}
}

func (b *testRouter) receive(name string, m Message) {
	b.step(Received{From: inDoto(name), Message: m})
}

// run lets time pass in ticks and calls each, if set, with the time passed before each
// tick.
func (b *testRouter) run(span time.Duration, each func(passed time.Duration)) {
	for passed := time.Duration(0); passed < span; passed += 10 * time.Millisecond {
		b.now = b.now.Add(10 * time.Millisecond)
		if each != nil {
			each(passed)
		}
		b.step(Tick{})
	}
}

// lossTime silences the member b while c and d continue to send. answer returns the reports
// of c and d for the time since they were asked. lossTime returns the time from b's last
// sign of life until it was declared lost, or zero if it was not.
func (b *testRouter) lossTime(answer func(since time.Duration) []Message) time.Duration {
	began := b.now
	asked := map[string]time.Duration{}
	b.run(time.Second, func(passed time.Duration) {
		for _, s := range b.sent[PingRequest] {
			if _, known := asked[s.To]; !known {
				asked[s.To] = passed
			}
		}
		for _, name := range []string{"c", "d"} {
			b.receive(name, Message{Kind: Heartbeat, Version: 1})
			at, known := asked[name]
			if !known {
				continue
			}
			for _, m := range answer(passed - at) {
				m.Kind, m.Version, m.Target = Report, 1, "b"
				b.receive(name, m)
			}
		}
	})
	if at, lost := b.lost["b"]; lost {
		return at.Sub(began)
	}
	return 0
}

// silentReports returns the answers of a helper that finds the member silent as well: first
// at once, and last when its time is up.
func silentReports(first, last Message) func(time.Duration) []Message {
	return func(since time.Duration) []Message {
		switch since {
		case 0:
			first.Trying = true
			return []Message{first}
		case 80 * time.Millisecond:
			return []Message{last}
		}
		return nil
	}
}

// A router finds a member silent and asks helpers, which hear the member, have just heard
// it, are still trying, or find other members silent as well. Each report must be taken
// into account: otherwise members are declared lost that others reach, or too early.
func TestHelperReportsAreTakenIntoAccount(t *testing.T) {
	cfg := DefaultConfig()
	usual := newTestRouter("b", "c", "d").lossTime(silentReports(Message{}, Message{}))
	assert.Assert(t, usual >= cfg.LostAfter && usual <= cfg.LostAfter+20*time.Millisecond, "%s", usual)

	assert.Equal(t, newTestRouter("b", "c", "d").lossTime(func(since time.Duration) []Message {
		if since%(80*time.Millisecond) == 0 {
			return []Message{{Heard: true}}
		}
		return nil
	}), time.Duration(0), "a member that a helper hears")

	// The helpers heard it 10 ms before they were asked, 180 ms after this router did.
	later := newTestRouter("b", "c", "d").lossTime(silentReports(Message{Silent: 10 * time.Millisecond}, Message{Silent: 90 * time.Millisecond}))
	assert.Assert(t, later >= usual+150*time.Millisecond, "lost after %s, %s without that report", later, usual)

	assert.Equal(t, newTestRouter("b", "c", "d").lossTime(silentReports(Message{}, Message{Trying: true})), time.Duration(0),
		"a helper that is still trying confirms nothing")

	// Other members are silent too, so the verdict waits until they are counted.
	gathered := newTestRouter("b", "c", "d").lossTime(silentReports(Message{SilentMembers: []string{"x", "y"}}, Message{SilentMembers: []string{"x", "y"}}))
	assert.Assert(t, gathered >= usual+cfg.Heartbeat-10*time.Millisecond, "lost after %s, usually %s", gathered, usual)
}

// No helper answers, but reports arrive from routers that were not asked. They must not
// count as confirmation.
func TestOnlyRequestedReportsConfirm(t *testing.T) {
	b := newTestRouter("b", "c", "d", "e", "f", "g", "h", "i")
	silent := b.core.watches[0].member.Name
	b.run(time.Second, func(time.Duration) {
		asked := map[string]bool{silent: true}
		for _, s := range b.sent[PingRequest] {
			asked[s.To] = true
		}
		for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
			if name != silent {
				b.receive(name, Message{Kind: Heartbeat, Version: 1})
			}
			if !asked[name] {
				b.receive(name, Message{Kind: Report, Version: 1, Target: silent})
			}
		}
	})
	assert.Assert(t, len(b.sent[PingRequest]) > 0)
	assert.Equal(t, len(b.lost), 0)
}

// A helper that was suspended while it pinged, or that is superseded by a newer instance,
// must not report the member's silence: it may be the helper itself that does not hear.
func TestIsolatedHelperConfirmsNothing(t *testing.T) {
	verdicts := func(b *testRouter, meanwhile func()) (final int) {
		clear(b.sent)
		b.receive("c", Message{Kind: PingRequest, Version: 1, Seq: 5, Target: "b"})
		meanwhile()
		b.run(120*time.Millisecond, nil)
		for _, s := range b.sent[Report] {
			if !s.Message.Trying {
				final++
			}
		}
		return final
	}
	b := newTestRouter("b", "c")
	b.run(100*time.Millisecond, nil)
	assert.Equal(t, verdicts(b, func() {}), 1)
	assert.Equal(t, verdicts(b, func() { b.now = b.now.Add(200 * time.Millisecond) }), 0, "suspended")
	b = newTestRouter("b", "c")
	b.step(NewerInstance{Incarnation: 9})
	assert.Equal(t, verdicts(b, func() {}), 0, "superseded")
}

// Members must be requested if digests differ, but not if they are equal, if the change is
// still spreading, or in answer to a reply. Otherwise views stay different, or routers
// exchange them without end.
func TestListsAreRequestedOnlyIfViewsDiffer(t *testing.T) {
	b := newTestRouter("b", "c")
	digest := func(sum uint64, seq uint64) {
		clear(b.sent)
		b.receive("b", Message{Kind: Digest, Version: 1, Seq: seq, Digests: []DCDigest{{DataCentre: "doto", Sum: sum}}})
	}
	other := b.core.home.sum + 1
	digest(other, 0)
	assert.Equal(t, len(b.sent[ListRequest])+len(b.sent[Digest]), 0, "the view has just changed")
	b.run(b.core.cfg.DigestSettleTime, func(time.Duration) {
		b.receive("b", Message{Kind: Heartbeat, Version: 1})
		b.receive("c", Message{Kind: Heartbeat, Version: 1})
	})
	digest(b.core.home.sum, 0)
	assert.Equal(t, len(b.sent[ListRequest])+len(b.sent[Digest]), 0, "equal")
	digest(other, 0)
	assert.Equal(t, len(b.sent[ListRequest]), 1)
	assert.Equal(t, len(b.sent[Digest]), 1, "the other router has to ask as well")
	assert.Assert(t, b.sent[Digest][0].Message.Seq != 0)
	digest(other, 1)
	assert.Equal(t, len(b.sent[ListRequest]), 1)
	assert.Equal(t, len(b.sent[Digest]), 0, "a reply is not answered")
}

// A new router asks for the whole view once, and the list contains all members, in several
// messages, but no names that are known only from the platform's VM list.
func TestListContainsAllMembers(t *testing.T) {
	b := newTestRouter()
	b.receive("b", Message{Kind: Heartbeat, Version: 1})
	b.receive("b", Message{Kind: Heartbeat, Version: 1})
	assert.Equal(t, len(b.sent[ListRequest]), 1, "a new router asks once")
	want := map[string]bool{"a": true, "b": true}
	for i := range 2*b.core.cfg.ListChunk + 3 {
		name := fmt.Sprintf("m%04d", i)
		want[name] = true
		b.receive("b", Message{Kind: Push, Version: 1, Updates: []Update{{Member: inDoto(name), State: Alive}}})
	}
	b.step(Listed{VMs: []ListedVM{listedVM("never-heard", false)}})
	clear(b.sent)
	b.receive("b", Message{Kind: ListRequest, Version: 1, DataCentre: "doto"})
	got := map[string]bool{}
	for _, s := range b.sent[List] {
		assert.Assert(t, len(s.Message.Updates) <= b.core.cfg.ListChunk)
		for _, u := range s.Message.Updates {
			got[u.Member.Name] = true
		}
	}
	assert.DeepEqual(t, got, want)
}

// A router that was just suspended or is superseded must not send its members, since its
// view may be out of date.
func TestIsolatedRouterSendsNoList(t *testing.T) {
	ask := func(b *testRouter) int {
		clear(b.sent)
		b.receive("b", Message{Kind: ListRequest, Version: 1})
		return len(b.sent[List])
	}
	b := newTestRouter("b")
	b.run(50*time.Millisecond, nil)
	assert.Equal(t, ask(b), 1)
	b.now = b.now.Add(300 * time.Millisecond)
	b.step(Tick{})
	assert.Equal(t, ask(b), 0, "just suspended")

	b = newTestRouter("b")
	assert.Equal(t, ask(b), 1)
	b.step(NewerInstance{Incarnation: 9})
	assert.Equal(t, ask(b), 0, "superseded")
}
