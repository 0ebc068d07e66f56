package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"tarragongw/core/model"
)

// ChangeKind says what happened to an object.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference in one object between two models.
type Change struct {
	Object model.Ref
	Kind   ChangeKind
	// Fields are the fields that differ, in order of name. For an object that was added or
	// removed they are all its fields.
	Fields []FieldChange
}

// FieldChange is the difference in one field. Old and New are the values as JSON, empty if
// the field is not set.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// Diff returns the changes from the old model to the new one, in order of kind and name.
// The models must be sorted.
func Diff(old, new *model.Model) []Change {
	d := model.Compare(old, new)
	before, after := splitModel(&d.Before), splitModel(&d.After)
	var changes []Change
	for _, ref := range refs(before, after) {
		from, inOld := before[ref]
		to, inNew := after[ref]
		kind := Changed
		if !inOld {
			kind = Added
		} else if !inNew {
			kind = Removed
		}
		if f := fieldChanges(from, to); len(f) > 0 {
			changes = append(changes, Change{ref, kind, f})
		}
	}
	return changes
}

func fieldChanges(from, to fields) []FieldChange {
	var changes []FieldChange
	for _, name := range fieldNames(from, to) {
		if !bytes.Equal(from[name], to[name]) {
			changes = append(changes, FieldChange{name, string(from[name]), string(to[name])})
		}
	}
	return changes
}

// fieldNames returns the names of the fields that any of the objects has, sorted.
func fieldNames(all ...fields) []string {
	names := make(map[string]bool)
	for _, f := range all {
		for name := range f {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// refs returns references to the objects of all the models, in order of kind and name.
func refs(all ...objects) []model.Ref {
	set := make(map[model.Ref]bool)
	for _, m := range all {
		for ref := range m {
			set[ref] = true
		}
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b model.Ref) int {
		return cmp.Or(cmp.Compare(slices.Index(model.Kinds, a.Kind), slices.Index(model.Kinds, b.Kind)), cmp.Compare(a.Name, b.Name))
	})
}
