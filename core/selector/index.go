package selector

import (
	"cmp"
	"slices"

	"tarragongw/core/model"
)

// index groups a model's objects by service.
type index struct {
	model     *model.Model
	targets   map[string][]*model.Target
	ranges    map[string][]*model.KeyRange
	selectors map[string][]*model.Selector
	// wanted are the services that the index includes; nil means all.
	wanted map[string]bool
}

// newIndex returns the index of the wanted services, or of all services if wanted is nil.
func newIndex(m *model.Model, wanted map[string]bool) *index {
	x := &index{
		model: m, wanted: wanted,
		targets:   make(map[string][]*model.Target),
		ranges:    make(map[string][]*model.KeyRange),
		selectors: make(map[string][]*model.Selector),
	}
	addByService(x, x.targets, m.Targets, func(t *model.Target) string { return t.Service })
	addByService(x, x.ranges, m.Ranges, func(r *model.KeyRange) string { return r.Service })
	addByService(x, x.selectors, m.Selectors, func(s *model.Selector) string { return s.Service })
	return x
}

// addByService adds the objects of list to the map by their service, if the index includes it.
func addByService[T any](x *index, into map[string][]*T, list []T, service func(*T) string) {
	for i := range list {
		if name := service(&list[i]); x.includes(name) {
			into[name] = append(into[name], &list[i])
		}
	}
}

// includes reports whether the index includes the service.
func (x *index) includes(service string) bool { return x.wanted == nil || x.wanted[service] }

// selectorsOf returns the selectors of a service, highest priority first; selectors of equal
// priority are in order of name.
func (x *index) selectorsOf(service string) []*model.Selector {
	selectors := slices.Clone(x.selectors[service])
	slices.SortStableFunc(selectors, func(a, b *model.Selector) int {
		if order := cmp.Compare(b.Priority, a.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return selectors
}

// targetsOf returns the sorted names of the service's targets that e matches.
func (x *index) targetsOf(service string, e model.Expr) []string {
	names := []string{}
	for _, t := range x.targets[service] {
		if Match(e, &Subject{Name: t.Name, DataCentre: t.DataCentre, Labels: t.Labels}) {
			names = append(names, t.Name)
		}
	}
	slices.Sort(names)
	return names
}
