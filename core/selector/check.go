package selector

import (
	"cmp"
	"fmt"
	"slices"

	"tarragongw/core/model"
)

// rangeProblems reports ranges of the same service that overlap. It compares each range
// with the one that ends last among those that start before it.
func (x *index) rangeProblems() []model.Problem {
	var problems []model.Problem
	ranges := make([]*model.KeyRange, 0, len(x.model.Ranges))
	for i := range x.model.Ranges {
		if r := &x.model.Ranges[i]; x.includes(r.Service) {
			ranges = append(ranges, r)
		}
	}
	slices.SortStableFunc(ranges, func(a, b *model.KeyRange) int {
		if order := cmp.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return cmp.Compare(a.From, b.From)
	})
	var endsLast *model.KeyRange
	for _, r := range ranges {
		if endsLast == nil || endsLast.Service != r.Service {
			endsLast = r
			continue
		}
		if endsLast.Overlaps(r) {
			problems = append(problems, overlapProblem(endsLast, r))
		}
		if endsLast.To != "" && (r.To == "" || r.To >= endsLast.To) {
			endsLast = r
		}
	}
	return problems
}

func overlapProblem(a, b *model.KeyRange) model.Problem {
	return model.Problem{
		Object: model.Ref{Kind: model.KindRange, Name: b.Name},
		Field:  "from",
		Others: []model.Ref{{Kind: model.KindRange, Name: a.Name}},
		Text:   fmt.Sprintf("the keys from %q on also lie in range %q", b.From, a.Name),
		Fix:    "make the ranges of a service disjoint",
	}
}

// selectorProblems reports selectors that can't be applied: contradictory conditions,
// placement by caller on a service divided by key, ambiguous priorities, and cycles.
func (x *index) selectorProblems() []model.Problem {
	var problems []model.Problem
	for i := range x.model.Selectors {
		if s := &x.model.Selectors[i]; x.includes(s.Service) {
			problems = append(problems, x.checkSelector(s)...)
		}
	}
	for i := range x.model.Services {
		if name := x.model.Services[i].Name; x.includes(name) {
			problems = append(problems, x.ambiguities(name)...)
		}
	}
	return append(problems, cycleProblems(x.model)...)
}

// checkSelector reports the problems that a selector has irrespective of other selectors.
func (x *index) checkSelector(s *model.Selector) []model.Problem {
	var problems []model.Problem
	add := func(field, text, mend string) {
		problems = append(problems, model.Problem{Object: model.Ref{Kind: model.KindSelector, Name: s.Name}, Field: field, Text: text, Fix: mend})
	}
	const contradiction = "no labels can meet all requirements"
	if !Satisfiable(s.Callers) {
		add("callers", contradiction, "remove one of the requirements that exclude each other")
	}
	if !Satisfiable(s.Keys) {
		add("keys", contradiction, "remove one of the requirements that exclude each other")
	}
	service := x.model.Service(s.Service)
	if service == nil || len(s.Targets) == 0 {
		return problems
	}
	// If two callers of one key were sent to different targets, the key would have two
	// owners at once. Placement must therefore not depend on the caller.
	if service.Division == model.ByKey && len(s.Callers) > 0 {
		add("callers", fmt.Sprintf("service %q is divided by key, so placement must not depend on the caller", service.Name),
			"hand these callers to another service with to_service, or drop the condition")
	}
	if len(x.targetsOf(s.Service, s.Targets)) == 0 {
		add("targets", fmt.Sprintf("no target of service %q matches", service.Name), "label a target so that it matches, or change the condition")
	}
	return problems
}

// ambiguities reports selectors of a service that have the same priority and can match
// the same request.
func (x *index) ambiguities(service string) []model.Problem {
	var problems []model.Problem
	selectors := x.selectorsOf(service)
	subjects := x.keySubjects(service)
	keys := make([]keySet, 0, len(selectors))
	for _, s := range selectors {
		keys = append(keys, matchingSubjects(s.Keys, subjects))
	}
	for i, a := range selectors {
		for j := i + 1; j < len(selectors) && selectors[j].Priority == a.Priority; j++ {
			b := selectors[j]
			if a.Name == b.Name || !keys[i].intersects(keys[j]) || !Satisfiable(a.Callers, b.Callers) {
				continue
			}
			problems = append(problems, model.Problem{
				Object: model.Ref{Kind: model.KindSelector, Name: b.Name},
				Field:  "priority",
				Others: []model.Ref{{Kind: model.KindSelector, Name: a.Name}},
				Text:   fmt.Sprintf("selector %q has the same priority %d and matches some of the same requests", a.Name, a.Priority),
				Fix:    "give them different priorities, or conditions that exclude each other",
			})
		}
	}
	return problems
}

// cycleProblems reports services that forward requests to each other in a cycle. It ignores
// the selectors' conditions: a cycle that no request can follow today because of them could
// become possible with the next change of a label, so no cycle is allowed.
func cycleProblems(m *model.Model) []model.Problem {
	edges := make(map[string][]*model.Selector)
	for i := range m.Selectors {
		if s := &m.Selectors[i]; s.ToService != "" {
			edges[s.Service] = append(edges[s.Service], s)
		}
	}
	search := &cycleSearch{edges: edges, state: make(map[string]visitState)}
	for i := range m.Services {
		search.visit(m.Services[i].Name)
	}
	return search.problems
}

// visitState is the state of a service in a cycleSearch.
type visitState uint8

const (
	notVisited visitState = iota
	onPath
	visited
)

// cycleSearch is a depth-first search for cycles among services.
type cycleSearch struct {
	// edges are the selectors with ToService, by the service that they belong to.
	edges map[string][]*model.Selector
	state map[string]visitState
	// path are the selectors from the service where the search started to the current one.
	path     []*model.Selector
	problems []model.Problem
}

func (c *cycleSearch) visit(service string) {
	if c.state[service] != notVisited {
		return
	}
	c.state[service] = onPath
	for _, s := range c.edges[service] {
		c.path = append(c.path, s)
		if c.state[s.ToService] == onPath {
			c.report(s)
		}
		c.visit(s.ToService)
		c.path = c.path[:len(c.path)-1]
	}
	c.state[service] = visited
}

// report adds a problem for the cycle that last, the last selector of the path, completes.
func (c *cycleSearch) report(last *model.Selector) {
	start := slices.IndexFunc(c.path, func(s *model.Selector) bool { return s.Service == last.ToService })
	var others []model.Ref
	text := fmt.Sprintf("requests go round in a circle: %s", last.ToService)
	for _, s := range c.path[start:] {
		text += " -> " + s.ToService
		if s != last {
			others = append(others, model.Ref{Kind: model.KindSelector, Name: s.Name})
		}
	}
	c.problems = append(c.problems, model.Problem{
		Object: model.Ref{Kind: model.KindSelector, Name: last.Name},
		Field:  "to_service",
		Others: others,
		Text:   text,
		Fix:    "remove one of the selectors with to_service",
	})
}
