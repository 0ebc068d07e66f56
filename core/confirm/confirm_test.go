package confirm_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/confirm"
)

var members = []string{"r0", "r1", "r2", "r3", "r4", "r5"}

// pair returns a relay and a router that asks it, with their names.
func pair(t *testing.T, rule confirm.Omitted) (relay, asker *confirm.Core, relayName, askerName string) {
	t.Helper()
	cores := map[string]*confirm.Core{}
	for _, name := range members {
		cores[name] = confirm.New(config(name, 7).Without(rule))
		cores[name].Step(0, confirm.Members{Live: members})
	}
	relayName = cores["r0"].Relay()
	for _, name := range members {
		if !slices.Contains(cores[name].Order(), name) {
			askerName = name
		}
	}
	assert.Equal(t, cores[askerName].Relay(), relayName)
	return cores[relayName], cores[askerName], relayName, askerName
}

func config(name string, incarnation uint64) confirm.Config {
	return confirm.Config{Self: confirm.Router{Name: name, Incarnation: incarnation}, DataCentre: "dc1"}
}

// askTarget makes the asker ask about a target and returns its question.
func askTarget(t *testing.T, asker *confirm.Core, now time.Duration) confirm.Message {
	t.Helper()
	actions := asker.Step(now, confirm.Asked{Reads: []confirm.Read{{Target: "t0", SentAt: now}}})
	send, ok := single(actions).(confirm.Send)
	assert.Assert(t, ok, "%v", actions)
	return send.Message
}

func single(actions []confirm.Action) confirm.Action {
	if len(actions) != 1 {
		return nil
	}
	return actions[0]
}

func received(name string, incarnation uint64, m confirm.Message) confirm.Received {
	return confirm.Received{From: confirm.Router{Name: name, Incarnation: incarnation}, Message: m}
}

func records(revision uint64) []confirm.Record {
	return []confirm.Record{{Target: "t0", Revision: revision, Value: fmt.Append(nil, "at ", revision)}}
}

// answers returns the answers among the actions.
func answers(actions []confirm.Action) []confirm.Message {
	var out []confirm.Message
	for _, send := range answerSends(actions) {
		out = append(out, send.Message)
	}
	return out
}

func answerSends(actions []confirm.Action) []confirm.Send {
	var out []confirm.Send
	for _, a := range actions {
		if send, ok := a.(confirm.Send); ok && send.Message.Kind == confirm.Answer {
			out = append(out, send)
		}
	}
	return out
}

// A grantor that was superseded must not be confirmed by a list call that was sent before its
// question. The relay sends a list call and is paused, another grantor takes over, and the old
// grantor asks. The resumed relay handles the question first and then the result of its call.
func TestAnswersOnlyFromACallSentAfterTheQuestion(t *testing.T) {
	staleAnswers := func(rule confirm.Omitted) int {
		relay, asker, name, other := pair(t, rule)
		list, ok := single(relay.Step(ms, received("r9", 1, confirm.Message{Kind: confirm.Question, Incarnation: 1, Sequence: 1}))).(confirm.List)
		assert.Assert(t, ok)
		question := askTarget(t, asker, 550*ms)
		relay.Step(600*ms, received(other, 7, question))
		n := 0
		for _, answer := range answers(relay.Step(600*ms, confirm.Listed{ID: list.ID, OK: true, Records: records(5)})) {
			n += len(asker.Step(601*ms, received(name, 7, answer)))
		}
		return n
	}
	assert.Equal(t, staleAnswers(confirm.OmitNone), 0)
	assert.Equal(t, staleAnswers(confirm.OmitFresh), 1, "not caught without the check")
}

// A restarted router must not take over the authority of its earlier instance. The router
// asks, is killed and restarts, and asks again with the same sequence number, because numbers
// start again with each instance. Then the answer to the first question arrives.
func TestAnswerToAnEarlierInstanceIsIgnored(t *testing.T) {
	taken := func(rule confirm.Omitted) int {
		relay, old, name, other := pair(t, rule)
		list := single(relay.Step(ms, received(other, 7, askTarget(t, old, ms)))).(confirm.List)
		answer := answers(relay.Step(2*ms, confirm.Listed{ID: list.ID, OK: true, Records: records(5)}))[0]
		restarted := confirm.New(config(other, 8).Without(rule))
		restarted.Step(500*ms, confirm.Members{Live: members})
		assert.Equal(t, askTarget(t, restarted, 500*ms).Sequence, answer.Sequence)
		return len(restarted.Step(501*ms, received(name, 7, answer)))
	}
	assert.Equal(t, taken(confirm.OmitNone), 0)
	assert.Equal(t, taken(confirm.OmitIncarnation), 1, "not caught without the check")
}

// Authority must count from when the question was sent, not from when the answer arrived,
// although the relay is paused between its call and its answer. An answer that arrives twice,
// or from a router that was not asked, must be ignored.
func TestLateAnswerIsWorthNoMoreThanItsQuestion(t *testing.T) {
	relay, asker, name, other := pair(t, confirm.OmitNone)
	list := single(relay.Step(ms, received(other, 7, askTarget(t, asker, ms)))).(confirm.List)
	answer := answers(relay.Step(500*ms, confirm.Listed{ID: list.ID, OK: true, Records: records(5)}))[0]
	assert.Equal(t, len(asker.Step(2*ms, received("r9", 7, answer))), 0)
	confirmed, ok := single(asker.Step(3*ms, received(name, 7, answer))).(confirm.Confirmed)
	assert.Assert(t, ok)
	assert.Equal(t, confirmed.SentAt, ms)
	assert.Equal(t, len(asker.Step(400*ms, received(name, 7, answer))), 0)
}

// An answer carries only records that are not at the revision that the question gives.
func TestAnswersCarryOnlyChanges(t *testing.T) {
	relay, asker, name, other := pair(t, confirm.OmitNone)
	ask := func(at time.Duration, revision uint64) confirm.Message {
		actions := relay.Step(at, received(other, 7, askTarget(t, asker, at)))
		if len(actions) == 0 {
			actions = relay.Step(at+relay.Wake(at), confirm.Tick{})
		}
		list := single(actions).(confirm.List)
		return answers(relay.Step(at+10*ms, confirm.Listed{ID: list.ID, OK: true, Records: records(revision)}))[0]
	}
	first := ask(ms, 5)
	assert.Equal(t, len(first.Changed), 1)
	asker.Step(12*ms, received(name, 7, first))
	unchanged := ask(80*ms, 5)
	assert.Equal(t, len(unchanged.Changed), 0)
	confirmed := single(asker.Step(91*ms, received(name, 7, unchanged))).(confirm.Confirmed)
	assert.Equal(t, string(confirmed.Record.Value), "at 5")
	newer := ask(160*ms, 6)
	confirmed = single(asker.Step(171*ms, received(name, 7, newer))).(confirm.Confirmed)
	assert.Equal(t, string(confirmed.Record.Value), "at 6")
	assert.Equal(t, len(ask(240*ms, 6).Changed), 0)
}

// An occasional lost datagram must not make askers leave their relay and read by themselves. A
// relay is suspected only if a reply on the reliable transport is missing too.
func TestLostDatagramLeavesTheRelayInPlace(t *testing.T) {
	relay, asker, name, other := pair(t, confirm.OmitNone)
	for i, lossy := range []bool{true, false} {
		at := time.Duration(1+80*i) * ms
		send := single(asker.Step(at, confirm.Asked{Reads: []confirm.Read{{Target: "t0", SentAt: at}}})).(confirm.Send)
		assert.Equal(t, send.Lossy, lossy)
		assert.Equal(t, asker.Relay(), name)
		for _, a := range append(relay.Step(at, received(other, 7, send.Message)), relay.Step(at+50*ms, confirm.Tick{})...) {
			if reply, ok := a.(confirm.Send); ok {
				assert.Equal(t, reply.Lossy, lossy)
			}
		}
		list := single(asker.Step(at+61*ms, confirm.Tick{})).(confirm.List)
		asker.Step(at+62*ms, confirm.Listed{ID: list.ID, OK: true, Records: records(5)})
	}
	assert.Assert(t, asker.Relay() != name)
}

// Routers that start at different times and ask once in each interval must come to share one
// list call. Otherwise a relay with few askers makes two list calls in each interval and is
// woken for each asker separately.
func TestAskersComeToShareOneCall(t *testing.T) {
	relay, _, _, _ := pair(t, confirm.OmitNone)
	starts := []int{3, 20, 37, 61}
	next := map[string]time.Duration{}
	for i, start := range starts {
		next[fmt.Sprint("asker", i)] = time.Duration(start) * ms
	}
	lists := 0
	for at := ms; at < 4*time.Second; at += ms {
		actions := relay.Step(at, confirm.Tick{})
		for i := range starts {
			if name := fmt.Sprint("asker", i); at >= next[name] {
				next[name] = at + 80*ms
				actions = append(actions, relay.Step(at, received(name, 1, confirm.Message{Kind: confirm.Question, Incarnation: 1, Known: []confirm.Known{{Target: "t0"}}}))...)
			}
		}
		for _, a := range actions {
			list, ok := a.(confirm.List)
			if !ok {
				continue
			}
			if at >= 3*time.Second {
				lists++
			}
			for _, reply := range answerSends(relay.Step(at, confirm.Listed{ID: list.ID, OK: true, Records: records(5)})) {
				next[reply.To] -= reply.Message.Earlier
			}
		}
	}
	assert.Assert(t, lists <= 13, "%d list calls in the last second", lists)
}

// If the store takes longer than an asker waits for its relay, the askers must not all read
// the store themselves in every interval: a relay that is waiting for the store is not lost.
func TestSlowStoreIsNotFlooded(t *testing.T) {
	relay, asker, name, other := pair(t, confirm.OmitNone)
	own := 0
	for at := 80 * ms; at < 4*time.Second; at += 80 * ms {
		question := askTarget(t, asker, at)
		relay.Step(at, received(other, 7, question))
		for _, a := range relay.Step(at+50*ms, confirm.Tick{}) {
			if send, ok := a.(confirm.Send); ok && send.Message.Kind == confirm.Pending {
				asker.Step(at+51*ms, received(name, 7, send.Message))
			}
		}
		for _, a := range asker.Step(at+61*ms, confirm.Tick{}) {
			if list, ok := a.(confirm.List); ok {
				own++
				asker.Step(at+79*ms, confirm.Tick{})
				defer asker.Step(4*time.Second, confirm.Listed{ID: list.ID, OK: true})
			}
		}
	}
	// The probe and the hedged call beside it, neither of which returned.
	assert.Assert(t, own <= 2, "%d own reads", own)
	assert.Equal(t, asker.Relay(), name)
}

// If the relays are live but don't answer, the routers must not all read the store in every
// interval: fallbacks are limited, and silent relays are not asked for a while.
func TestFallbacksAreLimitedAndCounted(t *testing.T) {
	_, asker, _, _ := pair(t, confirm.OmitNone)
	lists := 0
	count := func(now time.Duration, actions []confirm.Action) {
		for _, a := range actions {
			if list, ok := a.(confirm.List); ok {
				lists++
				asker.Step(now, confirm.Listed{ID: list.ID, OK: true, Records: records(5)})
			}
		}
	}
	for i := range 250 {
		at := time.Duration(i) * 40 * ms // twice as often as confirmations are due
		count(at, asker.Step(at, confirm.Asked{Reads: []confirm.Read{{Target: "t0", SentAt: at}}}))
	}
	s := asker.Stats()
	assert.Assert(t, lists <= 10*1000/80+6, "%d own reads in 10 s", lists)
	assert.Assert(t, s.Limited > 50, "%+v", s)
	assert.Assert(t, s.Fallbacks[confirm.Silent] >= 2 && s.Fallbacks[confirm.NoRelay] > 50, "%+v", s)
}

// Each asker has its own order among several relays, so that the relays have about as many
// askers each.
func TestRelaysShareTheAskers(t *testing.T) {
	var live []string
	for i := range 400 {
		live = append(live, fmt.Sprintf("r%03d", i))
	}
	load := map[string]int{}
	for _, name := range live {
		c := confirm.New(config(name, 1))
		c.Step(0, confirm.Members{Live: live})
		load[c.Relay()]++
	}
	assert.Equal(t, len(load), 3)
	for name, n := range load {
		assert.Assert(t, n > 100 && n < 170, "%s has %d", name, n)
	}
}

// The same events lead to the same actions.
func TestReplayIsIdentical(t *testing.T) {
	run := func() (all []confirm.Action) {
		_, asker, name, _ := pair(t, confirm.OmitNone)
		for i := range 100 {
			at := time.Duration(i) * 40 * ms
			all = append(all, asker.Step(at, confirm.Asked{Reads: []confirm.Read{{Target: "t0", SentAt: at}, {Target: "t1", SentAt: at}}})...)
			if i%3 == 0 {
				all = append(all, asker.Step(at, received(name, 7, confirm.Message{Kind: confirm.Answer, Incarnation: 7, Sequence: uint64(i + 1)}))...)
			}
			if i%20 == 10 {
				all = append(all, asker.Step(at, confirm.Members{Live: members[:2+i%3]})...)
			}
			all = append(all, asker.Step(at+asker.Wake(at), confirm.Tick{})...)
		}
		return all
	}
	first := run()
	assert.Assert(t, len(first) > 100)
	assert.Assert(t, reflect.DeepEqual(first, run()))
}
