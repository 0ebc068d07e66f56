package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/health"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/request"
	"tarragongw/core/routing"
	"tarragongw/duty"
	"tarragongw/eventlog"
)

// restModel is a service whose three targets serve any request.
func restModel(change func(*model.Model)) *model.Model {
	m := &model.Model{Revision: 1, Services: []model.Service{{
		Name: "faq", Division: model.Any, PathPrefix: "/faq", Caller: model.Extract{From: model.FromHeader, Name: "X-Caller"},
		Timeout: time.Second, ProgressTimeout: time.Second, QueueLength: 8, Isolation: model.Isolation{Keep: true},
	}}}
	for i := range 3 {
		name, address := fmt.Sprintf("t%d", i), fmt.Sprintf("127.0.0.1:%d", i+1)
		m.Targets = append(m.Targets, model.Target{Name: name, Service: "faq", DataCentre: "hall", Address: address, Slots: 2, Connections: 8})
	}
	change(m)
	return m
}

// restWorld is a router that was not started, and whose health duty goes by hand.
type restWorld struct {
	t   *testing.T
	r   *Router
	now time.Time
}

func newRestWorld(t *testing.T) *restWorld {
	settings := config.Defaults()
	r := &Router{opts: Options{Settings: &settings}, clock: &handClock{}, journal: eventlog.New(eventlog.Config{})}
	r.self.Name, r.self.DataCentre = "r1", "hall"
	r.upstreams, r.workers, r.security = newUpstreams(r), duty.NewWorkers(t.Context()), &security{}
	r.isolation, r.health = newIsolation(r), newHealthDuty(r)
	table := ownership.NewTable()
	for i := range 3 {
		record := &ownership.GrantorRecord{Target: fmt.Sprintf("t%d", i), Term: 1, Router: ownership.Router{Name: "r2"}}
		table, _ = table.Apply(ownership.Update{Revision: 1, Grantor: record})
	}
	r.table.Store(table)
	w := &restWorld{t: t, r: r, now: time.Unix(1000, 0)}
	w.configure(func(*model.Model) {})
	return w
}

// grant makes the router the grantor of a target.
func (w *restWorld) grant(target string) {
	self := ownership.Router{Name: w.r.self.Name}
	spec := ownership.TargetSpec{Name: target, Service: "faq", DataCentre: "hall", Grants: model.GrantCheck{ChecksTokens: true}}
	keeper := ownership.NewKeeper(ownership.Config{Self: self, DataCentre: "hall"})
	events := []ownership.Event{ownership.Configured{Targets: []ownership.TargetSpec{spec}, Services: []ownership.ServiceSpec{{Name: "faq"}}}, ownership.Members{Live: []ownership.Router{self}}}
	stored := make(map[string][]byte)
	for now := time.Second; w.r.gate.Load().Term(target) == 0; now += 10 * time.Millisecond {
		assert.Assert(w.t, now < time.Minute, "never granted")
		var answers []ownership.Event
		for _, event := range append(events, ownership.Tick{}) {
			for _, action := range keeper.Step(now, event) {
				switch a := action.(type) {
				case ownership.Read:
					answers = append(answers, ownership.StoreRead{Key: a.Key, SentAt: a.SentAt, Outcome: ownership.Landed, Revision: uint64(len(stored[a.Key])), Value: stored[a.Key]})
				case ownership.CAS:
					stored[a.Key] = a.Value
					answers = append(answers, ownership.CASResult{Key: a.Key, Op: a.Op, Outcome: ownership.Landed, Revision: uint64(len(a.Value))})
				case ownership.SendGrant:
					answers = append(answers, ownership.GrantResult{Target: target, Sequence: a.Sequence, Accepted: true, Term: a.Term})
				case ownership.SetGate:
					w.r.gate.Store(a.Gate)
				}
			}
		}
		events = answers
	}
}

// configure puts the model in force.
func (w *restWorld) configure(change func(*model.Model)) {
	v, err := newView(restModel(change), nil, w.now)
	assert.NilError(w.t, err)
	_, anew := w.r.upstreams.configure(v)
	w.r.settleGates(anew)
	w.pass(pulseEvery)
}

// pass lets the health duty judge once after the time.
func (w *restWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.r.health.judge(w.now)
}

// seen is all that the request path learns of the targets.
func (w *restWorld) seen() string {
	v := w.r.view.Load()
	return fmt.Sprintf("%+v %v", w.r.candidates(v, []string{"t0", "t1", "t2"}, true, request.Interactive), len(w.r.upstreams.all()))
}

// Symptom: a target that failed a while ago gets its whole share at once, or one that
// nobody used for minutes is treated unlike one that was never used.
// Sequence: each row uses t1, and nobody does for restAfter.
// Cause: state is dropped while something is held against the target or in flight, or
// some of it outlives the drop.
func TestStateAtRestIsDroppedAsIfNeverMade(t *testing.T) {
	for _, row := range []struct {
		what     string
		failures int
		inFlight bool
		// rest is after which time without use state is looked for.
		rest time.Duration
		kept bool
	}{
		{"used before restAfter", 0, false, restAfter - pulseEvery, true},
		{"answered", 0, false, restAfter, false},
		{"one failure", 1, false, restAfter, true},
		{"suspect", 3, false, restAfter, true},
		{"an ejection that is over", 5, false, restAfter, false},
		{"in flight", 0, true, restAfter, true},
	} {
		w := newRestWorld(t)
		never := w.seen()
		u := w.r.upstreams.hold("t1")
		u.meter(request.Interactive).begin()
		u.meter(request.Interactive).end(time.Second)
		u.choice.answered(200, time.Second)
		for range row.failures {
			u.choice.add(health.Result{Signal: health.Failed})
		}
		if !row.inFlight {
			u.release()
		}
		w.pass(0)
		for range row.rest / pulseEvery {
			w.pass(pulseEvery)
		}
		assert.Equal(t, w.seen() != never, row.kept, row.what)
		assert.Equal(t, u.hold(), row.kept, row.what)
		if !row.kept {
			assert.Equal(t, len(slices.Collect(w.r.health.choice["faq"].Names())), 0, row.what)
		}
	}
}

// Symptom: a new grantor sends beside its predecessor's work.
// Sequence: a duty begins while its target's state is about to be dropped.
// Cause: the slots that were kept back for that work went with the state.
func TestStateOfADutyIsNotDropped(t *testing.T) {
	w := newRestWorld(t)
	w.r.upstreams.hold("t1").release()
	u := w.r.upstreams.settled("t1")
	assert.Assert(t, !w.r.upstreams.drop("t1"), "used since the last look")
	u.used.Store(false)
	w.grant("t1")
	assert.Assert(t, !w.r.upstreams.drop("t1"))
	assert.Assert(t, u.hold())
	u.release()
	u.used.Store(false)
	w.r.gate.Store(nil)
	assert.Assert(t, w.r.upstreams.drop("t1"))
	assert.Assert(t, w.r.upstreams.hold("t1") != u)
}

// Symptom: an operator changes a target's slots, its unit moves, and two targets write
// one key.
// Sequence: work is in flight; the state is made anew for the new settings; the unit is
// closed at the old owner.
// Cause: the new state knows nothing of what is in flight under the former.
func TestStateMadeAnewKnowsWhatIsInFlight(t *testing.T) {
	w := newRestWorld(t)
	old := w.r.upstreams.hold("t1")
	unit, work := routing.Unit{Service: "faq"}, &flight{}
	old.flights.enter(work, unit)
	w.configure(func(m *model.Model) { m.Targets[1].Slots = 5 })

	now := w.r.upstreams.settled("t1")
	assert.Assert(t, now != old && now.spec.Slots == 5)
	var closed bool
	now.flights.close([]routing.Unit{unit}, false, func() { closed = true })
	assert.Assert(t, !closed)
	old.flights.leave(work)
	assert.Assert(t, closed)
}

// What an operator marks, and what comes new, is judged without ever being used.
func TestUnusedTargetsAreJudgedByMarkAndAge(t *testing.T) {
	w := newRestWorld(t)
	w.configure(func(m *model.Model) { m.Targets[0].Drain, m.Targets[1].Address = true, "127.0.0.1:9" })
	judged := *w.r.health.now.Load()
	assert.Equal(t, judged["t0"].state, health.Draining)
	assert.Equal(t, judged["t1"].state, health.SlowStart)
	assert.Equal(t, len(judged), 2)
	w.configure(func(m *model.Model) { m.Targets[1].Address = "127.0.0.1:9" })
	assert.Equal(t, (*w.r.health.now.Load())["t0"].state, health.SlowStart)
	w.pass(time.Minute)
	w.pass(pulseEvery)
	assert.Equal(t, len(*w.r.health.now.Load()), 0)
}
