package ownership

import (
	"time"

	"tarragongw/core/routing"
)

// grants is the state of one target's grants at its grantor.
type grants struct {
	// sequence is that of the latest order. It goes on from one term to the next, so that a late
	// reply to an order of an earlier term is not taken for one to a later order.
	sequence uint64
	// outstanding is the sequence of the order that waits for a reply, or zero.
	outstanding uint64
	sentAt      time.Duration
	sentDigest  uint64
	// sentFence means that the latest order was a fence or a probe.
	sentFence bool
	// arrivesBy is the time after which the latest order has either arrived or never will;
	// abandonedArrivesBy is the same for an order whose reply timed out.
	arrivesBy          time.Duration
	abandonedArrivesBy time.Duration
	// sentTable is the ownership that the latest order was built from.
	sentTable *Table
	// acceptedDigest is the digest of the set that the target accepted under this term.
	acceptedDigest uint64
	// grantsExpireAt is when everything granted so far has expired, if nothing more is sent.
	grantsExpireAt time.Duration
	// silentSince is when the first order that got no reply was sent, or zero.
	silentSince time.Duration
	// units is the set to grant; unitsCurrent is cleared when the table changes.
	units        []GrantUnit
	digest       uint64
	unitsCurrent bool
	// releasesScanned and leavingPlanned are the tables that were last searched for moves.
	releasesScanned *Table
	leavingPlanned  *Table
}

// takesGrants reports whether the target takes grants at all.
func (t *TargetSpec) takesGrants() bool { return t.Grants.ChecksTokens || t.Grants.Expires }

// collectUnits collects from the table the units that the target serves.
func (k *Keeper) collectUnits(d *duty) {
	if d.unitsCurrent {
		return
	}
	d.unitsCurrent = true
	d.units = nil
	k.table.EachUnit(d.spec.Service, func(u routing.Unit, st UnitState) {
		if st.Target == d.spec.Name && (!st.Releasing || k.cfg.omit == omitRelease) {
			d.units = append(d.units, GrantUnit{Unit: u, Token: st.Token})
		}
	})
	d.digest = digestUnits(d.units)
}

// advanceGrants renews the grants at each interval, or at once if the set changed, and
// notes missing replies.
func (k *Keeper) advanceGrants(now time.Duration, d *duty) {
	if !d.spec.takesGrants() {
		if d.silentSince != 0 || !k.withinOrderBound(d) {
			k.probeSelf(now, d)
		}
		return
	}
	k.noteReplyTimeout(now, d)
	if k.lostTargets[d.spec.Name] || d.suspicion.withheld || !k.withinOrderBound(d) {
		// A grant to a lost target may reach it late; its units could then not move before
		// the grant has expired again. A probe changes nothing.
		k.sendFence(now, d)
		return
	}
	k.collectUnits(d)
	changed := d.digest != d.sentDigest && k.maySendEarly(now, d)
	if changed || d.outstanding == 0 && now >= d.abandonedArrivesBy && k.renewalDue(now, d.sentAt) {
		k.sendGrant(now, d, false)
	}
}

// maySendEarly reports whether an order may be sent while an earlier one may still be under
// way. A target that does not check terms might apply the earlier one last: it would hold a
// released unit again after it had confirmed the release.
func (k *Keeper) maySendEarly(now time.Duration, d *duty) bool {
	return d.spec.Grants.ChecksTokens || d.outstanding == 0 && now >= d.abandonedArrivesBy
}

func (g *grants) noteNoReply() {
	if g.silentSince == 0 {
		g.silentSince = g.sentAt
	}
	g.outstanding, g.acceptedDigest = 0, 0
	g.abandonedArrivesBy = g.arrivesBy
}

// noteReplyTimeout notes that an order got no reply within ReplyTimeout.
func (k *Keeper) noteReplyTimeout(now time.Duration, d *duty) {
	if d.outstanding != 0 && now-d.sentAt >= k.cfg.ReplyTimeout {
		d.noteNoReply()
	}
}

// sendFence raises the term of a target that checks terms, and probes any other target.
func (k *Keeper) sendFence(now time.Duration, d *duty) {
	if d.outstanding == 0 && now >= d.abandonedArrivesBy && (d.sentAt == 0 || now-d.sentAt >= k.cfg.RenewEvery) {
		k.sendGrant(now, d, true)
	}
}

// sendGrant sends one order. Its TTL ends before this router's authority, so that a router
// that waits for the end of the authority also waits for the end of the grants.
func (k *Keeper) sendGrant(now time.Duration, d *duty, fence bool) {
	slack := k.cfg.slack()
	left := min(d.validUntil(k), now+k.cfg.Authority) - now
	ttl := k.cfg.shrink(left - slack)
	if ttl <= 0 {
		return
	}
	d.sequence++
	d.outstanding, d.sentAt, d.sentFence = d.sequence, now, fence
	d.arrivesBy = now + slack + k.cfg.OrderBound
	g := SendGrant{Target: d.spec.Name, Until: min(now+slack, d.validUntil(k)), Term: d.term, Sequence: d.sequence, TTL: ttl, Fence: fence}
	if !fence {
		d.sentDigest, d.sentTable = d.digest, k.table
		g.Digest = d.digest
		if g.Full = d.digest != d.acceptedDigest; g.Full {
			g.Units = d.units
		}
		d.grantsExpireAt = max(d.grantsExpireAt, now+slack+k.cfg.OrderBound+k.cfg.stretch(ttl))
	}
	k.emit(g)
}

func (k *Keeper) grantResult(now time.Duration, e GrantResult) {
	d := k.duties[e.Target]
	if d == nil || d.outstanding == 0 || e.Sequence != d.outstanding {
		return
	}
	if e.Silent {
		d.noteNoReply()
		return
	}
	d.outstanding = 0
	if k.noteResponseTime(now, d, d.sentAt) {
		d.silentSince = 0
		k.clearLoss(d)
	} else if d.silentSince == 0 {
		d.silentSince = d.sentAt
	}
	if !e.Accepted {
		d.acceptedDigest = 0
		if e.Term > d.term {
			k.handleHigherTerm(now, d, e.Term)
		}
		return
	}
	if d.phase == waiting {
		return
	}
	if d.phase == fencing {
		k.startLoad(now, d, now+k.cfg.waitOut())
		return
	}
	if d.sentFence {
		return
	}
	d.acceptedDigest = d.sentDigest
	k.confirmReleases(d, e.Busy)
}

// handleHigherTerm is called when the target has seen a higher term: another router is its
// grantor, or a successor of this router was for a while.
func (k *Keeper) handleHigherTerm(now time.Duration, d *duty, term uint64) {
	if d.phase == serving && !d.received.active && term < nextEpoch(d.term) && !d.withoutStore {
		k.raiseTerm(now, d, true)
		return
	}
	k.sendRead(now, d)
}
