package model

import "strings"

// ObjectKind is a kind of object of the model. Its value is the name of the TOML table
// in configuration files.
type ObjectKind string

// The kinds of objects.
const (
	KindService  ObjectKind = "service"
	KindTarget   ObjectKind = "target"
	KindRange    ObjectKind = "range"
	KindCaller   ObjectKind = "caller"
	KindSelector ObjectKind = "selector"
)

// Kinds lists the kinds of objects in the order in which they are displayed.
var Kinds = []ObjectKind{KindService, KindTarget, KindRange, KindCaller, KindSelector}

// Ref identifies one object of the model.
type Ref struct {
	Kind ObjectKind
	Name string
}

// String returns the kind and the quoted name, or the kind alone if there is no name.
func (r Ref) String() string {
	if r.Name == "" {
		return string(r.Kind)
	}
	return string(r.Kind) + " " + quote(r.Name)
}

// Problem is one reason why a model is refused.
type Problem struct {
	// Object is the object at fault and Field its field, empty if the problem does not
	// concern a single field.
	Object Ref
	Field  string
	// Others are the other objects at fault, for instance the second of two that overlap.
	Others []Ref
	// Text describes the problem and Fix how to solve it.
	Text string
	Fix  string
}

// Error returns the object, the field, the description of the problem and how to fix it.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Object.Kind != "" {
		b.WriteString(p.Object.String())
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field)
		b.WriteString(": ")
	}
	b.WriteString(p.Text)
	if p.Fix != "" {
		b.WriteString("; ")
		b.WriteString(p.Fix)
	}
	return b.String()
}

// quote puts a name in double quotes. It does not escape anything, because names are
// validated.
func quote(name string) string { return `"` + name + `"` }
