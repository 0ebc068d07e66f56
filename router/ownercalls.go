package router

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/routing"
	"tarragongw/kv"
	"tarragongw/leasewrite"
	"tarragongw/target"
)

// readAll carries out the reads of one step. Several records with one prefix are
// read by one list call: a router that takes over many targets, or confirms its
// authority over many that do not check grants, would else spend its budget of
// calls on it. What may be left to another router is.
func (o *ownerDuty) readAll(actions []ownership.Action) {
	byPrefix := make(map[string][]ownership.Read)
	var relayed []ownership.Read
	for _, action := range actions {
		a, ok := action.(ownership.Read)
		switch {
		case !ok:
			continue
		case a.Relayed:
			relayed = append(relayed, a)
			continue
		}
		prefix := a.Key[:strings.LastIndexByte(a.Key, '/')+1]
		byPrefix[prefix] = append(byPrefix[prefix], a)
	}
	if len(relayed) > 0 {
		o.r.confirms.ask(relayed)
	}
	for prefix, reads := range byPrefix {
		if len(reads) == 1 {
			o.r.workers.Run(func() { o.read(reads[0]) })
			continue
		}
		o.r.workers.Run(func() { o.readList(prefix, reads) })
	}
}

// readList answers reads from one list of their common prefix.
func (o *ownerDuty) readList(prefix string, reads []ownership.Read) {
	ctx, cancel := o.r.alarms.limit(o.r.lifetime, o.r.opts.Settings.Store.Timeout)
	defer cancel()
	records, _, err := o.r.platform.For(kv.Ownership).List(ctx, prefix)
	found := make(map[string]kv.Record, len(records))
	for _, rec := range records {
		found[rec.Key] = rec
	}
	for _, a := range reads {
		o.tellRead(a, found[a.Key], err)
	}
}

// read carries out a read of the store for the core.
func (o *ownerDuty) read(a ownership.Read) {
	ctx, cancel := o.r.alarms.limit(o.r.lifetime, o.r.opts.Settings.Store.Timeout)
	defer cancel()
	rec, err := o.r.platform.For(kv.Ownership).Get(ctx, a.Key)
	if errors.Is(err, kv.ErrNotFound) {
		rec, err = kv.Record{}, nil
	}
	o.tellRead(a, rec, err)
}

func (o *ownerDuty) tellRead(a ownership.Read, rec kv.Record, err error) {
	if err == nil {
		o.r.members.witness()
	}
	o.duty.Tell(ownership.StoreRead{
		Key:      a.Key,
		SentAt:   a.SentAt,
		Outcome:  storeOutcome(err),
		Revision: uint64(rec.Revision),
		Value:    rec.Value,
	})
}

// compareAndSwap carries out a write of the core. Nothing is repeated here: the
// core settles an unknown outcome by reading its operation id back.
func (o *ownerDuty) compareAndSwap(a ownership.CAS) {
	ctx, cancel := o.r.alarms.limit(o.r.lifetime, o.r.opts.Settings.Store.Timeout)
	defer cancel()
	revision, err := o.r.platform.For(kv.Ownership).CompareAndSwap(ctx, a.Key, kv.Revision(a.Expect), a.Value)
	o.duty.TellHere(ownership.CASResult{Key: a.Key, Op: a.Op, Outcome: storeOutcome(err), Revision: uint64(revision)})
}

// storeOutcome maps a store's error to what is known about the call.
func storeOutcome(err error) ownership.Outcome {
	switch {
	case err == nil:
		return ownership.Landed
	case errors.Is(err, kv.ErrConflict):
		return ownership.Conflict
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrOverBudget):
		return ownership.Unavailable
	default:
		return ownership.Unknown
	}
}

// grant sends one order to a target. An order that could not be sent in time is
// dropped: sent later it could reach the target after this router's authority.
func (o *ownerDuty) grant(a ownership.SendGrant, digest uint64) {
	result := ownership.GrantResult{Target: a.Target, Sequence: a.Sequence, Silent: true}
	defer func() { o.duty.TellHere(result) }()
	u := o.r.upstreams.hold(a.Target)
	if u == nil {
		return
	}
	defer u.release()
	if o.r.clock.Now() >= a.Until {
		return
	}
	ctx, cancel := o.r.alarms.limit(o.r.lifetime, replyTimeout(&o.r.opts.Settings.Timers))
	defer cancel()
	reply, err := u.control.Grant(ctx, grantBatch(u, &a, digest, o.r.self.Name), clock.BootTime(o.r.clock, a.Until))
	if leasewrite.IsLeaseError(err) {
		return
	}
	o.r.health.orderEnded(u, err == nil)
	if err != nil {
		return
	}
	result.Silent = false
	result.Accepted = reply.Accepted
	result.Term = reply.Term
	result.Busy = o.units(o.r.view.Load(), u.spec.Service, reply.Busy)
}

// probe looks whether this router reaches a target, on behalf of the target's grantor.
func (o *ownerDuty) probe(a ownership.ProbeTarget) {
	u := o.r.upstreams.hold(a.Target)
	if u == nil {
		return
	}
	defer u.release()
	ctx, cancel := o.r.alarms.limit(o.r.lifetime, probeTimeout)
	defer cancel()
	_, err := u.control.Probe(ctx)
	o.duty.TellHere(ownership.TargetProbed{Target: a.Target, For: a.For, Reached: err == nil})
}

func grantBatch(u *upstream, a *ownership.SendGrant, digest uint64, self string) *target.GrantBatch {
	return &target.GrantBatch{
		Grantor:   self,
		Term:      a.Term,
		Sequence:  a.Sequence,
		TTLMillis: a.TTL.Milliseconds(),
		Service:   u.spec.Service,
		Digest:    digest,
		Fence:     a.Fence,
		Full:      a.Full,
		Units:     wireUnits(a.Units),
	}
}

func wireUnits(units []ownership.GrantUnit) []target.UnitGrant {
	out := make([]target.UnitGrant, 0, len(units))
	for _, g := range units {
		out = append(out, target.UnitGrant{Unit: g.Unit.String(), Token: g.Token})
	}
	return out
}

// wireDigest is the target's checksum of the set that an order is about. The core
// has a checksum of its own and renews without units only what was sent last.
func (o *ownerDuty) wireDigest(a *ownership.SendGrant) uint64 {
	if a.Full {
		o.digests[a.Target] = target.Digest(wireUnits(a.Units))
	}
	return o.digests[a.Target]
}

// units finds the units that a target named.
func (o *ownerDuty) units(v *view, service string, names []string) []routing.Unit {
	if len(names) == 0 {
		return nil
	}
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var out []routing.Unit
	for _, unit := range v.compiled.Units(service) {
		if wanted[unit.String()] {
			out = append(out, unit)
		}
	}
	return out
}

// serviceSpec describes a service to the core. One that is not divided by key has
// no units; only its targets' grantors matter.
func serviceSpec(v *view, s *model.Service) ownership.ServiceSpec {
	spec := ownership.ServiceSpec{Name: s.Name}
	if s.Division == model.ByKey {
		spec.HashSlots = s.HashSlots
	}
	for _, unit := range v.compiled.RangeUnits(s.Name) {
		spec.Ranges = append(spec.Ranges, ownership.RangeSpec{Name: unit.Range, Eligible: v.compiled.Eligible(unit)})
	}
	slices.SortFunc(spec.Ranges, func(a, b ownership.RangeSpec) int { return strings.Compare(a.Name, b.Name) })
	return spec
}

// publish tells the other routers of a record, so that they need not wait for
// their data centre's watch of the store. A grantor that acts without the store
// has no record there; its claim goes to each router by itself.
func (o *ownerDuty) publish(a ownership.Publish) {
	if a.Revision > 0 {
		o.r.records.wrote(a.Key, a.Revision, a.Value)
		return
	}
	o.r.members.broadcast(kindClaim, a.Value)
}

// receiveClaim takes in the record of a grantor that acts without the store.
func (o *ownerDuty) receiveClaim(payload []byte) {
	claim, err := ownership.DecodeGrantor(payload)
	if err != nil {
		o.r.log.Warn("unreadable grantor record", "error", err)
		return
	}
	o.duty.Tell(ownership.GrantorClaimed{Record: claim})
}

func uintText(n uint64) string { return strconv.FormatUint(n, 10) }
