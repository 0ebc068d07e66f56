// Package selector decides which targets serve which callers and keys. It matches label
// expressions, reports contradictory selectors, and compiles a model into lookup tables that
// request routing and the assignment of keys to targets read. It does no I/O.
package selector

import (
	"slices"
	"strings"

	"tarragongw/core/model"
)

// Subject is an object that an expression is matched against. It has its configured labels
// and the implicit labels for its name and data centre.
type Subject struct {
	// Name is the object's name. If it is empty, the implicit label is absent.
	Name string
	// DataCentre is the data centre of a target; empty for other objects.
	DataCentre string
	Labels     model.Labels
}

// label returns the value of a label and whether the subject has it.
func (s *Subject) label(label string) (string, bool) {
	switch label {
	case model.LabelName:
		return s.Name, s.Name != ""
	case model.LabelDataCentre:
		return s.DataCentre, s.DataCentre != ""
	}
	value, ok := s.Labels[label]
	return value, ok
}

// Match reports whether the subject meets all requirements of e. As in Kubernetes, != and
// notin are also met if the label is absent.
func Match(e model.Expr, s *Subject) bool {
	for i := range e {
		if !matchesRequirement(&e[i], s) {
			return false
		}
	}
	return true
}

func matchesRequirement(r *model.Requirement, s *Subject) bool {
	value, present := s.label(r.Label)
	switch r.Op {
	case model.Exists:
		return present
	case model.NotExists:
		return !present
	case model.Equals, model.In:
		return present && slices.Contains(r.Values, value)
	default:
		return !present || !slices.Contains(r.Values, value)
	}
}

// String returns the text form of e, which Parse accepts.
func String(e model.Expr) string {
	parts := make([]string, 0, len(e))
	for _, r := range e {
		parts = append(parts, requirementString(r))
	}
	return strings.Join(parts, ", ")
}

func requirementString(r model.Requirement) string {
	switch r.Op {
	case model.Exists, model.NotExists:
		return r.Op.String() + "(" + r.Label + ")"
	case model.In, model.NotIn:
		return r.Label + " " + r.Op.String() + " (" + strings.Join(r.Values, ", ") + ")"
	default:
		return r.Label + " " + r.Op.String() + " " + strings.Join(r.Values, ", ")
	}
}
