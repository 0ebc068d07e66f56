package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// bookkeeping is the test's own record of every item, compared with the Gate's state.
type bookkeeping struct {
	t        *rapid.T
	gate     *Gate
	cfg      Config
	now      time.Time
	next     ID
	waiting  []ID
	working  []ID
	answered map[ID]string
	deadline map[ID]time.Time
}

func (b *bookkeeping) record(id ID, answer string) {
	if limit := b.deadline[id]; answer == "start" && !limit.IsZero() && limit.Before(b.now) {
		b.t.Fatalf("%d started after its deadline", id)
	}
	if answer == "start" && b.answered[id] != "" {
		b.t.Fatalf("%d started after %q", id, b.answered[id])
	}
	if answer != "start" && b.answered[id] != "" && b.answered[id] != "start" {
		b.t.Fatalf("%d answered %q after %q", id, answer, b.answered[id])
	}
	b.answered[id] = answer
}

func (b *bookkeeping) removeID(list *[]ID, id ID) {
	i := slices.Index(*list, id)
	if i < 0 {
		b.t.Fatalf("%d is not in the expected list", id)
	}
	*list = slices.Delete(*list, i, i+1)
}

func (b *bookkeeping) apply(a Actions) {
	for _, r := range a.Refuse {
		b.removeID(&b.waiting, r.ID)
		b.record(r.ID, "refuse")
	}
	for _, id := range a.Start {
		b.removeID(&b.waiting, id)
		b.working = append(b.working, id)
		b.record(id, "start")
	}
	b.check()
}

// check compares the Gate's state with the test's record: no more items in flight than
// slots, no lost item, bounded memory, and no idle slot while an item waits.
func (b *bookkeeping) check() {
	stats := b.gate.Stats(b.now)
	if len(b.working) > b.cfg.Slots {
		b.t.Fatalf("%d in flight in %d slots", len(b.working), b.cfg.Slots)
	}
	if stats.InFlight != len(b.working) || stats.QueuedInteractive+stats.QueuedBatch != len(b.waiting) {
		b.t.Fatalf("gate reports %+v, test recorded %d in flight, %d waiting", stats, len(b.working), len(b.waiting))
	}
	if len(b.gate.entries) != len(b.working)+len(b.waiting) {
		b.t.Fatalf("%d entries for %d items", len(b.gate.entries), len(b.working)+len(b.waiting))
	}
	if stats.QueuedInteractive > b.cfg.QueueLength || stats.QueuedBatch > b.cfg.QueueLength {
		b.t.Fatalf("queue too long: %+v", stats)
	}
	if stats.Callers > 2*(2*b.cfg.QueueLength+b.cfg.Slots+1) {
		b.t.Fatalf("state of %d callers kept", stats.Callers)
	}
	idle := stats.Limit - stats.InFlight - stats.Held
	if idle <= 0 || len(b.waiting) == 0 {
		return
	}
	// Only batch work may wait while a slot is idle, only if the idle slots are part of the
	// headroom, and only for as long as interactive work counts as recent.
	due := b.now
	if idle <= b.gate.headroom.width(stats.Limit) && stats.QueuedInteractive == 0 {
		due = b.now.Add(DefaultInteractiveWindow)
	}
	if wake := b.gate.NextWake(); wake.IsZero() || wake.After(due) {
		b.t.Fatalf("a slot is idle while %d wait and the next wake is %s", len(b.waiting), wake)
	}
}

func (b *bookkeeping) offer() {
	b.next++
	item := Item{
		ID:     b.next,
		Caller: fmt.Sprint("c", rapid.IntRange(0, 30).Draw(b.t, "caller")),
		Weight: rapid.SampledFrom([]float64{0, 0.5, 1, 4}).Draw(b.t, "weight"),
		Class:  rapid.SampledFrom([]request.Class{request.Interactive, request.Batch}).Draw(b.t, "class"),
	}
	if rapid.Bool().Draw(b.t, "hasDeadline") {
		item.Deadline = b.now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(b.t, "deadline")) * ms)
	}
	b.deadline[item.ID] = item.Deadline
	free := b.gate.Stats(b.now)
	decision := b.gate.Offer(b.now, item)
	switch decision.Verdict {
	case Admit:
		b.working = append(b.working, item.ID)
		b.record(item.ID, "start")
	case Queue:
		b.waiting = append(b.waiting, item.ID)
		mayWait := item.Class == request.Batch && free.Limit-free.InFlight-free.Held <= b.gate.headroom.width(free.Limit)
		if free.InFlight+free.Held < free.Limit && len(b.waiting) == 1 && !mayWait {
			b.t.Fatalf("queued although a slot was free and nothing else waited")
		}
	case Refuse:
		if fault.New(decision.Kind, "").Ran != fault.NotRun {
			b.t.Fatalf("refused with %s, which does not guarantee that the item did not run", decision.Kind)
		}
		b.record(item.ID, "refuse")
	}
	b.check()
}

func (b *bookkeeping) finish() {
	if len(b.working) == 0 {
		return
	}
	id := rapid.SampledFrom(b.working).Draw(b.t, "done")
	outcome := Outcome(rapid.IntRange(0, int(NotSent)).Draw(b.t, "outcome"))
	took := time.Duration(rapid.IntRange(1, 50).Draw(b.t, "took")) * ms
	b.removeID(&b.working, id)
	b.apply(b.gate.Done(b.now, id, outcome, took))
}

func (b *bookkeeping) cancel() {
	if len(b.waiting) == 0 {
		return
	}
	id := rapid.SampledFrom(b.waiting).Draw(b.t, "cancelled")
	if !b.gate.Cancel(b.now, id) {
		b.t.Fatalf("waiting %d could not be cancelled", id)
	}
	b.removeID(&b.waiting, id)
	b.record(id, "cancel")
	b.check()
}

func (b *bookkeeping) advanceTime() {
	b.now = b.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(b.t, "pass")) * ms)
	b.apply(b.gate.Expire(b.now))
}

func TestItemsAreAnsweredOnceAndSlotsAreNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:       rapid.SampledFrom([]int{1, 3, 6}).Draw(t, "slots"),
			QueueLength: rapid.IntRange(1, 12).Draw(t, "queue"),
			// Zero would mean the default.
			BatchHeadroom: rapid.SampledFrom([]int{-1, 1, 2}).Draw(t, "headroom"),
		}
		b := &bookkeeping{t: t, cfg: cfg, gate: New(cfg), now: epoch, answered: map[ID]string{}, deadline: map[ID]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(*rapid.T) { b.offer() },
			"offer2": func(*rapid.T) { b.offer() },
			"finish": func(*rapid.T) { b.finish() },
			"cancel": func(*rapid.T) { b.cancel() },
			"pass":   func(*rapid.T) { b.advanceTime() },
		})
		for len(b.working)+len(b.waiting) > 0 {
			b.now = b.now.Add(time.Second)
			b.apply(b.gate.Expire(b.now))
			if len(b.working) == 0 && len(b.waiting) > 0 {
				t.Fatalf("%d wait for ever", len(b.waiting))
			}
			if len(b.working) == 0 {
				break
			}
			id := b.working[0]
			b.removeID(&b.working, id)
			b.apply(b.gate.Done(b.now, id, Finished, ms))
		}
		for id := ID(1); id <= b.next; id++ {
			if b.answered[id] == "" {
				t.Fatalf("%d has no answer", id)
			}
		}
	})
}

// backlog is the load of one caller that always has items waiting.
type backlog struct {
	caller   string
	weight   float64
	class    request.Class
	service  time.Duration
	declared time.Duration
	served   float64
}

// saturate runs the gate for the given simulated time with items of every backlog
// waiting, and adds the slot time that each backlog got to its served field.
func saturate(g *Gate, slots int, loads []*backlog, length time.Duration) {
	owner := map[ID]*backlog{}
	type work struct {
		id  ID
		end time.Time
	}
	var busy []work
	next := ID(0)
	now := epoch
	begin := func(id ID) { busy = append(busy, work{id, now.Add(owner[id].service)}) }
	refill := func() {
		for _, l := range loads {
			for f := g.queues[classOf(l.class)].flows[l.caller]; f == nil || f.queued < 2; f = g.queues[classOf(l.class)].flows[l.caller] {
				next++
				owner[next] = l
				d := g.Offer(now, Item{ID: next, Caller: l.caller, Weight: l.weight, Class: l.class, EstimatedService: l.declared})
				if d.Verdict == Admit {
					begin(next)
				}
			}
		}
	}
	refill()
	for now.Before(epoch.Add(length)) {
		slices.SortStableFunc(busy, func(a, b work) int { return a.end.Compare(b.end) })
		done := busy[0]
		busy = busy[1:]
		now = done.end
		l := owner[done.id]
		l.served += l.service.Seconds()
		for _, id := range g.Done(now, done.id, Finished, l.service).Start {
			begin(id)
		}
		if len(busy) > slots {
			panic("slots exceeded")
		}
		refill()
	}
}

func TestCallersShareSlotTimeByWeight(t *testing.T) {
	cases := []struct {
		name  string
		loads []*backlog
		// want is the share of slot time of each.
		want []float64
	}{
		{"equal", []*backlog{{caller: "a", service: 10 * ms}, {caller: "b", service: 10 * ms}}, []float64{0.5, 0.5}},
		{"one to three", []*backlog{{caller: "a", weight: 1, service: 10 * ms}, {caller: "b", weight: 3, service: 10 * ms}}, []float64{0.25, 0.75}},
		{"long work counts more", []*backlog{{caller: "a", service: 50 * ms}, {caller: "b", service: 10 * ms}}, []float64{0.5, 0.5}},
		{"a false estimate gains nothing", []*backlog{{caller: "a", service: 50 * ms, declared: ms}, {caller: "b", service: 10 * ms}}, []float64{0.5, 0.5}},
	}
	for _, c := range cases {
		g := New(Config{Slots: 3, QueueLength: 100})
		saturate(g, 3, c.loads, 60*time.Second)
		total := 0.0
		for _, l := range c.loads {
			total += l.served
		}
		for i, l := range c.loads {
			got := l.served / total
			assert.Assert(t, got > c.want[i]-0.02 && got < c.want[i]+0.02, "%s: caller %s has %.3f of the slot time, want %.3f", c.name, l.caller, got, c.want[i])
		}
	}
}

func TestBatchGetsItsShareAndNoMore(t *testing.T) {
	cases := []struct {
		share             float64
		service, declared time.Duration
	}{
		{0.1, 10 * ms, 0},
		{0.1, 100 * ms, 0},
		{0.3, 10 * ms, 0},
		{0.3, 100 * ms, 0},
		{0.1, 100 * ms, ms},
	}
	for _, c := range cases {
		g := New(Config{Slots: 3, QueueLength: 100, BatchShare: c.share})
		interactive := &backlog{caller: "a", service: 10 * ms}
		batch := &backlog{caller: "export", class: request.Batch, service: c.service, declared: c.declared}
		saturate(g, 3, []*backlog{interactive, batch}, 60*time.Second)
		got := batch.served / (batch.served + interactive.served)
		assert.Assert(t, got > c.share-0.02 && got < c.share+0.02,
			"batch of %s, declared as %s, has %.3f of the slot time, want %.3f", c.service, c.declared, got, c.share)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		g := New(Config{Slots: 2, QueueLength: 8})
		out := ""
		for i := range 400 {
			now := at(time.Duration(i) * ms)
			d := g.Offer(now, Item{ID: ID(i + 1), Caller: fmt.Sprint(i % 7), Class: request.Class(i % 2), Deadline: now.Add(time.Duration(i%90) * ms)})
			a := g.Done(now, ID(i*7%(i+1)+1), Outcome(i%5), time.Duration(i%30)*ms)
			out += fmt.Sprint(d, a.Start, a.Refuse, g.NextWake().UnixNano())
		}
		return out
	}
	first := run()
	for range 5 {
		assert.Equal(t, run(), first)
	}
}
