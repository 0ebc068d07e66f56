package router

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tarragongw/core/confirm"
	"tarragongw/core/ownership"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer"
	"tarragongw/peer/wire"
)

// confirmDuty drives the core that has grantor records read by one router for many. A
// full mailbox drops what comes: the duty of ownership waits for nobody here, so that
// the two never wait for each other, and asks again soon.
type confirmDuty struct {
	r      *Router
	core   *confirm.Core
	duty   *duty.Duty
	waker  *waker
	prefix string
	counts *confirmCounts
	// members is the latest view of the live routers that the core has not taken in. It
	// is no message: one that the mailbox dropped would leave the core with lost relays.
	members atomic.Pointer[confirm.Members]
}

func newConfirmDuty(r *Router) *confirmDuty {
	return &confirmDuty{
		r:      r,
		prefix: ownership.GrantorKey(r.self.DataCentre, ""),
		counts: newConfirmCounts(r.tel.Scope()),
		core: confirm.New(confirm.Config{
			Self:       confirm.Router{Name: r.self.Name, Incarnation: r.self.Incarnation},
			DataCentre: r.self.DataCentre,
			Interval:   r.opts.Settings.Timers.GrantRenew,
			PerRelay:   r.opts.Settings.Store.RoutersPerRelay,
		}),
	}
}

func (d *confirmDuty) start() {
	d.waker = d.r.newWaker(func() { d.duty.TellHere(confirm.Tick{}) })
	d.duty = d.r.startDuty(true, d.handle)
}

// membersChanged tells the core which routers of the data centre live.
func (d *confirmDuty) membersChanged(e ownership.Members) {
	d.members.Store(&confirm.Members{Live: sortedNames(e.Live), Leaving: sortedNames(e.Leaving)})
	d.waker.within(0)
}

func sortedNames(routers []ownership.Router) []string {
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	return names
}

// ask has records read that all are grantor records of this data centre.
func (d *confirmDuty) ask(reads []ownership.Read) {
	asked := confirm.Asked{Reads: make([]confirm.Read, 0, len(reads))}
	for _, a := range reads {
		asked.Reads = append(asked.Reads, confirm.Read{Target: strings.TrimPrefix(a.Key, d.prefix), SentAt: a.SentAt})
	}
	d.duty.Tell(asked)
}

// receive hands a message of another router to the core. Those of other data centres
// have other records.
func (d *confirmDuty) receive(from peer.Identity, payload []byte) {
	message, err := wire.DecodeConfirm(payload)
	if err != nil {
		d.r.log.Warn("unreadable confirmation", "from", from.Name, "error", err)
		return
	}
	if from.DataCentre != d.r.self.DataCentre {
		return
	}
	d.duty.TellHere(confirm.Received{From: confirm.Router{Name: from.Name, Incarnation: from.Incarnation}, Message: message})
}

// handle takes one event through the core.
func (d *confirmDuty) handle(message any) {
	event, ok := message.(confirm.Event)
	if !ok {
		return
	}
	if _, tick := event.(confirm.Tick); tick {
		d.waker.handled()
	}
	now := d.r.clock.Now()
	if members := d.members.Swap(nil); members != nil {
		d.step(now, *members)
	}
	d.step(now, event)
	d.counts.report(d.core.Stats())
	d.waker.next(d.core.Wake(now))
}

func (d *confirmDuty) step(now time.Duration, event confirm.Event) {
	for _, action := range d.core.Step(now, event) {
		d.do(action)
	}
}

func (d *confirmDuty) do(action confirm.Action) {
	switch a := action.(type) {
	case confirm.Send:
		d.send(&a)
	case confirm.List:
		d.r.workers.Run(func() { d.list(a.ID) })
	case confirm.Confirmed:
		// The duty of ownership never waits for this one.
		d.r.owner.duty.TellHere(ownership.StoreRead{
			Key:      d.prefix + a.Record.Target,
			SentAt:   a.SentAt,
			Earlier:  a.Earlier,
			Outcome:  ownership.Landed,
			Revision: a.Record.Revision,
			Value:    a.Record.Value,
		})
	}
}

func (d *confirmDuty) send(a *confirm.Send) {
	payload, err := wire.EncodeConfirm(&a.Message)
	if err != nil {
		d.r.log.Error("confirmation not encoded", "error", err)
		return
	}
	send := d.r.peers.Send
	if a.Lossy {
		send = d.r.peers.SendLossy
	}
	send(a.To, wire.KindConfirm, payload)
}

// list reads the grantor records of the data centre. Its calls go first within the
// budget, as those of ownership do that they stand for.
func (d *confirmDuty) list(id uint64) {
	ctx, cancel := d.r.alarms.limit(d.r.lifetime, d.r.opts.Settings.Store.Timeout)
	defer cancel()
	records, _, err := d.r.platform.For(kv.Ownership).List(ctx, d.prefix)
	if err != nil {
		d.duty.TellHere(confirm.Listed{ID: id})
		return
	}
	d.r.members.witness()
	d.duty.TellHere(confirm.Listed{ID: id, OK: true, Records: d.records(records)})
}

func (d *confirmDuty) records(records []kv.Record) []confirm.Record {
	out := make([]confirm.Record, 0, len(records))
	for _, rec := range records {
		out = append(out, confirm.Record{
			Target:   strings.TrimPrefix(rec.Key, d.prefix),
			Revision: uint64(rec.Revision),
			Value:    rec.Value,
		})
	}
	byTarget := func(a, b confirm.Record) int { return cmp.Compare(a.Target, b.Target) }
	if !slices.IsSortedFunc(out, byTarget) {
		slices.SortFunc(out, byTarget)
	}
	return out
}

// confirmCounts carry the core's counts over to the metrics.
type confirmCounts struct {
	last                                 confirm.Stats
	relayed, own, lists, served, limited tally.Counter
	fallbacks                            []tally.Counter
}

func newConfirmCounts(scope tally.Scope) *confirmCounts {
	way := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"way": name}).Counter("confirmations_total")
	}
	fallback := func(cause string) tally.Counter {
		return scope.Tagged(map[string]string{"cause": cause}).Counter("confirmation_fallbacks_total")
	}
	c := &confirmCounts{
		relayed: way("relayed"),
		own:     way("own"),
		lists:   scope.Counter("confirmation_lists_total"),
		served:  scope.Counter("confirmation_questions_served_total"),
		limited: fallback("limited"),
	}
	for _, cause := range confirm.Causes() {
		c.fallbacks = append(c.fallbacks, fallback(cause.String()))
	}
	return c
}

func (c *confirmCounts) report(now confirm.Stats) {
	add := func(counter tally.Counter, before, after uint64) {
		if after > before {
			counter.Inc(int64(after - before))
		}
	}
	add(c.relayed, c.last.Relayed, now.Relayed)
	add(c.own, c.last.Own, now.Own)
	add(c.lists, c.last.Lists, now.Lists)
	add(c.served, c.last.Served, now.Served)
	add(c.limited, c.last.Limited, now.Limited)
	for i, counter := range c.fallbacks {
		add(counter, c.last.Fallbacks[i], now.Fallbacks[i])
	}
	c.last = now
}
