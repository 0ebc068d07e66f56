package model

import (
	"maps"
	"reflect"
)

// Difference holds the objects that differ between an old and a new model.
type Difference struct {
	// ChangedServices is the set of names of the services that differ themselves, or of which
	// a target, key range or selector differs, in the old or in the new model.
	ChangedServices map[string]bool
	// TargetsChanged and CallersChanged report whether any target or any caller differs.
	TargetsChanged, CallersChanged bool
	// ServiceRemoved reports whether the new model lacks a service of the old one. An object that
	// refers to that service may have become invalid without having changed itself.
	ServiceRemoved bool
	// Before holds the objects of the old model that the new one lacks or has with other
	// values; After holds those of the new model that the old one lacks or has with other
	// values.
	Before, After Model
}

// Compare returns the difference between two models, both of which must be sorted.
func Compare(old, new *Model) *Difference {
	d := &Difference{ChangedServices: map[string]bool{}}
	b, a := &d.Before, &d.After
	compare(old.Services, new.Services, serviceName, sameService, func(before, after *Service) {
		recordChange(d, before, after, serviceName, &b.Services, &a.Services)
		d.ServiceRemoved = d.ServiceRemoved || after == nil
	})
	compare(old.Targets, new.Targets, targetName, sameTarget, func(before, after *Target) {
		recordChange(d, before, after, func(t *Target) string { return t.Service }, &b.Targets, &a.Targets)
	})
	compare(old.Ranges, new.Ranges, rangeName, sameRange, func(before, after *KeyRange) {
		recordChange(d, before, after, func(r *KeyRange) string { return r.Service }, &b.Ranges, &a.Ranges)
	})
	compare(old.Callers, new.Callers, callerName, sameCaller, func(before, after *Caller) {
		recordChange(d, before, after, nil, &b.Callers, &a.Callers)
	})
	compare(old.Selectors, new.Selectors, selectorName, sameSelector, func(before, after *Selector) {
		recordChange(d, before, after, func(s *Selector) string { return s.Service }, &b.Selectors, &a.Selectors)
	})
	d.TargetsChanged = len(b.Targets)+len(a.Targets) > 0
	d.CallersChanged = len(b.Callers)+len(a.Callers) > 0
	return d
}

// Undo returns the old model, given the new model from which d was computed and the
// revision of the old model.
func (d *Difference) Undo(new *Model, revision uint64) *Model {
	b, a := &d.Before, &d.After
	return &Model{
		Revision:  revision,
		Services:  undo(new.Services, b.Services, a.Services, serviceName),
		Targets:   undo(new.Targets, b.Targets, a.Targets, targetName),
		Ranges:    undo(new.Ranges, b.Ranges, a.Ranges, rangeName),
		Callers:   undo(new.Callers, b.Callers, a.Callers, callerName),
		Selectors: undo(new.Selectors, b.Selectors, a.Selectors, selectorName),
	}
}

// undo returns list without the objects named in after and with those of before added.
// All three lists must be sorted by name.
func undo[T any](list, before, after []T, name func(*T) string) []T {
	if len(before)+len(after) == 0 {
		return list
	}
	old := make([]T, 0, len(list)+len(before))
	for i := range list {
		for len(before) > 0 && name(&before[0]) < name(&list[i]) {
			old, before = append(old, before[0]), before[1:]
		}
		if len(after) > 0 && name(&after[0]) == name(&list[i]) {
			after = after[1:]
			continue
		}
		old = append(old, list[i])
	}
	return append(old, before...)
}

// recordChange adds an object that differs to the lists of before and after, and its
// service, if service is not nil, to d.Services. before or after is nil if that model
// lacks the object.
func recordChange[T any](d *Difference, before, after *T, service func(*T) string, befores, afters *[]T) {
	if before != nil {
		*befores = append(*befores, *before)
	}
	if after != nil {
		*afters = append(*afters, *after)
	}
	for _, object := range []*T{before, after} {
		if object != nil && service != nil {
			d.ChangedServices[service(object)] = true
		}
	}
}

// compare calls report for each name under which the two sorted lists have objects that
// differ; before or after is nil if that list has no object of the name.
func compare[T any](old, new []T, name func(*T) string, same func(a, b *T) bool, report func(before, after *T)) {
	if len(old) > 0 && len(old) == len(new) && &old[0] == &new[0] {
		return
	}
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		switch {
		case j == len(new) || i < len(old) && name(&old[i]) < name(&new[j]):
			report(&old[i], nil)
			i++
		case i == len(old) || name(&old[i]) > name(&new[j]):
			report(nil, &new[j])
			j++
		default:
			if !same(&old[i], &new[j]) {
				report(&old[i], &new[j])
			}
			i, j = i+1, j+1
		}
	}
}

func serviceName(s *Service) string   { return s.Name }
func targetName(t *Target) string     { return t.Name }
func rangeName(r *KeyRange) string    { return r.Name }
func callerName(c *Caller) string     { return c.Name }
func selectorName(s *Selector) string { return s.Name }

// Services and selectors are few, so reflection is fast enough for them. The other kinds
// are compared field by field, which takes a tenth of the time.

func sameService(a, b *Service) bool   { return reflect.DeepEqual(a, b) }
func sameSelector(a, b *Selector) bool { return reflect.DeepEqual(a, b) }

func sameTarget(a, b *Target) bool {
	return a.Name == b.Name && a.Service == b.Service && a.DataCentre == b.DataCentre &&
		a.Address == b.Address && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.Grants == b.Grants && a.Drain == b.Drain && sameLabels(a.Labels, b.Labels)
}

func sameRange(a, b *KeyRange) bool {
	return a.Name == b.Name && a.Service == b.Service && a.From == b.From && a.To == b.To &&
		sameLabels(a.Labels, b.Labels)
}

func sameCaller(a, b *Caller) bool {
	return a.Name == b.Name && a.Weight == b.Weight && sameLabels(a.Labels, b.Labels)
}

func sameLabels(a, b Labels) bool { return (a == nil) == (b == nil) && maps.Equal(a, b) }

// SameObjects reports whether the count objects of the kind that start at index aStart of a
// equal those that start at index bStart of b. Both models must have that many objects.
func SameObjects(kind ObjectKind, a *Model, aStart int, b *Model, bStart, count int) bool {
	switch kind {
	case KindService:
		return sameObjects(a.Services[aStart:aStart+count], b.Services[bStart:bStart+count], sameService)
	case KindTarget:
		return sameObjects(a.Targets[aStart:aStart+count], b.Targets[bStart:bStart+count], sameTarget)
	case KindRange:
		return sameObjects(a.Ranges[aStart:aStart+count], b.Ranges[bStart:bStart+count], sameRange)
	case KindCaller:
		return sameObjects(a.Callers[aStart:aStart+count], b.Callers[bStart:bStart+count], sameCaller)
	case KindSelector:
		return sameObjects(a.Selectors[aStart:aStart+count], b.Selectors[bStart:bStart+count], sameSelector)
	}
	return false
}

func sameObjects[T any](a, b []T, same func(a, b *T) bool) bool {
	for i := range a {
		if !same(&a[i], &b[i]) {
			return false
		}
	}
	return true
}
