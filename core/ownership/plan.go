package ownership

import (
	"sort"

	"tarragongw/core/routing"
)

// schedulePlanning requests a new search for units to place and to move away.
func (k *Keeper) schedulePlanning() {
	k.checkUnowned = true
	for _, d := range k.dutyList {
		d.leavingPlanned = nil
	}
}

// planLeaving plans moves of all units off a target that is lost or draining.
func (k *Keeper) planLeaving(d *duty) {
	leaving := d.spec.Drain || k.lostTargets[d.spec.Name]
	if !leaving {
		d.leavingPlanned = nil
		return
	}
	if d.leavingPlanned == k.table {
		return
	}
	d.leavingPlanned = k.table
	spec := k.service(d.spec.Service)
	if spec == nil {
		return
	}
	candidates := k.candidates(d.spec.Service, k.cfg.DataCentre)
	for _, m := range Assign(k.placed(spec, candidates, d.spec.Name), candidates, 0) {
		if m.From == d.spec.Name {
			k.addMove(m)
		}
	}
}

// candidates returns the targets that may take over units: those of the data centre, or all
// targets if it has none left. Targets that are suspected of being lost, and then those of
// data centres that are cut off, are used only if there are no others.
func (k *Keeper) candidates(service, dataCentre string) []Candidate {
	var home, all, doubtful, cutOff []Candidate
	for _, name := range k.names {
		t := k.targets[name]
		if t.Service != service || t.Drain || k.lostTargets[name] {
			continue
		}
		c := Candidate{Name: name, Weight: t.Weight}
		if k.isCutOff(t.DataCentre) {
			cutOff = append(cutOff, c)
			continue
		}
		if k.isSuspect(k.lastStepAt, name) {
			doubtful = append(doubtful, c)
			continue
		}
		all = append(all, c)
		if t.DataCentre == dataCentre {
			home = append(home, c)
		}
	}
	switch {
	case len(home) > 0:
		return home
	case len(all) > 0:
		return all
	case len(doubtful) > 0:
		return doubtful
	}
	return cutOff
}

// placed lists the units whose current or next owner is a candidate or the leaving target.
func (k *Keeper) placed(spec *ServiceSpec, candidates []Candidate, leaving string) []Placed {
	index := map[string]int{}
	for i, c := range candidates {
		index[c.Name] = i
	}
	var out []Placed
	k.table.EachUnit(spec.Name, func(u routing.Unit, st UnitState) {
		owner := st.Target
		if st.Next != "" {
			owner = st.Next
		}
		if _, ok := index[owner]; ok || owner == leaving {
			out = append(out, Placed{Unit: u, Owner: owner, Eligible: eligibleFor(spec, u, index)})
		}
	})
	return out
}

// eligibleFor returns the indexes of the candidates that may own a range. nil means that
// all may; if none of the eligible targets is a candidate, the result is empty and not nil.
func eligibleFor(spec *ServiceSpec, u routing.Unit, index map[string]int) []int {
	if u.Kind != routing.RangeUnit {
		return nil
	}
	i := sort.Search(len(spec.Ranges), func(i int) bool { return spec.Ranges[i].Name >= u.Range })
	if i == len(spec.Ranges) || spec.Ranges[i].Name != u.Range || spec.Ranges[i].Eligible == nil {
		return nil
	}
	out := []int{}
	for _, name := range spec.Ranges[i].Eligible {
		if c, ok := index[name]; ok {
			out = append(out, c)
		}
	}
	return out
}
