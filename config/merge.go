package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"tarragongw/core/model"
)

// Conflict is one field that two sides changed to different values, or an object that one
// side removed and the other changed. Base, Theirs and Mine are the values as JSON, empty if
// the field is not set.
type Conflict struct {
	Object model.Ref
	// Field is empty if a side removed the object.
	Field  string
	Base   string
	Theirs string
	Mine   string
}

// removedObject is the value in a conflict of an object that does not exist.
const removedObject = "removed"

// String describes the conflict with the values of both sides and the base.
func (c Conflict) String() string {
	subject := c.Object.String()
	if c.Field != "" {
		subject += ", " + c.Field
	}
	return fmt.Sprintf("%s: theirs: %s; mine: %s; before: %s", subject, displayValue(c.Theirs), displayValue(c.Mine), displayValue(c.Base))
}

func displayValue(value string) string {
	if value == "" {
		return "not set"
	}
	return value
}

// Merge merges two changed copies of one base. Changes to different objects, and to different
// fields of one object, are all kept. If the two sides contradict each other, Merge returns
// the conflicts and no model. The merged model has the revision of theirs. Two valid changes
// can be invalid together, so the result must pass selector.Compile before it is written.
func Merge(base, theirs, mine *model.Model) (*model.Model, []Conflict) {
	b, t, m := splitModel(base), splitModel(theirs), splitModel(mine)
	merged := make(objects)
	var conflicts []Conflict
	for _, ref := range refs(b, t, m) {
		f, c := mergeObject(ref, b[ref], t[ref], m[ref])
		conflicts = append(conflicts, c...)
		if f != nil {
			merged[ref] = f
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	result := merged.build()
	result.Revision = theirs.Revision
	return result, nil
}

// mergeObject merges one object. nil fields mean that the object does not exist.
func mergeObject(ref model.Ref, base, theirs, mine fields) (fields, []Conflict) {
	if equalFields(theirs, mine) || equalFields(base, mine) {
		return theirs, nil
	}
	if equalFields(base, theirs) {
		return mine, nil
	}
	if theirs == nil || mine == nil {
		return nil, []Conflict{{Object: ref, Base: objectText(base), Theirs: objectText(theirs), Mine: objectText(mine)}}
	}
	merged := make(fields)
	var conflicts []Conflict
	for _, name := range fieldNames(base, theirs, mine) {
		value := theirs[name]
		switch {
		case bytes.Equal(theirs[name], mine[name]) || bytes.Equal(base[name], mine[name]):
		case bytes.Equal(base[name], theirs[name]):
			value = mine[name]
		default:
			conflicts = append(conflicts, Conflict{ref, name, string(base[name]), string(theirs[name]), string(mine[name])})
		}
		if value != nil {
			merged[name] = value
		}
	}
	return merged, conflicts
}

// equalFields reports whether two objects are equal. An object that exists has at least a
// name, so it never equals one that does not exist, which has no fields.
func equalFields(a, b fields) bool {
	return maps.EqualFunc(a, b, func(x, y json.RawMessage) bool { return bytes.Equal(x, y) })
}

func objectText(f fields) string {
	if f == nil {
		return removedObject
	}
	text := ""
	for _, name := range fieldNames(f) {
		if text != "" {
			text += ", "
		}
		text += name + " = " + string(f[name])
	}
	return text
}
