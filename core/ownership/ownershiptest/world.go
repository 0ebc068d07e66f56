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

// Options configure a World.
type Options struct {
	Seed     int64
	Routers  int
	Targets  []ownership.TargetSpec
	Services []ownership.ServiceSpec
	// Keeper returns a router's settings for its identity.
	Keeper func(self ownership.Router) ownership.Config
	// DetectAfter is how long the membership takes to detect a loss or a return.
	DetectAfter time.Duration
	// DataCentres, if set, are assigned to the routers in turn; otherwise all routers are in
	// one data centre.
	DataCentres []string
	// CutOff is how long no heartbeat of a data centre arrives before it counts as cut off.
	CutOff time.Duration
	// ReplyLoss is the proportion of store replies that are lost, from 0 to 1.
	ReplyLoss float64
	// RequestEvery is the interval at which each unit gets a request.
	RequestEvery time.Duration
	// SlowShare is the proportion of requests whose rest follows long after the header, from 0 to 1.
	SlowShare float64
	// Trace, if set, is called for each router's events and actions.
	Trace func(at time.Duration, router string, what any)
	// Confirm returns the settings of a router's confirm core, which relays confirmations.
	// If it is nil, each router reads the records itself.
	Confirm func(self ownership.Router) confirm.Config
}

// Latencies of the fakes.
const (
	tickInterval   = 10 * time.Millisecond
	networkLatency = 500 * time.Microsecond
	storeLatency   = time.Millisecond
	callTimeout    = 100 * time.Millisecond
	// listInterval is how often routers get all records, in place of changes that their
	// watch missed.
	listInterval = 300 * time.Millisecond
	// maxOrderDelay is below the default OrderBound. Orders that would take longer are
	// dropped in a real system by the deadline of the connection.
	maxOrderDelay = 20 * time.Millisecond
)

// World is a set of routers, targets and a store in simulated time.
type World struct {
	sim
	opt      Options
	rand     *rand.Rand
	store    *store
	routers  []*router
	targets  map[string]*fakeTarget
	names    []string
	cutLinks map[[2]int]bool
	// deafUntil is until when a router receives no heartbeats.
	deafUntil map[int]time.Duration
	// deafToUntil is until when the first router receives no heartbeats from the second.
	deafToUntil map[[2]int]time.Duration
	// targetsUnreachableUntil is until when a router reaches no target.
	targetsUnreachableUntil map[int]time.Duration
	// lostFrom has the router that doesn't reach a target, by target.
	lostFrom map[string]int
	// partitionedUntil is until when routers of a data centre reach no targets of other data
	// centres, and routers of those no targets of this one.
	partitionedUntil map[string]time.Duration
	// AddedLatency is the additional latency of an order between data centres.
	AddedLatency time.Duration
	// refusingWrites makes the store refuse writes immediately.
	refusingWrites bool
	// StoreDown makes the store unreachable for all.
	StoreDown bool
	// Violations are the violated guarantees.
	Violations []string
	// FinishedBegun counts slow requests that were executed, CutOff those whose router had lost its
	// right to finish them.
	FinishedBegun, CutOff int
	// Moves counts assignments away from a target.
	Moves int
	// Reports are the reports of all routers, in order.
	Reports []ownership.Report
	// PromiseRequests are the targets of all requests for promises, in order.
	PromiseRequests []string
	served          map[routing.Unit]*serviceTimes
	highestToken    map[routing.Unit]uint64
	executed        map[assignment]bool
	acknowledged    []assignment
}

// serviceTimes records when a unit was served.
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
	// leaving means that the router has announced its planned stop.
	leaving     bool
	storeCut    bool
	clockRate   float64
	backlog     []func()
	confirmCore *confirm.Core
	// confirmTickDue is when, on the router's clock, the next tick of the confirm core is
	// due.
	confirmTickDue time.Duration
	// inFlight is when the latest request sent to each target ends.
	inFlight        map[string]time.Duration
	lastHeartbeatAt map[int]time.Duration
	// begun are the slow requests in flight; overdue are those whose rest became due in a pause.
	begun   []*begunRequest
	overdue []*begunRequest
	counts  []begunCount
	// closings are those whose units have slow requests in flight.
	closings []ownership.CloseSend
	// members are the members that the keeper last received.
	members ownership.Members
	// targets are the targets in the router's configuration.
	targets []ownership.TargetSpec
	// tickDue is when, on the router's clock, the next tick of the keeper is due.
	tickDue time.Duration
}

// New returns a new world whose routers have started.
func New(opt Options) *World {
	w := &World{opt: opt, rand: rand.New(rand.NewSource(opt.Seed)), store: newStore(), targets: map[string]*fakeTarget{},
		cutLinks: map[[2]int]bool{}, deafUntil: map[int]time.Duration{}, deafToUntil: map[[2]int]time.Duration{}, targetsUnreachableUntil: map[int]time.Duration{}, partitionedUntil: map[string]time.Duration{}, lostFrom: map[string]int{}, served: map[routing.Unit]*serviceTimes{}, highestToken: map[routing.Unit]uint64{}, executed: map[assignment]bool{}}
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

// Run advances the time by d.
func (w *World) Run(d time.Duration) { w.runUntil(w.now + d) }

// After runs f after d has passed.
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
	r.begun, r.overdue, r.counts, r.closings = nil, nil, nil, nil
	r.lastHeartbeatAt = map[int]time.Duration{}
	for _, o := range r.world.routers {
		if r.world.now >= r.world.deafUntil[r.index] {
			r.lastHeartbeatAt[o.index] = r.world.now
		}
	}
	if r.targets == nil {
		r.targets = r.world.opt.Targets
	}
	r.step(ownership.Configured{Targets: r.targets, Services: r.world.opt.Services})
}

// local is the time on the router's own clock, which starts at one hour and runs at the
// router's clock rate.
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

// deliverAfter delivers an event after d, to this instance of the router only.
func (r *router) deliverAfter(d time.Duration, e func() ownership.Event) {
	instance := r.keeper
	r.world.after(d, func() {
		if r.keeper == instance {
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

// updateMembers stands in for the membership: a router is live if a heartbeat of it arrived
// within DetectAfter.
func (r *router) updateMembers() {
	if r.dead || r.paused {
		return
	}
	live, leaving := []ownership.Router{}, []ownership.Router{}
	for _, o := range r.world.routers {
		if o == r || !o.dead && !o.paused && r.world.hears(r.index, o.index) {
			r.lastHeartbeatAt[o.index] = r.world.now
		}
		if at, ok := r.lastHeartbeatAt[o.index]; ok && r.world.now-at < r.world.opt.DetectAfter && o.dataCentre() == r.dataCentre() {
			live = append(live, o.self)
			if o.leaving {
				leaving = append(leaving, o.self)
			}
		}
	}
	next := ownership.Members{Live: live, Leaving: leaving, OtherDataCentres: r.otherDataCentres()}
	same := slices.Equal(next.Live, r.members.Live) && slices.Equal(next.Leaving, r.members.Leaving) &&
		slices.Equal(next.OtherDataCentres, r.members.OtherDataCentres)
	if !same {
		r.members = next
		r.step(next)
		r.updateConfirmMembers(live, leaving)
	}
}

// hears reports whether the heartbeats of router b reach router a.
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
		r.closeSend(a)
	case ownership.CountBegun:
		r.countBegun(a)
	case ownership.CancelBegun:
		r.cancelBegun(a.Target, a.Units.Contains)
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

// compareAndSwap may drop the call, delay it beyond its timeout, or drop the reply.
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
	latency := w.jitter(storeLatency)
	if lost {
		latency = time.Duration(w.rand.Int63n(int64(3 * callTimeout)))
	}
	if !lost || w.rand.Intn(3) > 0 {
		w.after(latency, func() {
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

// listRecords sends all records to each router that reaches the store, as a watch does when
// it resumes.
func (w *World) listRecords() {
	for _, key := range slices.Sorted(maps.Keys(w.store.records)) {
		w.notifyWatchers(key)
	}
	w.after(listInterval, w.listRecords)
}

// notifyWatchers sends a changed record to the routers that reach the store.
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
		w.PromiseRequests = append(w.PromiseRequests, a.Message.Target)
	}
	for _, o := range w.routers {
		if o.self.Name != a.To.Name || !w.linked(r.index, o.index) || w.rand.Float64() < w.opt.ReplyLoss {
			continue
		}
		e := ownership.PeerMessage{From: r.self, Message: a.Message}
		o.deliverAfter(w.jitter(networkLatency), func() ownership.Event { return e })
		if a.Message.Kind == ownershippb.Peer_PROMISE_REQUEST && w.rand.Intn(8) == 0 {
			o.deliverAfter(time.Duration(w.rand.Int63n(int64(time.Second))), func() ownership.Event { return e }) // a late duplicate
		}
	}
}

func (w *World) sendGrant(r *router, a ownership.SendGrant) {
	silent := ownership.GrantResult{Target: a.Target, Sequence: a.Sequence, Silent: true}
	t := w.targets[a.Target]
	latency := w.jitter(networkLatency) + w.orderDelay() + w.addedLatency(r, t)
	w.after(latency, func() {
		if latency > ownership.DefaultOrderBound && !a.Fence {
			w.violate(fmt.Sprintf("a grant was under way to %s for %v", a.Target, latency))
		}
		if !w.reaches(r, t) {
			r.deliverAfter(callTimeout, func() ownership.Event { return silent })
			return
		}
		ok := t.grant(w.now, a)
		if ok {
			w.checkGrants(t)
		}
		e := ownership.GrantResult{Target: a.Target, Sequence: a.Sequence, Accepted: ok, Term: t.term, Busy: t.busy()}
		r.deliverAfter(w.jitter(networkLatency)+w.addedLatency(r, t), func() ownership.Event { return e })
	})
}

func (w *World) reaches(r *router, t *fakeTarget) bool {
	partitioned := r.dataCentre() != t.spec.DataCentre && w.now < max(w.partitionedUntil[r.dataCentre()], w.partitionedUntil[t.spec.DataCentre])
	from, lost := w.lostFrom[t.spec.Name]
	return t.up() && w.now >= w.targetsUnreachableUntil[r.index] && !partitioned && !(lost && from == r.index)
}

// probe checks on behalf of another router whether the router reaches the target.
func (w *World) probe(r *router, a ownership.ProbeTarget) {
	reached := w.reaches(r, w.targets[a.Target])
	latency := 2 * (w.jitter(networkLatency) + w.addedLatency(r, w.targets[a.Target]))
	if !reached {
		latency = callTimeout
	}
	r.deliverAfter(latency, func() ownership.Event {
		return ownership.TargetProbed{Target: a.Target, For: a.For, Reached: reached}
	})
}

// orderDelay returns an additional delay for one order in eight, and zero for the others.
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
