package ownership

import "time"

// write is the one outstanding write of a record.
type write struct {
	key    string
	expect uint64
	value  []byte
	op     Op
	update Update
	// assigned is acknowledged once the write is known to be in the store.
	assigned []Assigned
	// outcomeUnknown means that the reply was lost; the outcome is determined by reading the
	// record.
	outcomeUnknown bool
	sentAt         time.Duration
	readAt         time.Duration
}

// put sends a write; the decoded form of the record is applied once the write is in the
// store.
func (k *Keeper) put(now time.Duration, key string, expect uint64, op Op, u Update, assigned ...Assigned) {
	w := &write{key: key, expect: expect, op: op, update: u, assigned: assigned, sentAt: now}
	if u.Shard != nil {
		w.value = u.Shard.Encode()
	} else {
		w.value = u.Grantor.Encode()
	}
	k.writes[key] = w
	if u.Grantor != nil {
		k.refreshGate() // bounds the authority of a sole router before the write is sent
	}
	k.emit(CAS{Key: key, Expect: expect, Value: w.value, Op: op})
}

func (k *Keeper) casResult(now time.Duration, e CASResult) {
	w := k.writes[e.Key]
	if w == nil || w.op != e.Op {
		return
	}
	switch e.Outcome {
	case Landed:
		k.storeAnswered(now)
		w.update.Revision = e.Revision
		k.landed(now, w)
	case Conflict:
		// A repeated write may conflict with its own first copy, so the outcome of a conflict
		// is determined by reading the record, as for a lost reply.
		k.storeAnswered(now)
		k.readBack(now, w)
	case Unavailable:
		if w.outcomeUnknown {
			return
		}
		delete(k.writes, e.Key)
		k.failedWrite(now, w)
	case Unknown:
		if k.cfg.omit == omitReadBack {
			delete(k.writes, e.Key)
			w.update.Revision = w.expect + 1
			k.landed(now, w)
			return
		}
		k.readBack(now, w)
	}
}

func (k *Keeper) readBack(now time.Duration, w *write) {
	w.outcomeUnknown = true
	w.readAt = now
	k.emit(Read{Key: w.key, SentAt: now})
}

// resolveUnknownWrite determines the outcome of a write from a read of the record. A record
// at the expected revision does not prove that the write failed: the write may still be
// under way and land later. The identical write is then repeated at the same revision, and
// at most one of the copies can land.
func (k *Keeper) resolveUnknownWrite(now time.Duration, w *write, e StoreRead) {
	if !w.outcomeUnknown || e.Outcome != Landed || e.SentAt < w.sentAt {
		return
	}
	ops, found := recordOps(e)
	switch {
	case found && ops.Landed(w.op):
		k.landed(now, w)
	case e.Revision == w.expect:
		w.sentAt = now
		k.emit(CAS{Key: w.key, Expect: w.expect, Value: w.value, Op: w.op})
	default:
		delete(k.writes, w.key)
		k.failedWrite(now, w)
	}
}

func recordOps(e StoreRead) (Ops, bool) {
	if e.Revision == 0 {
		return nil, false
	}
	if IsGrantorKey(e.Key) {
		g, err := DecodeGrantor(e.Value)
		if err != nil {
			return nil, false
		}
		return g.Ops, true
	}
	s, err := DecodeShard(e.Key, e.Value)
	if err != nil {
		return nil, false
	}
	return s.Ops, true
}

func (k *Keeper) landed(now time.Duration, w *write) {
	delete(k.writes, w.key)
	if w.update.Revision > 0 {
		k.apply(now, w.update)
		k.emit(Publish{Key: w.key, Revision: w.update.Revision, Value: w.value})
	}
	if w.update.Grantor != nil {
		k.grantorWritten(now, w)
		return
	}
	k.checkUnowned = true
	for _, a := range w.assigned {
		// If the next owner was lost, the unit may have gone back to the target that it was
		// to leave. The move would then not be recognised as done, and would start again with
		// each write.
		delete(k.moves, a.Unit)
		k.emit(a)
	}
}

func (k *Keeper) failedWrite(now time.Duration, w *write) {
	if w.update.Grantor != nil {
		k.grantorWriteFailed(now, w)
		return
	}
	delete(k.shardReads, w.key)
	k.checkUnowned = true
}

// advanceWrites treats a write that got no answer in time as having an unknown outcome, and
// repeats reads that got no answer.
func (k *Keeper) advanceWrites(now time.Duration) {
	for _, key := range sortedKeys(k.writes) {
		w := k.writes[key]
		if !w.outcomeUnknown && now-w.sentAt >= k.cfg.ReplyTimeout {
			k.readBack(now, w)
			continue
		}
		if w.outcomeUnknown && now-w.readAt >= k.cfg.ReplyTimeout {
			k.readBack(now, w)
		}
	}
}
