package ownership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/ownership/ownershippb"
)

// receivedPromises is the grantor's side of promises. While it is active, the grantor's
// authority comes from its first successor alone: the successor may then act without the
// store, so a read of the store proves nothing about it. Without this rule a grantor that
// reaches the store and a successor that does not would both send.
type receivedPromises struct {
	active   bool
	sequence uint64
	// echo is the stamp of the successor's latest promise since active was set. Zero means
	// that none arrived; the successor then has no right to act without the store.
	echo uint64
	// reportedConfirmedAt is the latest confirmation by the store that a request has
	// reported to the successor.
	reportedConfirmedAt time.Duration
	// sentAt holds when the latest requests were sent, by sequence modulo its length.
	sentAt [8]time.Duration
}

// givenPromises is the first successor's side of promises.
type givenPromises struct {
	term uint64
	// active means that the grantor relies on promises, so that this router may act without
	// the store once it has stopped giving promises and has waited.
	active bool
	// requestSequence and endSequence are the highest sequences of a PROMISE_REQUEST and of
	// a PROMISE_END.
	requestSequence uint64
	endSequence     uint64
	digest          uint64
	// yieldAfter is the YieldAfter in the grantor's record.
	yieldAfter time.Duration
	// confirmedAt is a time that is not later than the store's last confirmation of the
	// grantor.
	confirmedAt time.Duration
}

// askPromise is called at each renewal interval.
func (k *Keeper) askPromise(now time.Duration, d *duty) {
	s, ok := d.firstSuccessor()
	if !ok || d.withoutStore || d.record.Unproved || k.writes[d.key] != nil {
		// A write of the record under way may replace the successor by another router, and a
		// promise of the old one would not delay that router's claim in the store. And while
		// this router waits for others to stop, it must not ask: a successor that is asked
		// may act once this router's authority has ended, which proves nothing about those
		// others.
		return
	}
	if !d.received.active && (now-d.confirmedAt <= 2*k.cfg.RenewEvery || !k.isLive(s)) {
		// A lost router gives no promise. If it were asked, it could not be proved later that
		// it does not act without the store, and the target would stay unserved after the
		// store is back. A router that is not asked has no right to act.
		return
	}
	if d.received.active && k.successorCannotAct(now, d, s) {
		k.raiseTerm(now, d, true)
		return
	}
	if d.received.active && !k.isLive(s) && now-d.confirmedAt <= 2*k.cfg.RenewEvery {
		k.handleLostSuccessor(now, d)
		return
	}
	if !d.received.active {
		d.received.active, d.received.echo = true, 0
	}
	k.reportStoreUnreachable(now, d)
	k.requestPromise(now, d, s)
}

func (k *Keeper) requestPromise(now time.Duration, d *duty, s Router) {
	a := &d.received
	a.sequence++
	a.reportedConfirmedAt = max(a.reportedConfirmedAt, d.confirmedAt)
	a.sentAt[a.sequence%uint64(len(a.sentAt))] = now
	k.send(s, &ownershippb.Peer{Kind: ownershippb.Peer_PROMISE_REQUEST, Target: d.spec.Name, Term: d.term,
		Sequence: a.sequence, StoreSilenceMs: uint64((now - d.confirmedAt) / time.Millisecond),
		UnitsDigest: k.unitsDigest(d), Echo: a.echo, YieldAfterNs: int64(d.record.YieldAfter)})
}

// successorCannotAct reports whether the successor that was asked for promises provably
// can't act without the store any more: it has ended, or its right has expired.
func (k *Keeper) successorCannotAct(now time.Duration, d *duty, s Router) bool {
	if k.hasRestarted(s) || d.deadConfirmed {
		return true
	}
	yield := d.record.YieldAfter // no write changes it while this router relies on promises
	return yield > 0 && !k.isLive(s) && now >= d.received.reportedConfirmedAt+k.cfg.stretch(yield)+k.cfg.waitOut()
}

// handleLostSuccessor is called when the store answers again and the successor that was
// asked for promises is lost; that successor may act without the store. A target that
// checks terms is fenced; for any other target nothing proves that the successor has
// stopped.
func (k *Keeper) handleLostSuccessor(now time.Duration, d *duty) {
	if d.spec.Grants.ChecksTokens {
		k.raiseTerm(now, d, false)
		return
	}
	if d.record.YieldAfter == 0 {
		d.report(k, Unprovable)
	}
}

// endPromises tells the successor that the store answers again.
func (k *Keeper) endPromises(now time.Duration, d *duty) {
	if s, ok := d.firstSuccessor(); ok {
		k.send(s, &ownershippb.Peer{Kind: ownershippb.Peer_PROMISE_END, Target: d.spec.Name, Term: d.term,
			Sequence: d.received.sequence})
	}
}

func (k *Keeper) peerMessage(now time.Duration, e PeerMessage) {
	m := e.Message
	d := k.duties[m.GetTarget()]
	if d == nil || m.GetToIncarnation() != k.cfg.Self.Incarnation {
		return
	}
	switch m.GetKind() {
	case ownershippb.Peer_PROMISE_REQUEST:
		k.givePromise(now, d, e)
	case ownershippb.Peer_PROMISE:
		k.takePromise(now, d, e)
	case ownershippb.Peer_PROMISE_END:
		k.endGivenPromises(d, e)
	case ownershippb.Peer_PROBE:
		k.probeForRouter(now, d, e.From)
	case ownershippb.Peer_PROBED:
		k.noteProbeReply(now, d, e)
	case ownershippb.Peer_HAND_BACK:
		k.handBack(now, d, e)
	case ownershippb.Peer_FINISHING:
		k.takeFinishing(now, d, e)
	case ownershippb.Peer_FINISH_GRANTED:
		k.finishGranted(d, e)
	case ownershippb.Peer_PROMISE_ENDED:
		if d.received.active && m.GetTerm() == d.term && m.GetSequence() == d.received.sequence {
			d.received.active = false
			d.reported = TookOver
		}
	}
}

// mayPromise reports whether this router is the one whose promise the sender needs.
func (k *Keeper) mayPromise(d *duty, e PeerMessage) bool {
	return k.isFirstSuccessor(d) && d.record.Router == e.From && d.record.Term == e.Message.GetTerm()
}

// givePromise promises not to act without the store for the duration of Authority from now.
// A successor that has begun to take over refuses.
func (k *Keeper) givePromise(now time.Duration, d *duty, e PeerMessage) {
	m := e.Message
	reply := &ownershippb.Peer{Kind: ownershippb.Peer_PROMISE, Target: m.Target, Term: m.Term, Sequence: m.Sequence,
		Stamp: uint64(now / time.Millisecond)}
	if !k.mayPromise(d, e) || d.phase != idle {
		reply.Refused = true
		k.send(e.From, reply)
		return
	}
	g := &d.given
	if g.term != m.Term {
		*g = givenPromises{term: m.Term}
	}
	if m.Sequence <= g.endSequence {
		return
	}
	// Until the grantor has received a promise it relies on none, and may return to the
	// store without notifying this router. If the first request already gave the right to
	// act, nothing could prove that a successor lost at the start of an outage does not use
	// that right.
	g.active = g.active || m.Echo != 0
	if m.Sequence > g.requestSequence {
		g.requestSequence, g.digest, g.yieldAfter = m.Sequence, m.UnitsDigest, time.Duration(m.YieldAfterNs)
		g.confirmedAt = lastConfirmedAt(m)
	}
	k.send(e.From, reply)
}

// lastConfirmedAt returns a time on the successor's own clock that is not later than the
// store's last confirmation of the requesting grantor. It counts from the stamp that the
// request echoes. Counted from the receipt of a request that was long under way, the time
// would be too late, and the successor would continue after a third router took over.
func lastConfirmedAt(m *ownershippb.Peer) time.Duration {
	at := time.Duration(m.Echo)*time.Millisecond - time.Duration(m.StoreSilenceMs+m.StoreSilenceMs/50+1)*time.Millisecond
	return max(at, 0)
}

// takePromise extends the authority, counted from when the request was sent.
func (k *Keeper) takePromise(now time.Duration, d *duty, e PeerMessage) {
	m, a := e.Message, &d.received
	s, ok := d.firstSuccessor()
	if !ok || s != e.From || d.phase < waiting || m.Term != d.term || m.Refused || !a.active {
		return
	}
	if m.Sequence > a.sequence || a.sequence-m.Sequence >= uint64(len(a.sentAt)) {
		return
	}
	first := a.echo == 0
	a.echo = max(a.echo, m.Stamp)
	k.extend(d, a.sentAt[m.Sequence%uint64(len(a.sentAt))]+k.cfg.shrink(k.cfg.Authority))
	if first && k.writes[d.key] == nil {
		k.requestPromise(now, d, s) // tells the successor at once that it has the right to act
	}
}

// endGivenPromises gives up the right to act without the store. An earlier request that
// arrives late is ignored, because its sequence is not above that of the end.
func (k *Keeper) endGivenPromises(d *duty, e PeerMessage) {
	m, g := e.Message, &d.given
	if !k.mayPromise(d, e) || d.phase != idle {
		return
	}
	if g.term != m.Term {
		*g = givenPromises{term: m.Term}
	}
	g.endSequence = max(g.endSequence, m.Sequence)
	if g.requestSequence <= g.endSequence {
		g.active = false
	}
	k.send(e.From, &ownershippb.Peer{Kind: ownershippb.Peer_PROMISE_ENDED, Target: m.Target, Term: m.Term, Sequence: m.Sequence})
}

// actWithoutStore takes up the duty under the term reserved for the first successor, if the
// grantor relied on promises and the last promise has expired.
func (k *Keeper) actWithoutStore(now time.Duration, d *duty) bool {
	g := &d.given
	if !g.active || !k.isFirstSuccessor(d) || g.term != d.record.Term || k.stopping {
		return false
	}
	if now-k.storeAnsweredAt <= 2*k.cfg.RenewEvery || now < d.promisesStoppedAt+k.cfg.waitOut() {
		return false
	}
	if g.digest != k.unitsDigest(d) {
		d.report(k, StaleUnits)
		return false
	}
	d.phase, d.withoutStore, d.reported = serving, true, noReport
	d.until, d.confirmedAt, d.formers = never, g.confirmedAt, nil
	k.setTerm(d, d.record.Term+1)
	d.received, d.grants = receivedPromises{}, grants{sequence: d.sequence}
	d.grantsExpireAt = now + k.cfg.waitOut()
	k.gateStale = true
	d.report(k, TookOverWithoutStore)
	r := &GrantorRecord{Target: d.spec.Name, Term: d.term, Router: k.cfg.Self, DataCentre: k.dataCentreForRecord(d), Formers: d.record.Formers}
	k.apply(now, Update{Grantor: r})
	k.emit(Publish{Key: d.key, Value: r.Encode()})
	return true
}

// writeClaimMadeWithoutStore writes the duty to the store as soon as the store answers
// again.
func (k *Keeper) writeClaimMadeWithoutStore(now time.Duration, d *duty) {
	if d.withoutStore && k.writes[d.key] == nil && now >= d.nextClaimAt {
		k.claim(now, d)
	}
}

// unitsDigest returns a digest of the units that the target serves and their tokens.
func (k *Keeper) unitsDigest(d *duty) uint64 {
	k.collectUnits(d)
	return d.digest
}

func digestUnits(units []GrantUnit) uint64 {
	var x xxhash.Digest
	x.Reset()
	var b [8]byte
	for _, u := range units {
		_, _ = x.WriteString(u.Unit.String())
		binary.LittleEndian.PutUint64(b[:], u.Token)
		_, _ = x.Write(b[:])
	}
	return x.Sum64() | 1
}
