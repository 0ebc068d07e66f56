package router

import (
	"time"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/core/selector"
)

// view is the configuration in force at this router. It is immutable; the request
// path reads it through one atomic pointer.
type view struct {
	compiled *selector.Compiled
	since    time.Time
}

// model returns the operators' model.
func (v *view) model() *model.Model { return v.compiled.Model() }

// revision returns the revision in force, zero where there is none.
func (v *view) revision() uint64 {
	if v == nil {
		return 0
	}
	return v.model().Revision
}

// tables returns the compiled model, or nil.
func (v *view) tables() *selector.Compiled {
	if v == nil {
		return nil
	}
	return v.compiled
}

// newView compiles a model, of which it shares with old what is the same, and checks that
// its targets can be connected to.
func newView(m *model.Model, old *view, now time.Time) (*view, error) {
	compiled, problems := selector.Recompile(old.tables(), m)
	if len(problems) > 0 {
		return nil, config.ErrorsFromProblems(problems)
	}
	if err := checkTargets(m); err != nil {
		return nil, err
	}
	return &view{compiled: compiled, since: now}, nil
}
