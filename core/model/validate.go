package model

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

// Validate checks a model except for the interaction of its selectors: it checks counts,
// names, values, references and duplicates. It returns all problems in a fixed order.
// The model must be sorted.
func Validate(m *Model) []Problem { return validate(m, m) }

// ValidateDifference checks the model as a whole, but of its objects only those in
// d.After. If it returns no problems, Validate returns none either, provided that all
// other objects were valid in an earlier model and that m has all services of that model.
func ValidateDifference(m *Model, d *Difference) []Problem { return validate(m, &d.After) }

// validate checks the model as a whole and those of its objects that are in checked.
func validate(m, checked *Model) []Problem {
	v := &validator{model: m, services: make(map[string]*Service, len(m.Services))}
	for i := range m.Services {
		v.services[m.Services[i].Name] = &m.Services[i]
	}
	v.counts()
	v.duplicates()
	checkEach(checked.Services, v.service)
	v.routes()
	checkEach(checked.Targets, v.target)
	checkEach(checked.Ranges, v.keyRange)
	checkEach(checked.Callers, v.caller)
	checkEach(checked.Selectors, v.selector)
	return v.problems
}

func checkEach[T any](list []T, check func(*T)) {
	for i := range list {
		check(&list[i])
	}
}

// validator collects the problems of one model; object is the object being checked.
type validator struct {
	model    *Model
	services map[string]*Service
	object   Ref
	problems []Problem
}

func (v *validator) addProblem(field, fix, format string, args ...any) {
	v.problems = append(v.problems, Problem{Object: v.object, Field: field, Text: fmt.Sprintf(format, args...), Fix: fix})
}

func (v *validator) counts() {
	checkCount := func(kind ObjectKind, count, limit int) {
		if count > limit {
			v.object = Ref{Kind: kind}
			v.addProblem("", fmt.Sprintf("keep at most %d", limit), "there are %d", count)
		}
	}
	checkCount(KindService, len(v.model.Services), MaxServices)
	checkCount(KindTarget, len(v.model.Targets), MaxTargets)
	checkCount(KindRange, len(v.model.Ranges), MaxRanges)
	checkCount(KindCaller, len(v.model.Callers), MaxCallers)
	checkCount(KindSelector, len(v.model.Selectors), MaxSelectors)
}

func (v *validator) duplicates() {
	check := func(kind ObjectKind, count int, name func(int) string) {
		for i := 1; i < count; i++ {
			if name(i) == name(i-1) {
				v.object = Ref{kind, name(i)}
				v.addProblem("name", "give each "+string(kind)+" a name of its own", "the name is used twice")
			}
		}
	}
	m := v.model
	check(KindService, len(m.Services), func(i int) string { return m.Services[i].Name })
	check(KindTarget, len(m.Targets), func(i int) string { return m.Targets[i].Name })
	check(KindRange, len(m.Ranges), func(i int) string { return m.Ranges[i].Name })
	check(KindCaller, len(m.Callers), func(i int) string { return m.Callers[i].Name })
	check(KindSelector, len(m.Selectors), func(i int) string { return m.Selectors[i].Name })
}

func (v *validator) target(t *Target) {
	v.object = Ref{KindTarget, t.Name}
	v.name(t.Name)
	v.reference("service", t.Service)
	if !validName(t.DataCentre, MaxNameLength, nameChar) {
		v.addProblem("data_centre", "use lower-case letters, digits and hyphens", "%q is not a name of a data centre", t.DataCentre)
	}
	v.address(t.Address)
	v.labels(t.Labels)
	v.integer("slots", t.Slots, 0, MaxTargetSlots)
	v.integer("connections", t.Connections, 1, MaxConnections)
}

func (v *validator) address(address string) {
	const fix = "write host:port, for instance 127.0.0.1:8080"
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(host) > MaxHostLength {
		v.addProblem("address", fix, "%q is not an address", address)
		return
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		v.addProblem("address", fix, "%q is not a port", port)
	}
}

func (v *validator) keyRange(r *KeyRange) {
	v.object = Ref{KindRange, r.Name}
	v.name(r.Name)
	v.reference("service", r.Service)
	v.text("from", r.From, MaxKeyLength)
	v.text("to", r.To, MaxKeyLength)
	if r.To != "" && r.From > r.To {
		v.addProblem("to", "swap from and to, or leave to out for no upper end", "to (%q) lies below from (%q)", r.To, r.From)
	}
	v.labels(r.Labels)
}

func (v *validator) caller(c *Caller) {
	v.object = Ref{KindCaller, c.Name}
	if !validName(c.Name, MaxCallerLength, valueChar) {
		v.addProblem("name", fmt.Sprintf("use letters, digits and ._-:/@+, at most %d bytes", MaxCallerLength), "%q is not a caller's name", c.Name)
	}
	v.labels(c.Labels)
	if !(c.Weight > 0 && c.Weight <= MaxWeight) {
		v.addProblem("weight", fmt.Sprintf("use a number above 0 and up to %g", MaxWeight), "%g is not allowed", c.Weight)
	}
}

func (v *validator) selector(s *Selector) {
	v.object = Ref{KindSelector, s.Name}
	v.name(s.Name)
	v.reference("service", s.Service)
	v.integer("priority", s.Priority, -MaxPriority, MaxPriority)
	v.expr("callers", s.Callers)
	v.expr("keys", s.Keys)
	v.expr("targets", s.Targets)
	if s.ToService != "" {
		v.reference("to_service", s.ToService)
	}
	actions := 0
	for _, set := range []bool{len(s.Targets) > 0, s.ToService != "", s.Refuse} {
		if set {
			actions++
		}
	}
	if actions != 1 {
		v.addProblem("", "set exactly one of targets, to_service and refuse", "%d of targets, to_service and refuse are set", actions)
	}
}

func (v *validator) expr(field string, e Expr) {
	if len(e) > MaxRequirements {
		v.addProblem(field, fmt.Sprintf("keep at most %d", MaxRequirements), "there are %d requirements", len(e))
	}
	for _, r := range e {
		if !validName(r.Label, MaxLabelLength, labelChar) {
			v.addProblem(field, labelFix, "%q is not a label", r.Label)
		}
		if r.Op > NotExists {
			v.addProblem(field, "use "+strings.Join(opNames, ", "), "the operator %d does not exist", r.Op)
			continue
		}
		lower, upper := r.Op.ValueLimits()
		if len(r.Values) < lower || len(r.Values) > upper {
			v.addProblem(field, fmt.Sprintf("give %s from %d to %d values", r.Op, lower, upper), "label %q has %d values", r.Label, len(r.Values))
		}
		for _, value := range r.Values {
			v.labelValue(field, value)
		}
	}
}

func (v *validator) reference(field, name string) {
	if name == "" {
		v.addProblem(field, "name a service", "no service is named")
		return
	}
	if v.services[name] != nil {
		return
	}
	v.addProblem(field, v.suggestService(name), "there is no service %q", name)
}

func (v *validator) suggestService(name string) string {
	names := make([]string, 0, len(v.model.Services))
	for i := range v.model.Services {
		names = append(names, v.model.Services[i].Name)
	}
	if nearest := Nearest(name, names); nearest != "" {
		return fmt.Sprintf("did you mean %q?", nearest)
	}
	return "create the service, or name an existing one"
}

func (v *validator) extract(field string, e Extract) {
	if e.From > FromQuery {
		v.addProblem(field+".from", "use header, path or query", "the source %d does not exist", e.From)
		return
	}
	needsName := e.From == FromHeader || e.From == FromQuery
	if needsName && !validName(e.Name, MaxFieldLength, fieldChar) {
		v.addProblem(field+".name", fmt.Sprintf("name the %s to read", e.From), "%q is not a name", e.Name)
	}
	if !needsName && e.Name != "" {
		v.addProblem(field+".name", "leave it out, or set from to header or query", "a name has no effect where from is %s", e.From)
	}
	if e.From != FromPath && e.Segment != 0 {
		v.addProblem(field+".segment", "leave it out, or set from to path", "a segment has no effect where from is %s", e.From)
	}
	if e.From == FromPath {
		v.integer(field+".segment", e.Segment, 0, MaxSegment)
	}
	v.text(field+".default", e.Default, MaxFieldLength)
}

func (v *validator) duration(field string, d, lower, upper time.Duration) {
	if d < lower || d > upper {
		v.addProblem(field, fmt.Sprintf("use %v to %v", lower, upper), "%v is not allowed", d)
	}
}

func (v *validator) integer(field string, n, lower, upper int) {
	if n < lower || n > upper {
		v.addProblem(field, fmt.Sprintf("use %d to %d", lower, upper), "%d is not allowed", n)
	}
}

func (v *validator) number(field string, n, lower, upper float64) {
	if math.IsNaN(n) || n < lower || n > upper {
		v.addProblem(field, fmt.Sprintf("use %g to %g", lower, upper), "%g is not allowed", n)
	}
}
