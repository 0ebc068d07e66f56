package ownership

import (
	"math"
	"sort"
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/routing"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// Keeper is the part of one router in ownership: it takes up, keeps and hands over the
// grantor duty of targets, and moves units from one owner to the next. It is not safe for
// concurrent use; the request path uses the Gate.
type Keeper struct {
	cfg      Config
	table    *Table
	gate     *Gate
	services []ServiceSpec
	targets  map[string]TargetSpec
	// names lists the targets in sorted order, because the order of a map is not
	// deterministic.
	names []string
	live  []Router
	// liveSet holds the same routers as live; memberViews counts its changes.
	liveSet     map[Router]bool
	memberViews uint64
	// lastSeen holds the latest known instance of each router, by name.
	lastSeen  map[string]Router
	liveSince map[string]time.Duration
	// lostAt is when routers ceased to be live without having announced it; see
	// noteLostRouters.
	lostAt map[string]time.Duration
	remote remoteState
	// leaving are the live routers that are about to stop.
	leaving map[Router]bool
	duties  map[string]*duty
	// dutyList lists the duties sorted by target; dutyByKey has them by the store key of
	// their record.
	dutyList  []*duty
	dutyByKey map[string]*duty
	// finish has the rights to finish requests under earlier terms, by the store key of the
	// target's record. They outlive the duties, as requests may.
	finish      map[string]*finishRight
	moves       map[routing.Unit]*move
	writes      map[string]*write
	shardReads  map[string]*shardRead
	lostTargets map[string]bool
	// declaredAt is when targets were declared lost within LossWindow.
	declaredAt []time.Duration
	opCount    uint64
	// countSequence counts the CountBegun of this router.
	countSequence uint64
	// lastStepAt is the time of the latest step; a long gap means that this router was
	// paused.
	lastStepAt time.Duration
	// wakeAt is when the next step was requested; renewTogether is set in a step that
	// renews.
	wakeAt        time.Duration
	renewTogether bool
	// renewTogetherBy is the latest time for the next renewals as requested by a relay, or
	// never.
	renewTogetherBy time.Duration
	stopping        bool
	// storeAnsweredAt is when the store last answered anything.
	storeAnsweredAt time.Duration
	// storeRequest tracks an unanswered request to the store.
	storeRequest pendingRequest
	// storeRegainedAt is when the store last answered after it had been unreachable; see
	// storeReachable.
	storeRegainedAt time.Duration
	// gateStale means that the gate is out of date; checkUnowned requests a search for units
	// without an owner.
	gateStale    bool
	checkUnowned bool
	actions      []Action
}

// NewKeeper returns a keeper that has received no events yet.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg.withDefaults(), table: NewTable(), targets: map[string]TargetSpec{},
		lastSeen: map[string]Router{}, liveSince: map[string]time.Duration{}, lostAt: map[string]time.Duration{}, duties: map[string]*duty{}, dutyByKey: map[string]*duty{},
		moves: map[routing.Unit]*move{}, writes: map[string]*write{}, shardReads: map[string]*shardRead{},
		lostTargets: map[string]bool{}, finish: map[string]*finishRight{}, renewTogetherBy: never}
}

// Table returns the ownership as this router knows it now.
func (k *Keeper) Table() *Table { return k.table }

// MaySend is the check right before a send; see Gate.MaySend.
func (k *Keeper) MaySend(now time.Duration, target string, unit routing.Unit, token uint64) bool {
	return k.gate.MaySend(now, target, unit, token)
}

// Step processes one event and returns the actions to perform, in order. now must not
// decrease.
func (k *Keeper) Step(now time.Duration, e Event) []Action {
	k.actions = nil
	k.noticePause(now)
	k.handle(now, e)
	k.advance(now)
	if k.gateStale {
		k.refreshGate()
	}
	return k.actions
}

func (k *Keeper) emit(a Action) { k.actions = append(k.actions, a) }

// noticePause restarts the waits for replies after a pause of this router. After a pause
// every reply looks late, and without this all targets would be declared lost at once.
func (k *Keeper) noticePause(now time.Duration) {
	late := k.late(now)
	k.lastStepAt = now
	if late <= k.cfg.RenewEvery-k.cfg.tick() {
		return
	}
	k.storeRequest.restart(now)
	for _, d := range k.dutyList {
		if d.silentSince != 0 {
			d.silentSince = now
		}
		for _, st := range d.formers {
			st.heardAt = now
		}
	}
}

func (k *Keeper) handle(now time.Duration, e Event) {
	switch e := e.(type) {
	case Configured:
		k.configure(now, e)
	case Members:
		k.setMembers(now, e)
	case StoreRead:
		k.storeRead(now, e)
	case StoreChanged:
		k.learn(now, e.Key, e.Revision, e.Value)
	case GrantorClaimed:
		k.apply(now, Update{Grantor: e.Record})
	case CASResult:
		k.casResult(now, e)
	case GrantResult:
		k.grantResult(now, e)
	case TargetHealth:
		k.targetHealth(now, e)
	case TargetProbed:
		k.targetProbed(now, e)
	case SendClosed:
		k.sendClosed(e)
	case BegunCounted:
		k.begunCounted(now, e)
	case BegunEnded:
		k.begunEnded(now, e)
	case MovesRequested:
		k.requestMoves(e)
	case PeerMessage:
		k.peerMessage(now, e)
	case DeadConfirmed:
		if d := k.duties[e.Target]; d != nil {
			d.deadConfirmed = true
		}
	case Stop:
		k.stopping = true
	}
}

// advance performs what has become due or possible.
func (k *Keeper) advance(now time.Duration) {
	k.scanRemoteTargets(now)
	k.renewTogether = k.renewalsDue(now)
	for _, d := range k.dutyList {
		k.advanceDuty(now, d)
	}
	k.advanceFinishing(now)
	k.advanceLosses(now)
	k.advanceUnowned(now)
	k.advanceMoves(now)
	k.advanceWrites(now)
}

func (k *Keeper) configure(now time.Duration, e Configured) {
	k.services = e.Services
	k.targets = map[string]TargetSpec{}
	k.names = k.names[:0]
	for _, t := range e.Targets {
		if t.Weight <= 0 {
			t.Weight = 1
		}
		k.targets[t.Name] = t
		k.names = append(k.names, t.Name)
		if d := k.duties[t.Name]; d != nil {
			d.spec = t
		} else if t.DataCentre == k.cfg.DataCentre {
			k.duties[t.Name] = newDuty(t)
		}
	}
	sort.Strings(k.names)
	for name, d := range k.duties {
		if _, ok := k.targets[name]; !ok {
			switch {
			case d.phase == serving && now >= d.validUntil(k):
				k.endFinishRight(d.key)
			case d.phase == serving:
				k.keepFinishRight(d)
			}
			delete(k.duties, name)
			k.gateStale = true
		}
	}
	k.removeFinishRights(now)
	k.remote.scanPending, k.remote.connectedFor = true, nil
	k.listDuties()
	k.schedulePlanning()
}

// listDuties rebuilds dutyList and dutyByKey from duties.
func (k *Keeper) listDuties() {
	k.dutyList = k.dutyList[:0]
	clear(k.dutyByKey)
	for _, name := range k.names {
		if d := k.duties[name]; d != nil {
			k.dutyList = append(k.dutyList, d)
			k.dutyByKey[d.key] = d
		}
	}
}

func (k *Keeper) setMembers(now time.Duration, e Members) {
	liveBefore := k.liveSince
	k.checkUnowned = true
	for _, d := range k.duties {
		d.ranked = nil
	}
	k.live = append([]Router(nil), e.Live...)
	sort.Slice(k.live, func(i, j int) bool { return k.live[i].Name < k.live[j].Name })
	k.liveSince = map[string]time.Duration{}
	k.liveSet = make(map[Router]bool, len(k.live))
	k.memberViews++
	wasLeaving := k.leaving
	k.leaving = make(map[Router]bool, len(e.Leaving))
	for _, r := range e.Leaving {
		k.leaving[r] = true
	}
	for _, r := range k.live {
		stopCancelled := wasLeaving[r] && !k.leaving[r]
		if at, ok := liveBefore[r.Name]; ok && k.lastSeen[r.Name] == r && !stopCancelled {
			k.liveSince[r.Name] = at
		} else {
			k.liveSince[r.Name] = now
		}
		k.lastSeen[r.Name] = r
		k.liveSet[r] = true
	}
	k.noteLostRouters(now, liveBefore, wasLeaving)
	k.setRemote(now, e.OtherDataCentres)
}

func (k *Keeper) isLive(r Router) bool { return k.liveSet[r] }

// grantorLive reports whether the recorded grantor is live. Each step calls it for every
// target of the data centre, so the answer is cached until the members or the record
// change.
func (k *Keeper) grantorLive(d *duty) bool {
	if d.liveCheckRecord != d.record || d.liveCheckView != k.memberViews {
		d.liveCheckRecord, d.liveCheckView = d.record, k.memberViews
		d.grantorIsLive = k.isLive(d.record.Router) || k.grantorIsRemote(d) && !k.isCutOff(d.record.grantorDC(&d.spec))
	}
	return d.grantorIsLive
}

// hasRestarted reports whether a later instance of the router was seen, which proves that
// the given instance has ended.
func (k *Keeper) hasRestarted(r Router) bool { return k.lastSeen[r.Name].Incarnation > r.Incarnation }

// learn applies a record from the store.
func (k *Keeper) learn(now time.Duration, key string, revision uint64, value []byte) {
	switch {
	case IsGrantorKey(key):
		if d := k.dutyOf(key); d != nil && revision <= d.revision {
			return // a confirmation, nearly always of the known record
		}
		if g, err := DecodeGrantor(value); err == nil && revision > 0 {
			k.apply(now, Update{Revision: revision, Grantor: g})
		}
	case IsShardKey(key):
		if s, err := DecodeShard(key, value); err == nil && revision > 0 {
			k.apply(now, Update{Revision: revision, Shard: s})
		}
	}
}

func (k *Keeper) apply(now time.Duration, u Update) {
	if u.Grantor != nil && u.Revision > 0 {
		k.learnGrantor(now, u.Grantor, u.Revision)
	}
	next, n := k.table.Apply(u)
	if n == 0 {
		return
	}
	k.table = next
	k.gateStale, k.checkUnowned = true, true
	if u.Grantor != nil {
		k.noteRemoteWrite(now, u.Grantor)
	}
	for _, d := range k.dutyList {
		d.unitsCurrent = false
	}
}

func (k *Keeper) storeRead(now time.Duration, e StoreRead) {
	if e.Outcome == Landed {
		k.storeAnswered(now)
		k.learn(now, e.Key, e.Revision, e.Value)
	}
	if w := k.writes[e.Key]; w != nil {
		k.resolveUnknownWrite(now, w, e)
	}
	if IsGrantorKey(e.Key) {
		k.extendFinishRight(e)
		k.grantorRead(now, e)
		return
	}
	k.noteShardRead(e)
}

func (k *Keeper) refreshGate() {
	k.gateStale = false
	g := &Gate{table: k.table, rights: map[string]sendRight{}}
	for _, r := range k.finish {
		g.rights[r.target] = sendRight{term: r.term, closed: true, since: r.since, finishUntil: r.until}
	}
	for _, d := range k.dutyList {
		if d.phase < waiting {
			continue
		}
		right, started := g.rights[d.spec.Name]
		switch {
		case d.phase == serving:
			if !started {
				right.since = d.term
			}
			right.term, right.until, right.closed = d.term, d.validUntil(k), !k.withinOrderBound(d)
			right.finishUntil = max(right.finishUntil, right.until)
		case started:
			right.finishUntil = max(right.finishUntil, d.until)
		default:
			continue
		}
		g.rights[d.spec.Name] = right
	}
	k.gate = g
	k.emit(SetGate{Gate: g})
}

func (k *Keeper) nextOp() Op {
	k.opCount++
	return Op{Router: k.cfg.Self, Sequence: k.opCount}
}

func (k *Keeper) send(to Router, m *ownershippb.Peer) {
	m.From = encodeRouter(k.cfg.Self)
	m.ToIncarnation = to.Incarnation
	k.emit(SendPeer{To: to, Message: m})
}

func (k *Keeper) report(kind ReportKind, target string, term uint64) {
	k.emit(Report{Kind: kind, Target: target, Term: term})
}
