package ownership

import "time"

// phase is where a router stands with the grantor duty of one target.
type phase uint8

const (
	// idle: another router is the grantor, or none.
	idle phase = iota
	// claiming: this router has begun to take over.
	claiming
	// waiting: the record names this router; the old authority is waited out.
	waiting
	// fencing: the record names this router; the target is to accept the new term.
	fencing
	// loading: it is proved that nobody else orders; the units are read.
	loading
	// serving: this router grants and sends.
	serving
)

// duty is this router's view of the grantor duty of one target.
type duty struct {
	spec TargetSpec
	key  string
	// record and revision are the last of the store; seen is set once it was read.
	record     *GrantorRecord
	revision   uint64
	recordRead bool
	phase      phase
	term       uint64
	// until bounds the authority; see validUntil.
	until time.Duration
	// confirmedAt is when the last read was sent that found this router's term.
	confirmedAt time.Duration
	readAt      time.Duration
	// takenAt is when this router took the duty up last.
	takenAt time.Duration
	// oldAuthorityWait is how long the authority of others outlasts a claim that is in the
	// store; claimAfter is when the next attempt to claim may start.
	oldAuthorityWait time.Duration
	nextClaimAt      time.Duration
	// nextSuccessorWriteAt is when the next change of the list of successors may be written.
	nextSuccessorWriteAt time.Duration
	// supersededAt is when this router learnt that another one took the duty over, while
	// that one isn't heard; zero otherwise.
	supersededAt time.Duration
	// oldGrantsWait is how long the grants of others may outlast waitUntil.
	oldGrantsWait time.Duration
	// waitUntil is when the old authority has provably ended, or never.
	waitUntil time.Duration
	// promisesStoppedAt is when this router, as first successor, stopped to promise.
	promisesStoppedAt time.Duration
	// withoutStore is set while this router acts under a successor's term.
	withoutStore bool
	// loadFrom is when the record was known to name this router; reads of the units
	// sent before don't count.
	loadFrom      time.Duration
	deadConfirmed bool
	// termRaisePending asks for the next epoch although the record names this router.
	termRaisePending bool
	// successorStopped says that the successor which acted has stopped; see raiseTerm.
	successorStopped bool
	reported         ReportKind
	// takenWhileStopping says that the duty came when this router was already stopping.
	takenWhileStopping bool
	// grantorIsLive says whether the grantor of the record liveOf is live in the view liveIn.
	grantorIsLive   bool
	liveCheckRecord *GrantorRecord
	liveCheckView   uint64
	// ranked are the live routers in the target's order; nil when they changed.
	ranked    []Router
	received  receivedPromises
	given     givenPromises
	suspicion lossSuspicion
	// meetsOrderBound says that a target of another data centre answers within OrderBound; see isNear.
	meetsOrderBound bool
	// probing is set while a probe of this router is under way, probedAt when it was sent.
	probing  bool
	probedAt time.Duration
	// reachProbes are those of the routers that the duty may be handed to.
	reachProbes map[Router]reachProbe
	grants
}

func newDuty(t TargetSpec) *duty {
	return &duty{spec: t, key: GrantorKey(t.DataCentre, t.Name), readAt: -1, reported: noReport}
}

const noReport = ReportKind(255)

// validUntil is the end of the authority on this router's clock. Where the duty
// yields it never exceeds YieldAfter since the store was last seen to agree.
func (d *duty) validUntil(k *Keeper) time.Duration {
	if k.cfg.omit == omitValidity {
		return never
	}
	until := d.until
	if k.isSoleRouter(d) {
		return never
	}
	if y := d.yieldAfter(); y > 0 {
		until = min(until, d.confirmedAt+max(y, k.cfg.Authority))
	}
	return until
}

// isSoleRouter reports whether nobody may take over from this router without an
// operator: the record has no successor and the service keeps its owners. A write
// under way may name one, who may then claim the duty.
func (k *Keeper) isSoleRouter(d *duty) bool {
	if d.withoutStore || d.record == nil || d.phase < waiting || d.yieldAfter() > 0 {
		return false
	}
	return len(d.record.Successors) == 0 && k.writes[d.key] == nil
}

func (d *duty) report(k *Keeper, kind ReportKind) {
	if d.reported == kind {
		return
	}
	d.reported = kind
	k.report(kind, d.spec.Name, d.term)
}

func (k *Keeper) advanceDuty(now time.Duration, d *duty) {
	switch d.phase {
	case idle, claiming:
		k.readGrantor(now, d)
		k.considerClaim(now, d)
	case waiting, fencing:
		k.renewAuthority(now, d)
		k.advanceProof(now, d)
	case loading:
		k.renewAuthority(now, d)
		k.advanceLoad(now, d)
	case serving:
		k.renewAuthority(now, d)
		k.advanceGrants(now, d)
		k.writeClaimMadeWithoutStore(now, d)
		k.considerHandOver(now, d)
	}
}

// readGrantor reads a record that was never read, or whose grantor is not live.
func (k *Keeper) readGrantor(now time.Duration, d *duty) {
	if d.readAt >= 0 && now-d.readAt < k.cfg.RenewEvery {
		return
	}
	if d.recordRead && d.record != nil && k.grantorLive(d) && d.record.Router != k.cfg.Self {
		return
	}
	if k.mayUseRelay(d) {
		k.relayRead(now, d)
		return
	}
	k.sendRead(now, d)
}

// mayUseRelay says that this router only looks on while others may take the duty up. All
// routers of the data centre do so when a grantor is lost, and reading by themselves
// they would be a burst of calls to the store just when the successor needs it.
func (k *Keeper) mayUseRelay(d *duty) bool {
	return d.phase == idle && d.recordRead && d.record != nil && d.record.Router != k.cfg.Self &&
		!k.isFirstSuccessor(d) && !k.ranksFirst(d)
}

func (k *Keeper) sendRead(now time.Duration, d *duty) {
	d.readAt = now
	k.storeRequest.sent(now)
	k.emit(Read{Key: d.key, SentAt: now})
}

// relayRead reads by itself what is not of this data centre, whose relays read no other
// records.
func (k *Keeper) relayRead(now time.Duration, d *duty) {
	if k.isRemote(d) {
		k.sendRead(now, d)
		return
	}
	d.readAt = now
	k.emit(Read{Key: d.key, SentAt: now, Relayed: true})
}

// learnGrantor takes in a record of the store, by whatever way it came.
func (k *Keeper) learnGrantor(now time.Duration, g *GrantorRecord, revision uint64) {
	d := k.duties[g.Target]
	if d == nil || revision <= d.revision {
		return
	}
	d.record, d.revision, d.recordRead = g, revision, true
	if k.cfg.omit == omitTermCheck && d.phase >= waiting {
		return
	}
	if d.phase >= waiting && (g.Router != k.cfg.Self || (g.Term != d.term && !d.withoutStore)) {
		k.drop(d, Superseded)
		d.supersededAt = now
	}
	if d.phase == idle && g.Router == k.cfg.Self && !d.termRaisePending && k.writes[d.key] == nil {
		k.takeHandOver(now, d)
	}
}

// drop ends the duty here.
func (k *Keeper) drop(d *duty, kind ReportKind) {
	d.report(k, kind)
	d.phase, d.withoutStore, d.promisesStoppedAt, d.until, d.meetsOrderBound = idle, false, 0, 0, false
	d.received, d.grants, d.reachProbes = receivedPromises{sequence: d.received.sequence}, grants{}, nil
	k.clearSuspicion(d)
	k.dropMoves(d.spec.Name)
	k.gateStale = true
}

// grantorRead uses a read of the grantor record as a confirmation: what it found
// was in force when the read was sent or later, so nobody else can have
// authority before SentAt plus the wait-out.
func (k *Keeper) grantorRead(now time.Duration, e StoreRead) {
	d := k.dutyOf(e.Key)
	if d == nil {
		return
	}
	if e.Outcome != Landed {
		return
	}
	d.recordRead = true
	if e.Revision == 0 || d.record == nil || e.Revision < d.revision && !d.grantedBy(k, e) {
		return
	}
	stands := d.record.Router == k.cfg.Self && d.record.Term == d.term || k.cfg.omit == omitTermCheck
	if d.phase < waiting || !stands {
		return
	}
	if e.Earlier > 0 && e.SentAt == d.readAt {
		k.renewTogetherBy = min(k.renewTogetherBy, e.SentAt+k.cfg.RenewEvery-min(e.Earlier, k.cfg.RenewEvery/2))
	}
	k.confirm(now, d, e.SentAt)
}

// grantedBy reports whether an older record than the known one names this router under the
// present term. Terms only grow, so the duty was held here from then on. A read that
// met a write of this router's own, as of a new successor, would else confirm nothing.
func (d *duty) grantedBy(k *Keeper, e StoreRead) bool {
	g, err := DecodeGrantor(e.Value)
	return err == nil && g.Router == k.cfg.Self && g.Term == d.term
}

func (k *Keeper) dutyOf(key string) *duty { return k.dutyByKey[key] }

// confirm extends the authority by a read of the store, unless this router relies
// on promises: its successor may then act without the store.
func (k *Keeper) confirm(now time.Duration, d *duty, sentAt time.Duration) {
	d.confirmedAt = max(d.confirmedAt, sentAt)
	if d.received.active && d.received.echo == 0 {
		d.received.active, d.reported = false, TookOver
	}
	if d.received.active && k.cfg.omit != omitPromiseMode {
		k.endPromises(now, d)
		return
	}
	k.extend(d, sentAt+k.cfg.shrink(k.cfg.Authority))
}

func (k *Keeper) extend(d *duty, until time.Duration) {
	if until > d.until {
		d.until = until
		k.gateStale = true
	}
}

// renewAuthority asks the store for the record at each interval, and the first
// successor for a promise once the store has not confirmed it for a while.
func (k *Keeper) renewAuthority(now time.Duration, d *duty) {
	if !k.renewalDue(now, d.readAt) {
		return
	}
	if k.recentlyConfirmed(now, d) {
		k.relayRead(now, d)
		return
	}
	k.sendRead(now, d)
	k.askPromise(now, d)
}

// recentlyConfirmed says that the duty is served in the ordinary way, so that its next
// confirmation may come by a relay. Once confirmations stay away, for whatever reason,
// this router reads by itself: no fault of a relay can end an authority.
func (k *Keeper) recentlyConfirmed(now time.Duration, d *duty) bool {
	return d.phase == serving && !d.withoutStore && !d.received.active && now-d.confirmedAt <= 2*k.cfg.RenewEvery
}
