package fleet

import (
	"strings"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/spread"
)

// Region is a set of data centres that are near each other.
type Region struct {
	Name string
	DCs  []string
	// ToStore is the one-way time to the store.
	ToStore time.Duration
}

// LinkChange is a statement of one router on its way to a data centre.
type LinkChange struct {
	At  time.Time
	By  string
	Got membership.LinkChanged
}

// NewRegions starts size routers in each data centre of the regions. far is the one-way
// time between two regions, and near that between data centres of one.
func NewRegions(mcfg membership.Config, scfg spread.Config, seed uint64, regions []Region, size int, near time.Duration, far func(a, b int) time.Duration) *Full {
	f := newFull(mcfg, 0, seed, 200, 256)
	region := map[string]int{}
	var dcs []string
	for i, r := range regions {
		for _, dc := range r.DCs {
			region[dc] = i
			dcs = append(dcs, dc)
		}
	}
	f.Net.Delay = func(from, to string) time.Duration {
		a, b := DataCentreOf(from), DataCentreOf(to)
		switch {
		case a == b:
			return 0
		case region[a] == region[b]:
			return near
		default:
			return far(region[a], region[b])
		}
	}
	f.StoreFar = func(name string) time.Duration { return regions[region[DataCentreOf(name)]].ToStore }
	f.startAll(mcfg, scfg, seed, dcs, size)
	f.Net.Run(20 * time.Second)
	f.Reset()
	return f
}

// DataCentreOf is the data centre in the name of a router.
func DataCentreOf(router string) string {
	dc, _, _ := strings.Cut(router, "-r")
	return dc
}

func (f *Full) storeFar(name string) time.Duration {
	if f.StoreFar == nil {
		return 0
	}
	return f.StoreFar(name)
}

func (f *Full) cutFromStore(name string) bool { return f.StoreCut != nil && f.StoreCut(name) }

func (f *Full) noteChange(now time.Time, by string, c membership.Changed) {
	if c.To == membership.Lost {
		f.Losses = append(f.Losses, Change{now, by, c})
	}
}

// ReadStore has each watcher that reaches the store read all of it, as after an outage.
func (f *Full) ReadStore() {
	for _, name := range f.Names {
		if n := f.nodes[name]; n != nil && n.watching {
			f.Net.After(f.delay()+f.storeFar(name), n.readStore)
		}
	}
}

// Tell has a watcher say whether it reaches the store.
func (f *Full) Tell(up bool, names ...string) {
	for _, name := range names {
		if n := f.nodes[name]; n != nil && n.watching {
			n.stepSpread(f.Net.Now(), spread.StoreReached{Up: up})
		}
	}
}

// Digests returns how many of the routers hold each set of records.
func (f *Full) Digests() map[uint64]int {
	sets := map[uint64]int{}
	for _, n := range f.nodes {
		sets[n.spread.Digest()]++
	}
	return sets
}

// Forget takes a lost router out of the counts.
func (f *Full) Forget(name string) { delete(f.nodes, name) }
