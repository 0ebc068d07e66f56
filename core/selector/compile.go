package selector

import (
	"cmp"
	"slices"

	"tarragongw/core/model"
)

// Compiled is a model with its selectors resolved. It is immutable and safe
// for concurrent use.
type Compiled struct {
	model    *model.Model
	services map[string]*service
	callers  map[string]*model.Caller
	targets  map[string]*model.Target
}

// service holds the lookup tables of one service.
type service struct {
	model *model.Service
	// mask gives a key's slot when applied to its hash.
	mask uint64
	// ranges are disjoint and in order of From.
	ranges       []compiledRange
	classByRange map[string]*keyClass
	// noRange is the class of keys in no range and of requests without a key.
	noRange *keyClass
}

// compiledRange is a key range and its class.
type compiledRange struct {
	model *model.KeyRange
	class *keyClass
}

// keyClass holds the rules for a set of keys that the same selectors match: the keys of one
// or more ranges, or those in no range.
type keyClass struct {
	// rules are the selectors whose condition on keys is met, highest priority first.
	rules []rule
	// eligible are the targets that may own the keys, irrespective of the caller.
	eligible []string
}

// rule is a selector whose condition on keys is already resolved; only its condition on the
// caller is evaluated per request.
type rule struct {
	selector *model.Selector
	// targets are the names of the targets that a placement allows.
	targets []string
	// toService is the name of the service that requests are forwarded to, or empty. It is
	// not a pointer to that service's tables, because the pointer would keep the tables of a
	// replaced model in memory.
	toService string
}

// Compile resolves the selectors of a model. It returns nil and the problems if there are
// any, so that no part of an invalid model takes effect. The model must be sorted and must
// not be changed afterwards.
func Compile(m *model.Model) (*Compiled, []model.Problem) {
	problems := model.Validate(m)
	x := newIndex(m, nil)
	problems = append(problems, x.rangeProblems()...)
	problems = append(problems, x.selectorProblems()...)
	if len(problems) > 0 {
		return nil, problems
	}
	c := &Compiled{
		model:    m,
		services: make(map[string]*service, len(m.Services)),
		callers:  callersOf(m),
		targets:  targetsByName(m),
	}
	for i := range m.Services {
		c.services[m.Services[i].Name] = newService(x, &m.Services[i])
	}
	return c, nil
}

func callersOf(m *model.Model) map[string]*model.Caller {
	callers := make(map[string]*model.Caller, len(m.Callers))
	for i := range m.Callers {
		callers[m.Callers[i].Name] = &m.Callers[i]
	}
	return callers
}

func targetsByName(m *model.Model) map[string]*model.Target {
	targets := make(map[string]*model.Target, len(m.Targets))
	for i := range m.Targets {
		targets[m.Targets[i].Name] = &m.Targets[i]
	}
	return targets
}

// newService builds the tables of a service. The tables hold copies of the model's objects:
// Recompile shares the tables of an unchanged service between models, and pointers into the
// model that they were built from would keep all of that model's lists in memory.
func newService(x *index, definition *model.Service) *service {
	def := *definition
	s := &service{model: &def, mask: uint64(max(def.HashSlots, 1) - 1)}
	b := &builder{
		allTargets: x.targetsOf(def.Name, nil),
		subjects:   x.keySubjects(def.Name),
		classes:    make(map[string]*keyClass),
	}
	for _, sel := range x.selectorsOf(def.Name) {
		sel = shallowCopy(sel)
		r := rule{selector: sel, toService: sel.ToService}
		if len(sel.Targets) > 0 {
			r.targets = x.targetsOf(def.Name, sel.Targets)
		}
		b.rules = append(b.rules, r)
		b.keys = append(b.keys, matchingSubjects(sel.Keys, b.subjects))
	}
	s.classByRange = make(map[string]*keyClass)
	s.noRange = b.class(0)
	for i, r := range x.ranges[def.Name] {
		cl := b.class(i + 1)
		s.ranges = append(s.ranges, compiledRange{shallowCopy(r), cl})
		s.classByRange[r.Name] = cl
	}
	slices.SortFunc(s.ranges, func(a, b compiledRange) int { return cmp.Compare(a.model.From, b.model.From) })
	return s
}

func shallowCopy[T any](object *T) *T {
	duplicate := *object
	return &duplicate
}

// builder builds the key classes of one service. Ranges that the same selectors match share
// a class. With a class for each range, thousands of ranges times hundreds of selectors would
// take more memory than all other control state.
type builder struct {
	rules []rule
	// keys has for each rule the subjects that its condition on keys matches.
	keys       []keySet
	subjects   []Subject
	allTargets []string
	// classes are keyed by a string with one byte for each rule: 1 if the rule matches.
	classes map[string]*keyClass
}

// class returns the class of the key subject with the given index.
func (b *builder) class(subject int) *keyClass {
	id := make([]byte, len(b.rules))
	for i := range b.rules {
		if b.keys[i].has(subject) {
			id[i] = 1
		}
	}
	if known := b.classes[string(id)]; known != nil {
		return known
	}
	cl := &keyClass{eligible: b.allTargets}
	for i, r := range b.rules {
		if id[i] == 1 {
			cl.rules = append(cl.rules, r)
		}
	}
	// On a service divided by key no placement has a condition on the caller, so the first
	// placement applies to the requests of all callers.
	first := slices.IndexFunc(cl.rules, func(r rule) bool { return r.targets != nil && len(r.selector.Callers) == 0 })
	if first >= 0 {
		cl.eligible = cl.rules[first].targets
	}
	b.classes[string(id)] = cl
	return cl
}
