package ownership

import "time"

// write is the one outstanding write of a record.
type write struct {
	key    string
	expect uint64
	value  []byte
	op     Op
	update Update
	// assigned is acknowledged once the write landed.
	assigned []Assigned
	// outcomeUnknown means that the reply was lost; it is settled by reading back.
	outcomeUnknown bool
	sentAt         time.Duration
	readAt         time.Duration
}

// put sends a write; the record's decoded form is applied once it landed.
func (k *Keeper) put(now time.Duration, key string, expect uint64, op Op, u Update, assigned ...Assigned) {
	w := &write{key: key, expect: expect, op: op, update: u, assigned: assigned, sentAt: now}
	if u.Shard != nil {
		w.value = u.Shard.Encode()
	} else {
		w.value = u.Grantor.Encode()
	}
	k.writes[key] = w
	if u.Grantor != nil {
		k.refreshGate() // a sole router's authority gets a bound before the write leaves
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
		// A conflict that answers a repeated write may be with the first copy of itself,
		// so it is settled by reading back like a lost reply.
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

// resolveUnknownWrite decides a write with an unknown outcome by what was read. A record at the
// expected revision doesn't prove that the write failed: it may still be under
// way and land later. The identical write is then repeated at the same revision,
// of which at most one copy can land.
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
		// Where the next owner was lost, the unit may have gone back to the one it was to
		// leave. The move would not be found done, and begin anew with each write.
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

// advanceWrites treats a write without an answer as unknown and asks again.
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
