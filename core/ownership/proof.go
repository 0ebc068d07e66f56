package ownership

import (
	"strconv"
	"time"
)

// startProof starts the proof that no other router orders the target, once the record names
// this router. wait is how long the authority of others may still have effects. If nothing
// bounds it, wait is never, and the only proof is that the target refuses the old term.
func (k *Keeper) startProof(now time.Duration, d *duty, wait time.Duration) {
	d.promisesStoppedAt, d.reported = 0, noReport
	k.setTerm(d, d.record.Term)
	d.takenWhileStopping, d.takenAt = k.stopping, now
	d.until, d.grants, d.termRaisePending = 0, grants{sequence: d.sequence}, false
	d.handOver, d.formers = nil, nil
	d.received = receivedPromises{sequence: d.received.sequence}
	d.waitUntil = never
	if wait != never {
		// A grant never outlasts the authority that it was sent under, so after a wait for
		// the whole authority no grant of it can still be valid.
		d.waitUntil, d.oldGrantsWait = now+wait, max(0, k.cfg.waitOut()-wait)
	}
	// Reads sent from now on are recent enough, because the record names this router: an old
	// grantor that released a unit later than this gets no confirmation for its second
	// write.
	d.loadFrom = now
	d.phase = waiting
	if d.spec.Grants.ChecksTokens {
		d.phase = fencing
	}
	k.gateStale = true
	k.advanceProof(now, d)
}

// setTerm sets the term of the duty; requests begun under earlier terms of this router may go on
// where its right to finish them has not ended.
func (k *Keeper) setTerm(d *duty, term uint64) {
	d.term = term
	r := k.finish[d.key]
	if r == nil {
		return
	}
	if r.endless {
		r.endless, r.until = false, 0
	}
	r.term, r.busy, r.counted = term, nil, false
}

// advanceProof continues once the old authority has provably ended; until then it sends the
// fence.
func (k *Keeper) advanceProof(now time.Duration, d *duty) {
	k.allRecordsRead(now, d)
	if now >= d.waitUntil {
		k.startLoad(now, d, now+d.oldGrantsWait)
		return
	}
	if d.spec.takesGrants() {
		k.noteReplyTimeout(now, d)
		k.sendFence(now, d)
		return
	}
	k.probeSelf(now, d)
}

// startLoad continues the reads of the units that startProof began.
func (k *Keeper) startLoad(now time.Duration, d *duty, grantsExpireAt time.Duration) {
	d.phase = loading
	d.grantsExpireAt = grantsExpireAt
	d.acceptedDigest, d.outstanding = 0, 0
	k.advanceLoad(now, d)
}

// advanceLoad starts serving once all of the service's records were read.
func (k *Keeper) advanceLoad(now time.Duration, d *duty) {
	if !k.allRecordsRead(now, d) {
		return
	}
	d.phase, d.unitsCurrent = serving, false
	k.gateStale = true
	d.report(k, TookOver)
	k.advanceGrants(now, d)
}

// allRecordsRead requests the records that were not read since loadFrom, and reports
// whether all were read.
func (k *Keeper) allRecordsRead(now time.Duration, d *duty) bool {
	spec := k.service(d.spec.Service)
	if spec == nil {
		return false
	}
	all := true
	for _, key := range shardKeys(spec) {
		if !k.ensureRead(now, key, d.loadFrom) {
			all = false
		}
	}
	return all
}

func (k *Keeper) service(name string) *ServiceSpec {
	for i := range k.services {
		if k.services[i].Name == name {
			return &k.services[i]
		}
	}
	return nil
}

// shardKeys returns the store keys of the service's records.
func shardKeys(s *ServiceSpec) []string {
	var keys []string
	for first := uint32(0); first < s.HashSlots; first += ShardSlots {
		keys = append(keys, SlotKey(s.Name, first))
	}
	if len(s.Ranges) == 0 {
		return keys
	}
	for b := range RangeBuckets {
		keys = append(keys, RangePrefix+s.Name+"/"+strconv.Itoa(b))
	}
	return keys
}

// shardRead is the latest read of an ownership record.
type shardRead struct {
	sentAt time.Duration
	// pending is set until the answer arrives.
	pending bool
	// landedAt is when the latest answered read was sent, or -1.
	landedAt time.Duration
}

// ensureRead reports whether a read that was sent at from or later was answered, and sends
// one if not.
func (k *Keeper) ensureRead(now time.Duration, key string, from time.Duration) bool {
	r := k.shardReads[key]
	if r == nil {
		r = &shardRead{sentAt: -1, landedAt: -1}
		k.shardReads[key] = r
	}
	if r.landedAt >= 0 && r.landedAt >= from {
		return true
	}
	late := now-r.sentAt >= k.cfg.ReplyTimeout
	if r.sentAt < 0 || !r.pending && now-r.sentAt >= k.cfg.RenewEvery/4 || r.sentAt < from || late {
		r.sentAt, r.pending = now, true
		k.emit(Read{Key: key, SentAt: now})
	}
	return false
}

func (k *Keeper) noteShardRead(e StoreRead) {
	r := k.shardReads[e.Key]
	if r == nil {
		return
	}
	if e.SentAt >= r.sentAt {
		r.pending = false
	}
	if e.Outcome == Landed && e.SentAt > r.landedAt {
		r.landedAt = e.SentAt
		k.checkUnowned = true
	}
}
