package model

import (
	"cmp"
	"slices"
)

// Sort sorts every list of the model by name.
func (m *Model) Sort() {
	slices.SortStableFunc(m.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.Ranges, func(a, b KeyRange) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.Callers, func(a, b Caller) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(m.Selectors, func(a, b Selector) int { return cmp.Compare(a.Name, b.Name) })
}

// ObjectName returns the name of the object of the kind at the given index.
func (m *Model) ObjectName(kind ObjectKind, index int) string {
	switch kind {
	case KindService:
		return m.Services[index].Name
	case KindTarget:
		return m.Targets[index].Name
	case KindRange:
		return m.Ranges[index].Name
	case KindCaller:
		return m.Callers[index].Name
	case KindSelector:
		return m.Selectors[index].Name
	}
	return ""
}

// Range returns the key range with the name, or nil.
func (m *Model) Range(name string) *KeyRange {
	for i := range m.Ranges {
		if m.Ranges[i].Name == name {
			return &m.Ranges[i]
		}
	}
	return nil
}

// Selector returns the selector with the name, or nil.
func (m *Model) Selector(name string) *Selector {
	for i := range m.Selectors {
		if m.Selectors[i].Name == name {
			return &m.Selectors[i]
		}
	}
	return nil
}

// Single reports whether the range holds exactly one key.
func (r *KeyRange) Single() bool { return r.From != "" && r.From == r.To }

// Contains reports whether key lies in the range.
func (r *KeyRange) Contains(key string) bool {
	if key < r.From {
		return false
	}
	return r.To == "" || key < r.To || r.Single() && key == r.From
}

// Overlaps reports whether any key lies in both ranges.
func (r *KeyRange) Overlaps(o *KeyRange) bool {
	return r.Contains(o.From) || o.Contains(r.From)
}
