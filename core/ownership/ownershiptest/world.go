package ownershiptest

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sort"
	"time"

	"tarragongw/core/confirm"
	"tarragongw/core/ownership"
	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// Options describe a world.
type Options struct {
	Seed     int64
	Routers  int
	Targets  []ownership.TargetSpec
	Services []ownership.ServiceSpec
	// Keeper makes a router's settings from its identity.
	Keeper func(self ownership.Router) ownership.Config
	// Detect is the membership's time to notice a loss or a return.
	Detect time.Duration
	// DataCentres, if set, are those of the routers in turn; otherwise all are in one.
	DataCentres []string
	// CutOff is how long nothing is heard of a data centre until it counts as cut off.
	CutOff time.Duration
	// ReplyLoss is the share of store replies that are lost, from 0 to 1.
	ReplyLoss float64
	// RequestEvery is the interval at which each unit gets a request.
	RequestEvery time.Duration
	// Trace, if set, sees each router's events and actions.
	Trace func(at time.Duration, router string, what any)
	// Confirm makes a router's settings as asker and relay of confirmations; without it
	// each router reads by itself.
	Confirm func(self ownership.Router) confirm.Config
}

// Latencies of the fakes.
const (
	tickInterval   = 10 * time.Millisecond
	networkLatency = 500 * time.Microsecond
	storeLatency   = time.Millisecond
	callTimeout    = 100 * time.Millisecond
	// listInterval is how often a router catches up with what its watch missed.
	listInterval = 300 * time.Millisecond
	// maxOrderDelay is below the default OrderBound; what would take longer is dropped,
	// as a connection's deadline does.
	maxOrderDelay = 20 * time.Millisecond
)

// World is a set of routers, targets and a store in injected time.
type World struct {
	sim
	opt      Options
	rand     *rand.Rand
	store    *store
	routers  []*router
	targets  map[string]*fakeTarget
	names    []string
	cutLinks map[[2]int]bool
	// deafUntil is until when a router doesn't hear the others as live.
	deafUntil map[int]time.Duration
	// deafToUntil is the same of two routers.
	deafToUntil map[[2]int]time.Duration
	// targetsUnreachableUntil is until when a router reaches no target.
	targetsUnreachableUntil map[int]time.Duration
	// partitionedUntil is until when routers of a data centre reach no target of others, and the
	// other way round.
	partitionedUntil map[string]time.Duration
	// AddedLatency is what the way between data centres adds to an order.
	AddedLatency time.Duration
	// refusingWrites makes the store refuse writes at once.
	refusingWrites bool
	// StoreDown makes the store unreachable for all.
	StoreDown bool
	// Violations is what was seen that must never be.
	Violations []string
	// Moves counts assignments away from a target.
	Moves int
	// Reports are the reports of all routers.
	Reports []ownership.Report
	// Asked are the targets of all requests for promises, in order.
	Asked        []string
	served       map[routing.Unit]*serviceTimes
	highestToken map[routing.Unit]uint64
	executed     map[assignment]bool
	acknowledged []assignment
}

// serviceTimes is when a unit was served.
type serviceTimes struct {
	lastRun    time.Duration
	longestGap time.Duration
	measuring  bool
}

type router struct {
	world  *World
	index  int
	self   ownership.Router
	keeper *ownership.Keeper
	gate   *ownership.Gate
	paused bool
	dead   bool
	// leaving says that the router announced its planned stop.
	leaving     bool
	storeCut    bool
	clockRate   float64
	backlog     []func()
	confirmCore *confirm.Core
	// confirmTickDue is when, on the router's clock, that core asked to be ticked.
	confirmTickDue time.Duration
	// inFlight is when the last request sent to a target has ended.
	inFlight map[string]time.Duration
	heardAt  map[int]time.Duration
	// members is what the keeper was last told.
	members ownership.Members
	// targets are those of the configuration that the router has.
	targets []ownership.TargetSpec
	// tickDue is when, on the router's clock, the keeper asked to be ticked.
	tickDue time.Duration
}

// New builds a world and starts it.
func New(opt Options) *World {
	w := &World{opt: opt, rand: rand.New(rand.NewSource(opt.Seed)), store: newStore(), targets: map[string]*fakeTarget{},
		cutLinks: map[[2]int]bool{}, deafUntil: map[int]time.Duration{}, deafToUntil: map[[2]int]time.Duration{}, targetsUnreachableUntil: map[int]time.Duration{}, partitionedUntil: map[string]time.Duration{}, served: map[routing.Unit]*serviceTimes{}, highestToken: map[routing.Unit]uint64{}, executed: map[assignment]bool{}}
	for _, t := range opt.Targets {
		w.targets[t.Name] = &fakeTarget{spec: t, units: map[routing.Unit]uint64{}}
		w.names = append(w.names, t.Name)
	}
	sort.Strings(w.names)
	for i := range opt.Routers {
		r := &router{world: w, index: i, clockRate: 1 + 0.003*float64(i%3-1)}
		w.routers = append(w.routers, r)
		r.start(1)
	}
	w.after(0, w.tick)
	w.after(listInterval, w.listRecords)
	if opt.RequestEvery > 0 {
		w.after(opt.RequestEvery, w.sendRequests)
	}
	return w
}

// Run lets time pass.
func (w *World) Run(d time.Duration) { w.runUntil(w.now + d) }

// After runs f when d has passed.
func (w *World) After(d time.Duration, f func()) { w.after(d, f) }

// Now is the time since the start.
func (w *World) Now() time.Duration { return w.now }

func (r *router) start(incarnation uint64) {
	r.self = ownership.Router{Name: fmt.Sprintf("r%d", r.index), Incarnation: incarnation}
	r.keeper = ownership.NewKeeper(r.world.opt.Keeper(r.self))
	r.gate, r.dead, r.leaving, r.paused, r.backlog, r.members = nil, false, false, false, nil, ownership.Members{}
	r.tickDue, r.confirmTickDue = 0, 0
	r.startConfirmCore()
	r.inFlight = map[string]time.Duration{}
	r.heardAt = map[int]time.Duration{}
	for _, o := range r.world.routers {
		if r.world.now >= r.world.deafUntil[r.index] {
			r.heardAt[o.index] = r.world.now
		}
	}
	if r.targets == nil {
		r.targets = r.world.opt.Targets
	}
	r.step(ownership.Configured{Targets: r.targets, Services: r.world.opt.Services})
}

// local is the router's own clock, which starts at one hour and runs at its rate.
func (r *router) local() time.Duration {
	return time.Hour + time.Duration(float64(r.world.now)*r.clockRate)
}

func (r *router) step(e ownership.Event) {
	if r.dead {
		return
	}
	if r.paused {
		r.backlog = append(r.backlog, func() { r.step(e) })
		return
	}
	if _, tick := e.(ownership.Tick); tick {
		r.tickDue = 0
	}
	r.trace(e)
	actions := r.keeper.Step(r.local(), e)
	for _, a := range actions {
		r.trace(a)
		r.carryOut(a)
	}
	r.requestRelayedReads(actions)
	if due := r.local() + r.keeper.Wake(r.local()); r.tickDue == 0 || due < r.tickDue {
		r.tickDue = due
	}
}

func (r *router) trace(what any) {
	if t := r.world.opt.Trace; t != nil {
		t(r.world.now, r.self.Name, what)
	}
}

// deliverAfter delivers an event to this life of the router only.
func (r *router) deliverAfter(d time.Duration, e func() ownership.Event) {
	life := r.keeper
	r.world.after(d, func() {
		if r.keeper == life {
			r.step(e())
		}
	})
}

func (w *World) tick() {
	for _, r := range w.routers {
		r.updateMembers()
		if !r.paused && r.local() >= r.tickDue {
			r.step(ownership.Tick{})
		}
		if r.confirmCore != nil && !r.paused && r.local() >= r.confirmTickDue {
			r.stepConfirmCore(confirm.Tick{})
		}
	}
	w.after(tickInterval, w.tick)
}

func (w *World) linked(a, b int) bool { return !w.cutLinks[[2]int{min(a, b), max(a, b)}] }

// updateMembers stands in for the membership: a router is live while it was heard
// within Detect.
func (r *router) updateMembers() {
	if r.dead || r.paused {
		return
	}
	live, leaving := []ownership.Router{}, []ownership.Router{}
	for _, o := range r.world.routers {
		if o == r || !o.dead && !o.paused && r.world.hears(r.index, o.index) {
			r.heardAt[o.index] = r.world.now
		}
		if at, ok := r.heardAt[o.index]; ok && r.world.now-at < r.world.opt.Detect && o.dataCentre() == r.dataCentre() {
			live = append(live, o.self)
			if o.leaving {
				leaving = append(leaving, o.self)
			}
		}
	}
	next := ownership.Members{Live: live, Leaving: leaving, Elsewhere: r.otherDataCentres()}
	same := slices.Equal(next.Live, r.members.Live) && slices.Equal(next.Leaving, r.members.Leaving) &&
		slices.Equal(next.Elsewhere, r.members.Elsewhere)
	if !same {
		r.members = next
		r.step(next)
		r.updateConfirmMembers(live, leaving)
	}
}

// hears says whether the heartbeats of router b reach router a.
func (w *World) hears(a, b int) bool {
	return w.linked(a, b) && w.now >= w.deafUntil[a] && w.now >= w.deafToUntil[[2]int{a, b}]
}

func (w *World) jitter(d time.Duration) time.Duration {
	return d + time.Duration(w.rand.Int63n(int64(d)))
}

func (r *router) carryOut(a ownership.Action) {
	w := r.world
	switch a := a.(type) {
	case ownership.Read:
		if !a.Relayed || r.confirmCore == nil {
			w.read(r, a)
		}
	case ownership.CAS:
		w.compareAndSwap(r, a)
	case ownership.SendGrant:
		w.sendGrant(r, a)
	case ownership.SendPeer:
		w.sendPeer(r, a)
	case ownership.ProbeTarget:
		w.probe(r, a)
	case ownership.CloseSend:
		r.deliverAfter(max(time.Millisecond, r.inFlight[a.Target]-w.now), func() ownership.Event { return ownership.SendClosed{Target: a.Target, Units: a.Units} })
	case ownership.SetGate:
		r.gate = a.Gate
	case ownership.Publish:
		w.publish(r, a)
	case ownership.Assigned:
		w.checkAcknowledged(a)
	case ownership.Report:
		w.Reports = append(w.Reports, a)
	}
}

func (w *World) reachesStore(r *router) bool { return !w.StoreDown && !r.storeCut }

func (w *World) read(r *router, a ownership.Read) {
	fail := ownership.StoreRead{Key: a.Key, SentAt: a.SentAt, Outcome: ownership.Unavailable}
	if !w.reachesStore(r) || w.rand.Float64() < w.opt.ReplyLoss {
		r.deliverAfter(callTimeout, func() ownership.Event { return fail })
		return
	}
	w.after(w.jitter(storeLatency), func() {
		w.store.reads++
		rec := w.store.records[a.Key]
		e := ownership.StoreRead{Key: a.Key, SentAt: a.SentAt, Outcome: ownership.Landed, Revision: rec.revision, Value: rec.value}
		r.deliverAfter(w.jitter(storeLatency), func() ownership.Event { return e })
	})
}

// compareAndSwap may lose the call, delay it past its timeout, or lose the reply.
func (w *World) compareAndSwap(r *router, a ownership.CAS) {
	if !w.reachesStore(r) {
		r.deliverAfter(callTimeout, func() ownership.Event {
			return ownership.CASResult{Key: a.Key, Op: a.Op, Outcome: ownership.Unavailable}
		})
		return
	}
	if w.refusingWrites {
		r.deliverAfter(w.jitter(storeLatency), func() ownership.Event {
			return ownership.CASResult{Key: a.Key, Op: a.Op, Outcome: ownership.Unavailable}
		})
		return
	}
	lost := w.rand.Float64() < w.opt.ReplyLoss
	way := w.jitter(storeLatency)
	if lost {
		way = time.Duration(w.rand.Int63n(int64(3 * callTimeout)))
	}
	if !lost || w.rand.Intn(3) > 0 {
		w.after(way, func() {
			outcome, revision, err := w.store.cas(a)
			if err != nil {
				w.violate(err.Error())
			}
			if outcome == ownership.Landed {
				w.notifyWatchers(a.Key)
			}
			if !lost {
				e := ownership.CASResult{Key: a.Key, Op: a.Op, Outcome: outcome, Revision: revision}
				r.deliverAfter(w.jitter(storeLatency), func() ownership.Event { return e })
			}
		})
	}
	if lost {
		r.deliverAfter(callTimeout, func() ownership.Event { return ownership.CASResult{Key: a.Key, Op: a.Op, Outcome: ownership.Unknown} })
	}
}

// listRecords gives each router that reaches the store all records, as a watch that
// resumes does.
func (w *World) listRecords() {
	for _, key := range slices.Sorted(maps.Keys(w.store.records)) {
		w.notifyWatchers(key)
	}
	w.after(listInterval, w.listRecords)
}

// notifyWatchers tells the routers that reach the store what changed.
func (w *World) notifyWatchers(key string) {
	rec := w.store.records[key]
	for _, r := range w.routers {
		if w.reachesStore(r) {
			r.deliverAfter(w.jitter(5*storeLatency), func() ownership.Event {
				return ownership.StoreChanged{Key: key, Revision: rec.revision, Value: rec.value}
			})
		}
	}
}

func (w *World) publish(r *router, a ownership.Publish) {
	for _, o := range w.routers {
		if o == r || !w.linked(r.index, o.index) {
			continue
		}
		o.deliverAfter(w.jitter(2*networkLatency), func() ownership.Event {
			if a.Revision > 0 {
				return ownership.StoreChanged(a)
			}
			g, err := ownership.DecodeGrantor(a.Value)
			if err != nil {
				return ownership.Tick{}
			}
			return ownership.GrantorClaimed{Record: g}
		})
	}
}

func (w *World) sendPeer(r *router, a ownership.SendPeer) {
	if a.Message.Kind == ownershippb.Peer_PROMISE_REQUEST {
		w.Asked = append(w.Asked, a.Message.Target)
	}
	for _, o := range w.routers {
		if o.self.Name != a.To.Name || !w.linked(r.index, o.index) || w.rand.Float64() < w.opt.ReplyLoss {
			continue
		}
		e := ownership.PeerMessage{From: r.self, Message: a.Message}
		o.deliverAfter(w.jitter(networkLatency), func() ownership.Event { return e })
		if a.Message.Kind == ownershippb.Peer_PROMISE_REQUEST && w.rand.Intn(8) == 0 {
			o.deliverAfter(time.Duration(w.rand.Int63n(int64(time.Second))), func() ownership.Event { return e }) // repeated late
		}
	}
}

func (w *World) sendGrant(r *router, a ownership.SendGrant) {
	silent := ownership.GrantResult{Target: a.Target, Sequence: a.Sequence, Silent: true}
	t := w.targets[a.Target]
	way := w.jitter(networkLatency) + w.orderDelay() + w.addedLatency(r, t)
	w.after(way, func() {
		if way > ownership.DefaultOrderBound && !a.Fence {
			w.violate(fmt.Sprintf("a grant was under way to %s for %v", a.Target, way))
		}
		if !w.reaches(r, t) {
			r.deliverAfter(callTimeout, func() ownership.Event { return silent })
			return
		}
		ok := t.grant(w.now, a)
		if ok {
			w.checkGrants(t)
		}
		e := ownership.GrantResult{Target: a.Target, Sequence: a.Sequence, Accepted: ok, Term: t.term}
		r.deliverAfter(w.jitter(networkLatency)+w.addedLatency(r, t), func() ownership.Event { return e })
	})
}

func (w *World) reaches(r *router, t *fakeTarget) bool {
	apart := r.dataCentre() != t.spec.DataCentre && w.now < max(w.partitionedUntil[r.dataCentre()], w.partitionedUntil[t.spec.DataCentre])
	return t.up() && w.now >= w.targetsUnreachableUntil[r.index] && !apart
}

// probe looks whether the router reaches the target, for another one.
func (w *World) probe(r *router, a ownership.ProbeTarget) {
	reached := w.reaches(r, w.targets[a.Target])
	way := 2 * (w.jitter(networkLatency) + w.addedLatency(r, w.targets[a.Target]))
	if !reached {
		way = callTimeout
	}
	r.deliverAfter(way, func() ownership.Event {
		return ownership.TargetProbed{Target: a.Target, For: a.For, Reached: reached}
	})
}

// orderDelay delays one order in eight.
func (w *World) orderDelay() time.Duration {
	if w.rand.Intn(8) > 0 {
		return 0
	}
	return time.Duration(w.rand.Int63n(int64(maxOrderDelay)))
}

func (w *World) violate(text string) {
	if len(w.Violations) < 5 {
		w.Violations = append(w.Violations, fmt.Sprintf("at %v: %s", w.now, text))
	}
}
