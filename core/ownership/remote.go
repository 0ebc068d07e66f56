package ownership

import (
	"cmp"
	"slices"
	"time"

	"tarragongw/core/ownership/ownershippb"
	"tarragongw/core/rendezvous"
)

// remoteDC is what this router knows about another data centre.
type remoteDC struct {
	cutOff bool
	// since is when cutOff last changed.
	since time.Duration
	// recordSeenAt is when a new grantor record last named a router of that data centre.
	recordSeenAt time.Duration
}

// remoteState is what a keeper knows about other data centres and their targets. This
// router has a duty for a remote target while a router of this data centre is recorded as
// its grantor, or while this router is to take it over.
type remoteState struct {
	dataCentres map[string]*remoteDC
	// sortedNames lists all data centres by name, including this one.
	sortedNames []string
	// cutOffCount is the number of data centres that are cut off.
	cutOffCount int
	// recordChangedAt is when each target's grantor record last changed; it is kept while
	// any data centre is cut off.
	recordChangedAt map[string]time.Duration
	// scanPending requests a scan for duties to take up or to end. nextScanAt is when the
	// next scan is due while a data centre is cut off.
	scanPending bool
	nextScanAt  time.Duration
	// connectedFor caches the result of connectedDataCentres by service until the next scan.
	connectedFor map[string][]string
}

// remoteScanInterval is how often the targets of data centres that are cut off are scanned
// if nothing else requests a scan. The cost of a scan grows with the number of targets
// times the number of live routers.
const remoteScanInterval = time.Second

func (k *Keeper) setRemote(now time.Duration, others []RemoteDataCentre) {
	next := remoteState{dataCentres: make(map[string]*remoteDC, len(others)), sortedNames: []string{k.cfg.DataCentre}, scanPending: true}
	for _, dc := range others {
		f := k.remote.dataCentres[dc.Name]
		if f == nil {
			f = &remoteDC{since: now}
		}
		if f.cutOff != dc.CutOff {
			f.cutOff, f.since = dc.CutOff, now
		}
		if f.cutOff {
			next.cutOffCount++
		}
		next.dataCentres[dc.Name] = f
		next.sortedNames = append(next.sortedNames, dc.Name)
	}
	slices.Sort(next.sortedNames)
	if next.cutOffCount > 0 {
		next.recordChangedAt = k.remote.recordChangedAt
	}
	if next.cutOffCount > 0 && next.recordChangedAt == nil {
		next.recordChangedAt = map[string]time.Duration{}
	}
	k.remote = next
}

func (k *Keeper) isCutOff(dc string) bool {
	f := k.remote.dataCentres[dc]
	return f != nil && f.cutOff
}

// dataCentreForRecord returns the DataCentre field of a record whose grantor is a router of
// this data centre.
func (k *Keeper) dataCentreForRecord(d *duty) string {
	if d.spec.DataCentre == k.cfg.DataCentre {
		return ""
	}
	return k.cfg.DataCentre
}

func (k *Keeper) isRemote(d *duty) bool { return d.spec.DataCentre != k.cfg.DataCentre }

// grantorDC is the data centre of the recorded grantor.
func (g *GrantorRecord) grantorDC(t *TargetSpec) string {
	return cmp.Or(g.DataCentre, t.DataCentre)
}

// grantorIsRemote reports whether the recorded grantor is in another data centre. That data
// centre handles the loss of its routers itself.
func (k *Keeper) grantorIsRemote(d *duty) bool {
	return d.record != nil && d.record.grantorDC(&d.spec) != k.cfg.DataCentre
}

// noteRemoteWrite notes that a router of a data centre wrote a record. If that data centre
// is cut off from this one, the write shows that it is still alive.
func (k *Keeper) noteRemoteWrite(now time.Duration, g *GrantorRecord) {
	t, ok := k.targets[g.Target]
	if !ok {
		return
	}
	dc := g.grantorDC(&t)
	if f := k.remote.dataCentres[dc]; f != nil {
		f.recordSeenAt = now
	}
	if k.remote.cutOffCount > 0 {
		k.remote.recordChangedAt[g.Target] = now
	}
	if t.DataCentre != k.cfg.DataCentre {
		k.remote.scanPending = true
	}
}

// scanRemoteTargets takes up and ends duties for targets of other data centres.
func (k *Keeper) scanRemoteTargets(now time.Duration) {
	e := &k.remote
	if !e.scanPending && (e.cutOffCount == 0 || now < e.nextScanAt) {
		return
	}
	e.scanPending, e.nextScanAt = false, now+remoteScanInterval
	e.connectedFor = nil
	changed := false
	for _, name := range k.names {
		t := k.targets[name]
		if t.DataCentre == k.cfg.DataCentre {
			continue
		}
		d := k.duties[name]
		switch needed := k.needsRemoteDuty(now, &t); {
		case d == nil && needed:
			k.duties[name] = newDuty(t) // it reads its record first
			changed = true
		case d != nil && !needed && d.phase == idle && k.writes[d.key] == nil && !k.isFinishing(d.key):
			k.removeRemoteDuty(name)
			changed = true
		}
	}
	if changed {
		k.listDuties()
	}
}

// needsRemoteDuty reports whether this router needs a duty for a target of another data
// centre.
func (k *Keeper) needsRemoteDuty(now time.Duration, t *TargetSpec) bool {
	g, known := k.table.grantors[t.Name]
	if !known {
		return false
	}
	from := cmp.Or(g.dataCentre, t.DataCentre)
	return from == k.cfg.DataCentre || k.shouldTakeOverRemote(now, t, from, g.yieldAfter) && k.highestRanked(t.Name) == k.cfg.Self
}

// highestRanked returns the router that ranks first for a target among the live routers. It
// does not sort them, because it is called for all targets of a data centre.
func (k *Keeper) highestRanked(target string) Router {
	var first Router
	var most uint64
	for _, r := range k.live {
		if w := rendezvous.Weight(target, r.Name); !k.leaving[r] && (first.Name == "" || w > most) {
			first, most = r, w
		}
	}
	return first
}

// removeRemoteDuty removes the duty for a target whose grantor is in another data centre,
// and what this router knew about its loss.
func (k *Keeper) removeRemoteDuty(name string) {
	delete(k.duties, name)
	k.setLost(name, false)
	k.gateStale = true
}

// shouldTakeOverRemote reports whether this data centre is the one that takes the target
// over now from a grantor in the data centre from. These conditions only prevent data
// centres from taking a duty from each other in turn, or from a data centre that serves.
// That no unit has two owners is guaranteed by the wait after the claim.
func (k *Keeper) shouldTakeOverRemote(now time.Duration, t *TargetSpec, from string, yield time.Duration) bool {
	if from == k.cfg.DataCentre || yield == 0 || !k.isCutOff(from) || len(k.live) == 0 || !k.dividedByKey(t.Service) {
		return false
	}
	if k.cfg.omit != omitClaimBack && (k.justChanged(now, t.Name) || !k.hasTakeoverQuorum(now, k.remote.dataCentres[from])) {
		return false
	}
	connected := k.connectedDataCentres(t.Service)
	if slices.Contains(connected, t.DataCentre) {
		return t.DataCentre == k.cfg.DataCentre
	}
	return len(connected) > 0 && rendezvous.Top("heir\x00"+t.Name, 1, connected)[0] == k.cfg.DataCentre
}

func (k *Keeper) dividedByKey(service string) bool {
	s := k.service(service)
	return s != nil && s.HashSlots > 0
}

// connectedDataCentres lists the data centres that are not cut off from this one and have
// targets for the service's keys, including this one.
func (k *Keeper) connectedDataCentres(service string) []string {
	if out, known := k.remote.connectedFor[service]; known {
		return out
	}
	var out []string
	for _, dc := range k.remote.sortedNames {
		if !k.isCutOff(dc) && k.hasTargets(service, dc) {
			out = append(out, dc)
		}
	}
	if k.remote.connectedFor == nil {
		k.remote.connectedFor = map[string][]string{}
	}
	k.remote.connectedFor[service] = out
	return out
}

func (k *Keeper) hasTargets(service, dc string) bool {
	for _, name := range k.names {
		if t := k.targets[name]; t.Service == service && t.DataCentre == dc && !t.Drain {
			return true
		}
	}
	return false
}

// justChanged reports whether the grantor's data centre wrote the record a short while ago.
// If two data centres are connected to a third one and not to each other, both have a
// quorum; without this check they would take the duty from each other with each renewal.
func (k *Keeper) justChanged(now time.Duration, target string) bool {
	at, changed := k.remote.recordChangedAt[target]
	return changed && now-at < k.cfg.HandBackAfter && k.cfg.omit != omitJustChanged
}

// hasTakeoverQuorum reports whether the data centres connected to this one, itself
// included, may take over from one that is cut off. A majority may, and so may the half
// that contains the data centre that is first by name. The other half, which would
// otherwise serve nothing after the loss of the first of two, waits three times
// HandBackAfter for a sign that the others are alive: by then they would have taken over
// its duties.
//
// Without this check, a data centre that is cut off from the others and reaches the store
// would take its duties back, the others would take them again, and the keys would be
// unserved while each waits for the other's authority to end. Or it would take the duties
// that the others serve.
func (k *Keeper) hasTakeoverQuorum(now time.Duration, from *remoteDC) bool {
	all := len(k.remote.sortedNames)
	connected := all - k.remote.cutOffCount
	if 2*connected != all {
		return 2*connected > all
	}
	wait := 3 * k.cfg.HandBackAfter
	return !k.isCutOff(k.remote.sortedNames[0]) || now-from.since >= wait && from.recordSeenAt < from.since
}

// withinOrderBound reports whether orders to the target arrive within OrderBound, which is
// assumed within a data centre.
//
// Between regions an order may be under way for longer than a router that takes over from
// this one waits for it, and a grant, whose TTL counts from receipt, may outlast the
// authority that it was sent under. The target is therefore sent no grants and no requests
// until it has answered in time. A target that does not is treated as one that does not
// answer, and its units move.
func (k *Keeper) withinOrderBound(d *duty) bool {
	return d.meetsOrderBound || !k.isRemote(d) || k.cfg.omit == omitOrderBoundCheck
}

// noteResponseTime records the answer to a message that was sent at sentAt, and reports
// whether orders to the target arrive within OrderBound.
func (k *Keeper) noteResponseTime(now time.Duration, d *duty, sentAt time.Duration) bool {
	near := now-sentAt <= k.cfg.OrderBound
	if k.isRemote(d) && d.meetsOrderBound != near {
		d.meetsOrderBound, k.gateStale = near, true
	}
	return k.withinOrderBound(d)
}

// considerRemoteClaim is considerClaim for a target whose grantor is in another data
// centre.
func (k *Keeper) considerRemoteClaim(now time.Duration, d *duty) {
	from := d.record.grantorDC(&d.spec)
	if k.shouldTakeOverRemote(now, &d.spec, from, d.record.YieldAfter) && k.ranksFirst(d) && k.storeReachable(now) {
		k.claim(now, d)
		return
	}
	k.abandonClaim(d)
	if !k.isRemote(d) && k.ranksFirst(d) {
		k.requestHandBack(now, d)
	}
}

// requestHandBack asks a grantor in another data centre for a target of this one, once that
// data centre has been connected for long enough that the partition is over.
func (k *Keeper) requestHandBack(now time.Duration, d *duty) {
	f := k.remote.dataCentres[d.record.DataCentre]
	if f == nil || f.cutOff || now-f.since < k.cfg.HandBackAfter {
		return
	}
	d.nextClaimAt = now + k.cfg.LostAfter
	k.send(d.record.Router, &ownershippb.Peer{Kind: ownershippb.Peer_HAND_BACK, Target: d.spec.Name, Term: d.record.Term})
}

// handBack hands the duty over to the router of the target's own data centre that asks for
// it. That router names its own successors: successors in this data centre would neither be
// asked for promises there nor take over.
func (k *Keeper) handBack(now time.Duration, d *duty, e PeerMessage) {
	ready := d.phase == serving && !d.withoutStore && !d.received.active && k.writes[d.key] == nil && now < d.validUntil(k)
	if ready && k.isRemote(d) && !k.isCutOff(d.spec.DataCentre) && e.Message.GetTerm() == d.term {
		k.writeNextGrantor(now, d, GrantorRecord{Router: e.From})
	}
}
