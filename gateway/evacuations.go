package gateway

import (
	"slices"
	"strings"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/evacuation"
	"tarragongw/kv"
	"tarragongw/operator"
)

// evacuates reports whether operators of this platform evacuate data centres.
func (g *Gateway) evacuates() bool { return g.opts.EvacuationLimit > 0 }

// evacuations returns the evacuations that are in force.
func (g *Gateway) evacuations() []evacuation.Evacuation {
	all, _ := g.evacuated.Load().([]evacuation.Evacuation)
	return all
}

// describeEvacuations returns what operators see of the evacuations.
func (g *Gateway) describeEvacuations() *operator.Evacuations {
	return operator.DescribeEvacuations(g.opts.Name, g.evacuations(), g.sends.evacuations.age())
}

// handleEvacuations records changes or a listing of the operators' records in the store.
func (cs *clusterState) handleEvacuations(c *change) {
	if !cs.g.evacuates() || c.revision == 0 {
		return
	}
	var changes []evacuation.Change
	var listed []evacuation.Record
	for _, r := range c.records {
		name, ok := strings.CutPrefix(r.Key, cs.g.opts.Adapter.EvacuationPrefix)
		if !ok || name == "" {
			continue
		}
		record := evacuation.Record{DataCentre: name, Revision: uint64(r.Revision)}
		changes = append(changes, evacuation.Change{Record: record, Ended: r.Deleted})
		if !r.Deleted {
			listed = append(listed, record)
		}
	}
	now, before := time.Now(), cs.evacuations.Snapshot()
	switch {
	case !c.listed:
		cs.evacuations.Apply(now, changes, uint64(c.revision))
	case c.revision.Era() != kv.Revision(before.Revision).Era():
		cs.evacuations.Restore(now, listed, uint64(c.revision))
	default:
		cs.evacuations.Replace(now, listed, uint64(c.revision))
	}
	cs.publishEvacuations(&before, toldByStore)
}

// adoptEvacuations records what another router knows.
func (cs *clusterState) adoptEvacuations(known *evacuation.Snapshot, toldBy string) {
	if !cs.g.evacuates() {
		return
	}
	before := cs.evacuations.Snapshot()
	cs.evacuations.Adopt(time.Now(), *known)
	cs.publishEvacuations(&before, toldBy)
}

// confirmEvacuations records that the evacuated data centres were known at a time.
func (cs *clusterState) confirmEvacuations(at time.Duration) {
	if !cs.g.evacuates() || !cs.evacuations.Known() {
		return
	}
	cs.evacuations.Confirm(time.Now().Add(at - cs.g.opts.Clock.Now()))
	cs.g.sends.evacuations.confirm(at)
}

// publishEvacuations passes the evacuations on to the request path, the leader duty and the followers if they differ from
// those before.
func (cs *clusterState) publishEvacuations(before *evacuation.Snapshot, toldBy string) {
	current := cs.evacuations.Snapshot()
	same := slices.Equal(before.Records, current.Records)
	if before.Revision == 0 || !same || before.RestoredAt != current.RestoredAt {
		cs.g.subscription.source.SetEvacuations(current)
	}
	if !same {
		cs.useEvacuations(before, toldBy)
	}
}

// useEvacuations puts evacuations that differ from those before in force at this router.
func (cs *clusterState) useEvacuations(before *evacuation.Snapshot, toldBy string) {
	for _, r := range before.Records {
		if _, inForce := cs.evacuations.InForce(r.DataCentre); !inForce {
			cs.assumeCold(r.DataCentre)
		}
	}
	cs.logEvacuations(before, toldBy)
	cs.g.evacuated.Store(cs.evacuations.All())
	if cs.knownPrefixes[cs.g.opts.Adapter.TargetPrefix] {
		cs.publishTargets(true)
	}
}

// logEvacuations logs and counts what has begun or ended since before.
func (cs *clusterState) logEvacuations(before *evacuation.Snapshot, toldBy string) {
	age := cs.g.sends.evacuations.age()
	report := func(message string, r evacuation.Record, inForce float64) {
		cs.g.log.Info(message, "data_centre", r.DataCentre, "revision", r.Revision, "told_by", toldBy, "unconfirmed", age)
		if tel := cs.g.opts.Telemetry; tel != nil {
			tel.Scope().Tagged(map[string]string{"evacuated": r.DataCentre}).Gauge("data_centre_evacuated").Update(inForce)
		}
	}
	was := make(map[string]bool, len(before.Records))
	for _, r := range before.Records {
		was[r.DataCentre] = true
		if _, inForce := cs.evacuations.InForce(r.DataCentre); !inForce {
			report("evacuation of a data centre ended", r, 0)
		}
	}
	for _, e := range cs.evacuations.All() {
		if !was[e.DataCentre] {
			report("data centre evacuated", e.Record, 1)
		}
	}
}

// markEvacuated marks the targets of evacuated data centres.
func (cs *clusterState) markEvacuated(targets []directory.Target) []directory.Target {
	for i := range targets {
		if e, inForce := cs.evacuations.InForce(targets[i].DataCentre); inForce {
			targets[i].Evacuated, targets[i].EvacuatedAfter = true, e.AbsentAt
		}
	}
	return targets
}
