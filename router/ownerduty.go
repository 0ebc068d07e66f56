package router

import (
	"time"

	"google.golang.org/protobuf/proto"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershippb"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/peer"
)

// Kinds of control messages.
const (
	kindOwnership  = "ownership"
	kindClaim      = "claim"
	kindDead       = "dead"
	kindSpread     = "spread"
	kindMembership = "membership"
)

// ownerDuty drives the ownership core: it feeds in events, one at a time, and
// carries out the actions. Calls that wait run beside it and come back as events.
type ownerDuty struct {
	r      *Router
	keeper *ownership.Keeper
	duty   *duty.Duty
	waker  *waker
	// digests are the targets' own checksums of the sets that they were last sent.
	digests map[string]uint64
	// unserved measures how long moves leave units without service.
	unserved *unservedClock
	formers  formerWaits
}

func newOwnerDuty(r *Router) *ownerDuty {
	timers := &r.opts.Settings.Timers
	return &ownerDuty{
		r:        r,
		digests:  make(map[string]uint64),
		unserved: newUnservedClock(r),
		formers:  newFormerWaits(r),
		keeper: ownership.NewKeeper(ownership.Config{
			Self:       ownership.Router{Name: r.self.Name, Incarnation: r.self.Incarnation},
			DataCentre: r.self.DataCentre,
			Authority:  timers.GrantTTL,
			RenewEvery: timers.GrantRenew,
			// With the default timers these are the core's own defaults.
			ReplyTimeout: replyTimeout(timers),
			LostAfter:    timers.GrantTTL * 15 / 16,
			RequestBound: r.opts.Settings.Drain.Limit,
		}),
	}
}

// replyTimeout is when a target's or the store's reply counts as lost.
func replyTimeout(timers *config.Timers) time.Duration { return timers.GrantRenew * 15 / 8 }

func (o *ownerDuty) start() {
	o.waker = o.r.newWaker(func() { o.duty.TellHere(ownership.Tick{}) })
	o.duty = o.r.startDuty(false, o.handle)
	o.waker.within(0)
}

// ownershipPrefix is the part that the keys of all ownership records share.
const ownershipPrefix = "own/"

// configured tells the core about a new configuration.
func (o *ownerDuty) configured(v *view) {
	o.duty.Tell(configuredEvent(v))
}

func configuredEvent(v *view) ownership.Configured {
	m := v.model()
	e := ownership.Configured{Targets: make([]ownership.TargetSpec, 0, len(m.Targets))}
	for i := range m.Targets {
		t := &m.Targets[i]
		s := v.compiled.Service(t.Service)
		e.Targets = append(e.Targets, ownership.TargetSpec{
			Name:       t.Name,
			Service:    t.Service,
			DataCentre: t.DataCentre,
			Grants:     grantsOf(s, t),
			Isolation:  s.Isolation,
			Drain:      t.Drain,
			Weight:     float64(t.Slots),
		})
	}
	for i := range m.Services {
		e.Services = append(e.Services, serviceSpec(v, &m.Services[i]))
	}
	return e
}

// grantsOf is what the core is to assume of a target.
//
// A service that is not divided by key has no ownership to protect: its targets
// have a grantor only so that one router counts their slots. There a new grantor
// need not wait out the old one, and a grantor need not have its authority
// confirmed; while two routers hold the duty, at worst each counts the slots by
// itself and the target sheds what is too much.
func grantsOf(s *model.Service, t *model.Target) model.GrantCheck {
	if s.Division == model.Any {
		return model.GrantCheck{ChecksTokens: true}
	}
	return t.Grants
}

// receive hands a message of another router to the core.
func (o *ownerDuty) receive(from peer.Identity, payload []byte) {
	message := new(ownershippb.Peer)
	if err := proto.Unmarshal(payload, message); err != nil {
		o.r.log.Warn("unreadable ownership message", "from", from.Name, "error", err)
		return
	}
	o.duty.Tell(ownership.PeerMessage{
		From:    ownership.Router{Name: from.Name, Incarnation: from.Incarnation},
		Message: message,
	})
}

// handle takes one event through the core.
func (o *ownerDuty) handle(message any) {
	event, ok := message.(ownership.Event)
	// An outlived router takes nothing over and writes nothing: others hold its life for over.
	if !ok || o.r.aborted.Load() || o.r.outlived.Load() {
		return
	}
	if _, tick := event.(ownership.Tick); tick {
		o.waker.handled()
	}
	now := o.r.clock.Now()
	actions := o.keeper.Step(now, event)
	o.waker.next(o.keeper.Wake(now))
	for _, action := range actions {
		o.unserved.take(o.r.clock.Now(), action)
		o.do(action)
	}
	o.readAll(actions)
	o.recordAssigned(actions)
	if table := o.keeper.Table(); table != o.r.table.Load() {
		o.r.table.Store(table)
		o.r.changes.notify()
	}
}

// do carries out one action; nothing here waits.
func (o *ownerDuty) do(action ownership.Action) {
	switch a := action.(type) {
	case ownership.CAS:
		o.r.workers.Run(func() { o.compareAndSwap(a) })
	case ownership.SendGrant:
		digest := o.wireDigest(&a)
		o.r.workers.Run(func() { o.grant(a, digest) })
	case ownership.SendPeer:
		o.sendPeer(a)
	case ownership.ProbeTarget:
		o.r.workers.Run(func() { o.probe(a) })
	case ownership.CloseSend:
		o.closeSend(a)
	case ownership.CountBegun:
		o.countBegun(a)
	case ownership.CancelBegun:
		o.cancelBegun(a)
	case ownership.SetGate:
		o.setGate(a.Gate)
	case ownership.Publish:
		o.publish(a)
	case ownership.Report:
		o.report(a)
	}
}

func (o *ownerDuty) sendPeer(a ownership.SendPeer) {
	payload, err := proto.Marshal(a.Message)
	if err != nil {
		o.r.log.Error("ownership message not encoded", "error", err)
		return
	}
	o.r.peers.Send(a.To.Name, kindOwnership, payload)
}

// closeSend answers once nothing of the units is in flight at the target and cuts
// what goes on longer than the core counts on.
func (o *ownerDuty) closeSend(a ownership.CloseSend) {
	u := o.r.upstreams.settled(a.Target)
	closed := ownership.SendClosed{Target: a.Target, Units: a.Units}
	if u == nil {
		go o.duty.Tell(closed)
		return
	}
	timer := time.AfterFunc(o.r.opts.Settings.Drain.Limit, func() { u.flights.cut(a.Units) })
	u.flights.close(a.Units, a.Abort, func() {
		timer.Stop()
		go o.duty.Tell(closed)
	})
}

// reportKinds maps the core's reports to kinds of events and their causes.
var reportKinds = map[ownership.ReportKind]struct {
	kind  eventlog.Kind
	cause string
}{
	ownership.TookOver:             {eventlog.GrantorChanged, "this router took the target over"},
	ownership.TookOverWithoutStore: {eventlog.GrantorChanged, "this router took the target over as its successor, without the store"},
	ownership.Superseded:           {eventlog.GrantorLost, "another router is the target's grantor"},
	ownership.HandedOver:           {eventlog.GrantorChanged, "this router handed the target over"},
	ownership.TargetLost:           {eventlog.TargetEjected, "the target is silent; its units move away"},
	ownership.Unprovable:           {eventlog.UnitUnserved, "grantor and successor are lost and nothing proves that they stopped"},
	ownership.PromisesOnly:         {eventlog.StoreUnavailable, "the grantor goes on by promises of its successor"},
	ownership.LossHeld: {eventlog.TargetLossHeld,
		"the target is silent, as too many are at once, or this router may be cut off; its units stay"},
	ownership.LossDismissed: {eventlog.TargetReadmitted, "the target answers, or another router has taken it over"},
	ownership.ClaimedElsewhere: {eventlog.GrantorChanged,
		"the target's data centre is cut off; this router takes the target over once nobody there can send to it"},
	ownership.AwaitingFormer:   {eventlog.MoveWaits, "a former grantor still has requests that it had begun on the units"},
	ownership.FormerAwaited:    {eventlog.MoveGoesOn, "the moves of the units no longer wait for the former grantor"},
	ownership.FormerRevoked:    {eventlog.FormerRevoked, "a former grantor is silent and may not finish the requests that it had begun"},
	ownership.FinishRightEnded: {eventlog.FinishEnded, "this router may not finish the requests that it had begun before it handed the target over"},
	ownership.StaleUnits:       {eventlog.UnitUnserved, "the successor does not know the units that the grantor served"},
}

func (o *ownerDuty) report(a ownership.Report) {
	row := reportKinds[a.Kind]
	o.r.journal.Record(eventlog.Event{
		Kind:   row.kind,
		Cause:  row.cause,
		Target: a.Target,
		Router: o.r.self.Name,
		Fields: reportFields(a),
	})
	o.formers.take(a)
	switch a.Kind {
	case ownership.LossHeld:
		o.r.held.set(a.Target, true)
	case ownership.LossDismissed:
		o.r.held.set(a.Target, false)
	case ownership.TargetLost:
		o.r.held.set(a.Target, false)
		o.r.lost.set(a.Target, true)
		o.r.settleGate(a.Target)
	case ownership.TookOver, ownership.TookOverWithoutStore:
		o.r.lost.set(a.Target, false)
	}
}
