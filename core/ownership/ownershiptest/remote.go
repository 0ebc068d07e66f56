package ownershiptest

import (
	"slices"
	"time"

	"tarragongw/core/model"
	"tarragongw/core/ownership"
)

func (r *router) dataCentre() string {
	all := r.world.opt.DataCentres
	if len(all) == 0 {
		return dataCentre
	}
	return all[r.index%len(all)]
}

// otherDataCentres is the router's view of the other data centres. A data centre is cut off
// if no heartbeat of its routers has arrived within CutOff.
func (r *router) otherDataCentres() []ownership.RemoteDataCentre {
	var out []ownership.RemoteDataCentre
	for _, dc := range r.world.opt.DataCentres {
		if dc == r.dataCentre() || slices.ContainsFunc(out, func(f ownership.RemoteDataCentre) bool { return f.Name == dc }) {
			continue
		}
		lastHeartbeat := time.Duration(-1)
		for _, o := range r.world.routers {
			if at, ok := r.lastHeartbeatAt[o.index]; ok && o.dataCentre() == dc {
				lastHeartbeat = max(lastHeartbeat, at)
			}
		}
		out = append(out, ownership.RemoteDataCentre{Name: dc, CutOff: lastHeartbeat < 0 || r.world.now-lastHeartbeat >= r.world.opt.CutOff})
	}
	return out
}

func (w *World) addedLatency(r *router, t *fakeTarget) time.Duration {
	if r.dataCentre() == t.spec.DataCentre {
		return 0
	}
	return w.AddedLatency
}

// routersIn returns the indexes of the routers of a data centre.
func (w *World) routersIn(dc string) []int {
	var out []int
	for _, r := range w.routers {
		if r.dataCentre() == dc {
			out = append(out, r.index)
		}
	}
	return out
}

// CutDataCentre cuts the connections between a data centre's routers and those of the
// others, and between the routers of either side and the targets of the other, for d.
func (w *World) CutDataCentre(dc string, d time.Duration) {
	w.PartitionTargets(dc, d)
	for _, i := range w.routersIn(dc) {
		for _, o := range w.routers {
			if o.dataCentre() != dc {
				w.CutLink(i, o.index, d)
			}
		}
	}
}

// PartitionTargets cuts the connections between the routers of either side and the targets
// of the other for d.
func (w *World) PartitionTargets(dc string, d time.Duration) { w.partitionedUntil[dc] = w.now + d }

// CutStoreFromDataCentre cuts the connections of a data centre's routers to the store for
// d.
func (w *World) CutStoreFromDataCentre(dc string, d time.Duration) {
	for _, i := range w.routersIn(dc) {
		w.CutStore(i, d)
	}
}

// DropHeartbeatsFromOthers drops the heartbeats from other data centres' routers to those
// of this one for d; heartbeats in the other direction still arrive.
func (w *World) DropHeartbeatsFromOthers(dc string, d time.Duration) {
	for _, i := range w.routersIn(dc) {
		for _, o := range w.routers {
			if o.dataCentre() != dc {
				w.deafToUntil[[2]int{i, o.index}] = w.now + d
			}
		}
	}
}

// LoseDataCentre kills a data centre's routers and targets for good.
func (w *World) LoseDataCentre(dc string) {
	for _, i := range w.routersIn(dc) {
		w.KillRouter(i, 0)
	}
	for _, name := range w.names {
		if w.targets[name].spec.DataCentre == dc {
			w.targets[name].dead = true
		}
	}
}

// Configure gives the routers a configuration; the others keep theirs.
func (w *World) Configure(targets []ownership.TargetSpec, routers ...int) {
	for _, i := range routers {
		w.routers[i].targets = targets
		w.routers[i].step(ownership.Configured{Targets: targets, Services: w.opt.Services})
	}
}

// GrantCheck returns what the target checks of its grants.
func (w *World) GrantCheck(target string) model.GrantCheck { return w.targets[target].spec.Grants }

// CountReports returns the number of reports of a kind.
func (w *World) CountReports(kind ownership.ReportKind) int {
	n := 0
	for _, r := range w.Reports {
		if r.Kind == kind {
			n++
		}
	}
	return n
}
