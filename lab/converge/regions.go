package main

import (
	"fmt"
	"slices"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/spread"
	"tarragongw/lab/fleet"
)

// The places to design for: 6 regions with 14 data centres. The times are assumed: 0.5 ms one
// way between the data centres of a region, as today, and 15 ms times the distance of two
// regions on a ring and 25 ms on top between regions, which is 40 to 70 ms; the store is
// in the first region.
const (
	nearDelay  = 500 * time.Microsecond
	farBase    = 25 * time.Millisecond
	farStep    = 15 * time.Millisecond
	cutLasts   = 30 * time.Second
	afterCut   = 15 * time.Second
	lossesEach = 10
)

var dcsOfRegion = []int{3, 3, 2, 2, 2, 2}

func farDelay(a, b int) time.Duration {
	d := max(a-b, b-a)
	return farBase + time.Duration(min(d, len(dcsOfRegion)-d))*farStep
}

func places() []fleet.Region {
	var regions []fleet.Region
	for r, n := range dcsOfRegion {
		region := fleet.Region{Name: fmt.Sprint("region-", r)}
		if r > 0 {
			region.ToStore = farDelay(0, r)
		}
		for i := range n {
			region.DCs = append(region.DCs, fmt.Sprintf("dc%d%d", r, i))
		}
		regions = append(regions, region)
	}
	return regions
}

// regions measures a fleet in all places, size routers in each data centre: changes in
// the calm, the loss of a router as seen from other regions, and a region that is cut
// off from all others and from the store and comes back.
func regions(trials, changes, size int) {
	for trial := range trials {
		f := fleet.NewRegions(membership.DefaultConfig(), spread.DefaultConfig(), uint64(trial+1), places(), size, nearDelay, farDelay)
		started := len(f.Names)
		calm := timeChanges(f, changes, nil)
		falseLosses, falseLinks := len(f.Losses), len(f.Links)
		lost := timeLosses(f)
		cut := cutRegion(f, 3)
		fmt.Printf("trial %d, %d routers in 14 data centres: change everywhere %s; lost %d, cut off %d wrongly in the calm\n",
			trial+1, started, quantiles(calm), falseLosses, falseLinks)
		fmt.Printf("  router lost, known to all others of its data centre %s; known in all others %s\n", quantiles(lost.home), quantiles(lost.away))
		fmt.Printf("  region cut off for %s: stated after %s; routers lost wrongly %d; the others' changes everywhere else %s; after its end: all equal after %s, all links back after %s\n",
			cutLasts, cut.stated.Round(time.Millisecond), cut.wrong, quantiles(cut.others), cut.equal.Round(time.Millisecond), cut.back.Round(time.Millisecond))
	}
}

// timeChanges writes changes 100 ms apart and returns when the last router that is not
// left out had each.
func timeChanges(f *fleet.Full, changes int, without func(name string) bool) []time.Duration {
	written := map[uint64]time.Time{}
	for i := range changes {
		written[f.Write(fmt.Sprint("config/", i), spread.Configuration, 1000)] = f.Net.Now()
		f.Net.Run(100 * time.Millisecond)
	}
	f.Net.Run(3 * time.Second)
	var last []time.Duration
	for rev, at := range written {
		slowest := time.Duration(0)
		for _, name := range f.Names {
			if without != nil && without(name) {
				continue
			}
			got, ok := f.Arrived[rev][name]
			if !ok {
				got = f.Net.Now() // not within the wait: counts with all of it
			}
			slowest = max(slowest, got.Sub(at))
		}
		last = append(last, slowest)
	}
	return last
}

type lossTimes struct{ home, away []time.Duration }

// timeLosses loses a router of different data centres, one after the other.
func timeLosses(f *fleet.Full) lossTimes {
	var times lossTimes
	gone := map[string]bool{}
	for i := range lossesEach {
		name := f.Names[(i*len(f.Names)/lossesEach+len(f.Names)/(2*lossesEach))%len(f.Names)]
		f.Reset()
		f.Kill(name)
		gone[name] = true
		at := f.Net.Now()
		f.Net.Run(6 * time.Second)
		var home, away time.Duration
		for _, c := range f.Losses {
			if c.Got.Member.Name != name {
				continue
			}
			if fleet.DataCentreOf(c.By) == fleet.DataCentreOf(name) {
				home = max(home, c.At.Sub(at))
			} else {
				away = max(away, c.At.Sub(at))
			}
		}
		times.home, times.away = append(times.home, home), append(times.away, away)
	}
	for _, name := range f.Names {
		if gone[name] {
			f.Forget(name)
		}
	}
	f.Names = slices.DeleteFunc(f.Names, func(name string) bool { return gone[name] })
	return times
}

type cutTimes struct {
	stated, equal, back time.Duration
	wrong               int
	others              []time.Duration
}

// cutRegion cuts a region off from the others and from the store.
func cutRegion(f *fleet.Full, region int) cutTimes {
	inside := map[string]bool{}
	for _, name := range f.Names {
		inside[name] = slices.Contains(places()[region].DCs, fleet.DataCentreOf(name))
	}
	f.Reset()
	f.Net.Blocked = func(from, to string) bool { return inside[from] != inside[to] }
	f.StoreCut = func(name string) bool { return inside[name] }
	var within []string
	for name, in := range inside {
		if in {
			within = append(within, name)
		}
	}
	slices.Sort(within)
	f.Tell(false, within...)
	began := f.Net.Now()
	var out cutTimes
	out.others = timeChanges(f, 100, func(name string) bool { return inside[name] })
	f.Net.Run(cutLasts - f.Net.Now().Sub(began))
	for _, l := range f.Links {
		out.stated = max(out.stated, l.At.Sub(began))
	}
	for _, c := range f.Losses {
		if slices.Contains(f.Names, c.Got.Member.Name) {
			out.wrong++
		}
	}
	links := len(f.Links)
	f.Net.Blocked, f.StoreCut = nil, nil
	ended := f.Net.Now()
	for f.Net.Now().Sub(ended) < afterCut && len(f.Digests()) > 1 {
		f.Net.Run(10 * time.Millisecond)
	}
	out.equal = f.Net.Now().Sub(ended)
	f.Net.Run(afterCut)
	for _, l := range f.Links[links:] {
		out.back = max(out.back, l.At.Sub(ended))
	}
	return out
}
