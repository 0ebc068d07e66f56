package ownership

import "time"

// phase is the state of a router with regard to the grantor duty of one target.
type phase uint8

const (
	// idle: another router is the grantor, or there is none.
	idle phase = iota
	// claiming: this router has begun to take over.
	claiming
	// waiting: the record names this router, which waits until the old authority has ended.
	waiting
	// fencing: the record names this router, and the target has not yet accepted the new
	// term.
	fencing
	// loading: it is proved that no other router orders the target; the units are being
	// read.
	loading
	// serving: this router grants and sends.
	serving
)

// duty is this router's view of the grantor duty of one target.
type duty struct {
	spec TargetSpec
	key  string
	// record and revision are the latest that this router knows from the store; recordRead
	// is set once the record was read.
	record     *GrantorRecord
	revision   uint64
	recordRead bool
	phase      phase
	term       uint64
	// handOver is this router's hand-over of the duty while it isn't known to have landed.
	handOver *handOver
	// earlierSendersUntil is the end of the authority of routers that this one took over from. A
	// target that checks terms refuses their new requests earlier, but not the rest of begun ones.
	earlierSendersUntil time.Duration
	// formers has the former grantors that the record names.
	formers map[Router]*formerState
	// until bounds the authority; see validUntil.
	until time.Duration
	// confirmedAt is when the latest read that found this router's term was sent.
	confirmedAt time.Duration
	readAt      time.Duration
	// takenAt is when this router last took up the duty.
	takenAt time.Duration
	// oldAuthorityWait is how long the authority of other routers may outlast a claim that
	// is in the store; nextClaimAt is when the next attempt to claim may start.
	oldAuthorityWait time.Duration
	nextClaimAt      time.Duration
	// nextSuccessorWriteAt is when the next change of the list of successors may be written.
	nextSuccessorWriteAt time.Duration
	// supersededAt is when this router learnt that another router had taken over the duty,
	// as long as no heartbeat of that router arrives; zero otherwise.
	supersededAt time.Duration
	// oldGrantsWait is how long grants of other routers may remain valid after waitUntil.
	oldGrantsWait time.Duration
	// waitUntil is when the old authority is proved to have ended, or never.
	waitUntil time.Duration
	// promisesStoppedAt is when this router, as first successor, stopped giving promises.
	promisesStoppedAt time.Duration
	// withoutStore is set while this router acts under a successor's term, without the
	// store.
	withoutStore bool
	// loadFrom is when it was known that the record names this router; reads of the units
	// that were sent earlier don't count.
	loadFrom      time.Duration
	deadConfirmed bool
	// termRaisePending asks for the next epoch although the record already names this
	// router.
	termRaisePending bool
	// successorStopped means that the successor that acted has stopped; see raiseTerm.
	successorStopped bool
	reported         ReportKind
	// takenWhileStopping means that this router was already stopping when it received the
	// duty.
	takenWhileStopping bool
	// grantorIsLive is whether the grantor of liveCheckRecord is live in the member view
	// liveCheckView.
	grantorIsLive   bool
	liveCheckRecord *GrantorRecord
	liveCheckView   uint64
	// ranked lists the live routers in the target's order; nil after they changed.
	ranked    []Router
	received  receivedPromises
	given     givenPromises
	suspicion lossSuspicion
	// meetsOrderBound means that a target of another data centre answers within OrderBound;
	// see withinOrderBound.
	meetsOrderBound bool
	// probing is set while a probe by this router is under way; probedAt is when it was
	// sent.
	probing  bool
	probedAt time.Duration
	// reachProbes are the probes by the routers that the duty may be handed to.
	reachProbes map[Router]reachProbe
	grants
}

func newDuty(t TargetSpec) *duty {
	return &duty{spec: t, key: GrantorKey(t.DataCentre, t.Name), readAt: -1, reported: noReport}
}

const noReport = ReportKind(255)

// validUntil is the end of the authority on this router's clock. Where the service yields,
// it is never later than YieldAfter after the last confirmation by the store.
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

// isSoleRouter reports whether no router may take over from this one without an operator:
// the record has no successor and the service keeps its owners. A write under way may name
// a successor, which may then claim the duty.
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
		k.advanceFormers(now, d)
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

// mayUseRelay reports whether this router only observes while others may take up the duty.
// All routers of the data centre do so when a grantor is lost; if each read the record
// itself, the store would get a burst of calls just when the successor needs it.
func (k *Keeper) mayUseRelay(d *duty) bool {
	return d.phase == idle && d.recordRead && d.record != nil && d.record.Router != k.cfg.Self &&
		!k.isFirstSuccessor(d) && !k.ranksFirst(d)
}

func (k *Keeper) sendRead(now time.Duration, d *duty) {
	d.readAt = now
	k.storeRequest.sent(now)
	k.emit(Read{Key: d.key, SentAt: now})
}

// relayRead sends a read through the relay. Records of other data centres are read
// directly, because the relays of this data centre don't read them.
func (k *Keeper) relayRead(now time.Duration, d *duty) {
	if k.isRemote(d) {
		k.sendRead(now, d)
		return
	}
	d.readAt = now
	k.emit(Read{Key: d.key, SentAt: now, Relayed: true})
}

// learnGrantor applies a record of the store, whichever way it arrived.
func (k *Keeper) learnGrantor(now time.Duration, g *GrantorRecord, revision uint64) {
	d := k.duties[g.Target]
	if d == nil {
		k.judgeUnconfigured(g, revision)
		return
	}
	if revision <= d.revision {
		return
	}
	k.judgeFinishRight(d, g, d.key, revision)
	if g.Router != k.cfg.Self {
		d.handOver = nil
	}
	d.record, d.revision, d.recordRead = g, revision, true
	if k.cfg.omit == omitTermCheck && d.phase >= waiting {
		return
	}
	if d.phase >= waiting && (g.Router != k.cfg.Self || (g.Term != d.term && !d.withoutStore)) {
		k.endFinishRight(d.key)
		k.drop(d, Superseded)
		d.supersededAt = now
	}
	if d.phase == idle && g.Router == k.cfg.Self && !d.termRaisePending && k.writes[d.key] == nil && !d.countsBegun() {
		k.takeHandOver(now, d)
	}
}

// drop ends the duty at this router.
func (k *Keeper) drop(d *duty, kind ReportKind) {
	d.report(k, kind)
	d.phase, d.withoutStore, d.promisesStoppedAt, d.until, d.meetsOrderBound = idle, false, 0, 0, false
	d.received, d.grants, d.reachProbes = receivedPromises{sequence: d.received.sequence}, grants{sequence: d.sequence}, nil
	k.endFormerWaits(d)
	k.clearSuspicion(d)
	k.dropMoves(d.spec.Name)
	k.gateStale = true
}

// grantorRead treats a read of the grantor record as a confirmation: the record that it
// found was in force when the read was sent or later, so no other router can have authority
// before SentAt plus the wait-out.
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
	stillGrantor := d.record.Router == k.cfg.Self && d.record.Term == d.term || k.cfg.omit == omitTermCheck
	if d.phase < waiting || !stillGrantor {
		return
	}
	if e.Earlier > 0 && e.SentAt == d.readAt {
		k.renewTogetherBy = min(k.renewTogetherBy, e.SentAt+k.cfg.RenewEvery-min(e.Earlier, k.cfg.RenewEvery/2))
	}
	k.confirm(now, d, e.SentAt)
}

// grantedBy reports whether a record older than the known one names this router under the
// present term. Terms only grow, so this router has held the duty since then. Without this
// check a read that overlaps a write of this router itself, such as a new list of
// successors, would confirm nothing.
func (d *duty) grantedBy(k *Keeper, e StoreRead) bool {
	g, err := DecodeGrantor(e.Value)
	return err == nil && g.Router == k.cfg.Self && g.Term == d.term
}

func (k *Keeper) dutyOf(key string) *duty { return k.dutyByKey[key] }

// confirm extends the authority by a read of the store, unless this router relies on
// promises: its successor may then act without the store.
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

// renewAuthority reads the record at each interval, and requests a promise from the first
// successor once the store has not confirmed the record for a while.
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

// recentlyConfirmed reports whether the duty is served in the normal way, so that its next
// confirmation may come through a relay. Once confirmations are missing, for whatever
// reason, this router reads the record itself, so that no fault of a relay can end an
// authority.
func (k *Keeper) recentlyConfirmed(now time.Duration, d *duty) bool {
	return d.phase == serving && !d.withoutStore && !d.received.active && now-d.confirmedAt <= 2*k.cfg.RenewEvery
}
