package selector

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
)

func mustParse(text string) model.Expr {
	e, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return e
}

func testService(name string, division model.Division) model.Service {
	s := model.Service{
		Name: name, Division: division, PathPrefix: "/" + name,
		Timeout: model.MinTimeout, ProgressTimeout: model.MinTimeout, QueueLength: 1,
		Isolation: model.Isolation{Keep: true},
	}
	if division == model.ByKey {
		s.HashSlots = model.MinHashSlots
		s.Key = model.Extract{From: model.FromPath}
	}
	return s
}

func testTarget(name, service, pool string) model.Target {
	return model.Target{Name: name, Service: service, DataCentre: "dc1", Address: "127.0.0.1:1", Connections: 1, Labels: model.Labels{"pool": pool}}
}

// testModel returns a sorted model with the service "pages", which is divided by key, and two
// services that are not; change, which may be nil, edits the model first.
func testModel(change func(*model.Model)) *model.Model {
	m := &model.Model{
		Services: []model.Service{testService("files", model.Any), testService("misc", model.Any), testService("pages", model.ByKey)},
		Targets: []model.Target{
			testTarget("f1", "files", "new"), testTarget("f2", "files", "old"),
			testTarget("p1", "pages", "big"), testTarget("p2", "pages", "small"), testTarget("p3", "pages", "small"),
		},
		Ranges: []model.KeyRange{
			{Name: "hot", Service: "pages", From: "h", To: "i", Labels: model.Labels{"heat": "hot"}},
			{Name: "one", Service: "pages", From: "k", To: "k"},
		},
		Callers: []model.Caller{{Name: "night", Labels: model.Labels{"role": "export"}, Weight: 2}},
	}
	if change != nil {
		change(m)
	}
	m.Sort()
	return m
}

func compileErrors(m *model.Model) []string {
	_, problems := Compile(m)
	texts := []string{}
	for _, p := range problems {
		text := p.Error()
		for _, o := range p.Others {
			text += " [" + o.String() + "]"
		}
		texts = append(texts, text)
	}
	return texts
}

func TestCompileRefuses(t *testing.T) {
	selectors := func(s ...model.Selector) func(*model.Model) {
		return func(m *model.Model) { m.Selectors = s }
	}
	ranges := func(r ...model.KeyRange) func(*model.Model) {
		return func(m *model.Model) { m.Ranges = r }
	}
	tests := []struct {
		name   string
		change func(*model.Model)
		want   []string
	}{
		{"valid model", nil, []string{}},
		{"placement by caller on a divided service",
			selectors(model.Selector{Name: "s", Service: "pages", Callers: mustParse("role = export"), Targets: mustParse("pool = big")}),
			[]string{`selector "s": callers: service "pages" is divided by key, so placement must not depend on the caller; hand these callers to another service with to_service, or drop the condition`}},
		{"placement by caller on an undivided service",
			selectors(model.Selector{Name: "s", Service: "files", Callers: mustParse("role = export"), Targets: mustParse("pool = new")}),
			[]string{}},
		{"no target",
			selectors(model.Selector{Name: "s", Service: "pages", Targets: mustParse("pool = new")}),
			[]string{`selector "s": targets: no target of service "pages" matches; label a target so that it matches, or change the condition`}},
		{"contradiction",
			selectors(model.Selector{Name: "s", Service: "files", Callers: mustParse("a = x, a = y"), Keys: mustParse("exists(b), !exists(b)"), Refuse: true}),
			[]string{
				`selector "s": callers: no labels can meet all requirements; remove one of the requirements that exclude each other`,
				`selector "s": keys: no labels can meet all requirements; remove one of the requirements that exclude each other`,
			}},
		{"ambiguity in keys",
			selectors(
				model.Selector{Name: "s1", Service: "pages", Keys: mustParse("heat = hot"), Targets: mustParse("pool = big")},
				model.Selector{Name: "s2", Service: "pages", Keys: mustParse("name = hot"), Targets: mustParse("pool = small")}),
			[]string{`selector "s2": priority: selector "s1" has the same priority 0 and matches some of the same requests; give them different priorities, or conditions that exclude each other [selector "s1"]`}},
		{"same priority, other keys",
			selectors(
				model.Selector{Name: "s1", Service: "pages", Keys: mustParse("heat = hot"), Targets: mustParse("pool = big")},
				model.Selector{Name: "s2", Service: "pages", Keys: mustParse("heat != hot"), Targets: mustParse("pool = small")}),
			[]string{}},
		{"same priority, other callers",
			selectors(
				model.Selector{Name: "s1", Service: "pages", Callers: mustParse("role in (a, b)"), Refuse: true},
				model.Selector{Name: "s2", Service: "pages", Callers: mustParse("role notin (a, b)"), ToService: "files"}),
			[]string{}},
		{"cycle of three services",
			selectors(
				model.Selector{Name: "a", Service: "files", ToService: "misc"},
				model.Selector{Name: "b", Service: "misc", ToService: "pages"},
				model.Selector{Name: "c", Service: "pages", Callers: mustParse("x = y"), ToService: "files"}),
			[]string{`selector "c": to_service: requests go round in a circle: files -> misc -> pages -> files; remove one of the selectors with to_service [selector "a"] [selector "b"]`}},
		{"cycle of one service",
			selectors(model.Selector{Name: "a", Service: "files", ToService: "files"}),
			[]string{`selector "a": to_service: requests go round in a circle: files -> files; remove one of the selectors with to_service`}},
		{"unknown service",
			selectors(model.Selector{Name: "a", Service: "page", ToService: "xylophone"}),
			[]string{
				`selector "a": service: there is no service "page"; did you mean "pages"?`,
				`selector "a": to_service: there is no service "xylophone"; create the service, or name an existing one`,
			}},
		{"no and two actions",
			selectors(
				model.Selector{Name: "a", Service: "files"},
				model.Selector{Name: "b", Service: "files", Priority: 1, Refuse: true, ToService: "misc"}),
			[]string{
				`selector "a": 0 of targets, to_service and refuse are set; set exactly one of targets, to_service and refuse`,
				`selector "b": 2 of targets, to_service and refuse are set; set exactly one of targets, to_service and refuse`,
			}},
		{"overlapping ranges",
			ranges(
				model.KeyRange{Name: "a", Service: "pages", From: "a", To: "m"},
				model.KeyRange{Name: "b", Service: "pages", From: "c", To: "d"},
				model.KeyRange{Name: "c", Service: "pages", From: "k", To: ""},
				model.KeyRange{Name: "d", Service: "pages", From: "z", To: "z"}),
			[]string{
				`range "b": from: the keys from "c" on also lie in range "a"; make the ranges of a service disjoint [range "a"]`,
				`range "c": from: the keys from "k" on also lie in range "a"; make the ranges of a service disjoint [range "a"]`,
				`range "d": from: the keys from "z" on also lie in range "c"; make the ranges of a service disjoint [range "c"]`,
			}},
		{"a key at the open end of a range",
			ranges(
				model.KeyRange{Name: "a", Service: "pages", From: "a", To: "m"},
				model.KeyRange{Name: "b", Service: "pages", From: "m", To: "m"},
				model.KeyRange{Name: "c", Service: "files", From: "b", To: ""}),
			[]string{}},
		{"a key at the start of a range",
			ranges(
				model.KeyRange{Name: "a", Service: "pages", From: "a", To: "m"},
				model.KeyRange{Name: "b", Service: "pages", From: "m", To: "m"},
				model.KeyRange{Name: "c", Service: "pages", From: "m", To: "n"}),
			[]string{`range "c": from: the keys from "m" on also lie in range "b"; make the ranges of a service disjoint [range "b"]`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, compileErrors(testModel(tt.change)), tt.want)
		})
	}
}

// TestAmbiguityAgreesWithEnumeration generates selectors of equal priority and compares the
// reported ambiguities with a search over all callers and all keys.
func TestAmbiguityAgreesWithEnumeration(t *testing.T) {
	callers := allSubjects()
	outcomes := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := testModel(func(m *model.Model) {
			m.Ranges[0].Labels = model.Labels{"a": "x"}
			m.Ranges[1].Labels = model.Labels{"a": "y", "b": "x"}
			for i := range 2 {
				m.Selectors = append(m.Selectors, model.Selector{Name: fmt.Sprint("s", i), Service: "pages", Refuse: true, Callers: drawExpr(3).Draw(t, "callers"), Keys: drawExpr(3).Draw(t, "keys")})
			}
		})
		keys := []Subject{{}, {Name: "hot", Labels: m.Ranges[0].Labels}, {Name: "one", Labels: m.Ranges[1].Labels}}
		a, b := &m.Selectors[0], &m.Selectors[1]
		want := false
		for c := range callers {
			for k := range keys {
				want = want || Match(a.Callers, &callers[c]) && Match(b.Callers, &callers[c]) && Match(a.Keys, &keys[k]) && Match(b.Keys, &keys[k])
			}
		}
		got := slices.ContainsFunc(newIndex(m, nil).ambiguities("pages"), func(p model.Problem) bool {
			return p.Object.Name == "s1" && p.Others[0].Name == "s0"
		})
		outcomes[want]++
		if got != want {
			t.Fatalf("callers %q and %q, keys %q and %q: got %v, want %v", String(a.Callers), String(b.Callers), String(a.Keys), String(b.Keys), got, want)
		}
	})
	assert.Assert(t, outcomes[true] > 10 && outcomes[false] > 10, "both outcomes are drawn: %v", outcomes)
}
