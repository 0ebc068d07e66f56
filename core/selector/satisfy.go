package selector

import (
	"slices"

	"tarragongw/core/model"
)

// Satisfiable reports whether some set of labels meets all the expressions. The result is
// exact for labels that may have any value: requirements on different labels are independent,
// so each label is checked separately.
func Satisfiable(exprs ...model.Expr) bool {
	constraints := make(map[string]*constraint)
	for _, e := range exprs {
		for i := range e {
			r := &e[i]
			c := constraints[r.Label]
			if c == nil {
				c = &constraint{}
				constraints[r.Label] = c
			}
			c.add(r)
		}
	}
	for _, c := range constraints {
		if !c.satisfiable() {
			return false
		}
	}
	return true
}

// constraint combines the requirements on one label.
type constraint struct {
	mustExist    bool
	mustBeAbsent bool
	// restricted means that only the values in allowed are possible.
	restricted bool
	allowed    []string
	excluded   []string
}

func (c *constraint) add(r *model.Requirement) {
	switch r.Op {
	case model.Exists:
		c.mustExist = true
	case model.NotExists:
		c.mustBeAbsent = true
	case model.Equals, model.In:
		c.mustExist = true
		c.restrict(r.Values)
	default:
		c.excluded = append(c.excluded, r.Values...)
	}
}

func (c *constraint) restrict(values []string) {
	if !c.restricted {
		c.restricted = true
		c.allowed = slices.Clone(values)
		return
	}
	c.allowed = slices.DeleteFunc(c.allowed, func(v string) bool { return !slices.Contains(values, v) })
}

// satisfiable reports whether the label can be absent or have some value. There is always a
// value that no requirement names, so an unrestricted label always has a possible value.
func (c *constraint) satisfiable() bool {
	if !c.mustExist {
		return true
	}
	if c.mustBeAbsent {
		return false
	}
	if !c.restricted {
		return true
	}
	return slices.ContainsFunc(c.allowed, func(v string) bool { return !slices.Contains(c.excluded, v) })
}
