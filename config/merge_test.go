package config

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
	"tarragongw/examples"
)

func exampleModel(t testing.TB) *model.Model {
	t.Helper()
	m, err := LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(t, err)
	return m
}

// editedCopy returns a copy of m with a change applied.
func editedCopy(t testing.TB, m *model.Model, change func(*model.Model)) *model.Model {
	t.Helper()
	data, err := Encode(m)
	assert.NilError(t, err)
	c, err := Decode(data)
	assert.NilError(t, err)
	change(c)
	c.Sort()
	return c
}

func TestDiff(t *testing.T) {
	old := exampleModel(t)
	new := editedCopy(t, old, func(m *model.Model) {
		m.Service("faq-viewer").Timeout = 3 * time.Second
		m.Service("faq-viewer").Labels = nil
		m.Callers = m.Callers[1:]
		m.Ranges = append(m.Ranges, model.KeyRange{Name: "new", Service: "faq-viewer", From: "x", To: "y"})
		m.Revision = 9
	})
	assert.DeepEqual(t, Diff(old, new), []Change{
		{model.Ref{Kind: model.KindService, Name: "faq-viewer"}, Changed, []FieldChange{
			{"labels", `{"region":"doto"}`, ""},
			{"timeout_ns", "2000000000", "3000000000"},
		}},
		{model.Ref{Kind: model.KindRange, Name: "new"}, Added, []FieldChange{
			{"from", "", `"x"`}, {"name", "", `"new"`}, {"service", "", `"faq-viewer"`}, {"to", "", `"y"`},
		}},
		{model.Ref{Kind: model.KindCaller, Name: "counter-phones"}, Removed, []FieldChange{
			{"labels", `{"role":"customer"}`, ""}, {"name", `"counter-phones"`, ""}, {"weight", "4", ""},
		}},
	})
}

func TestMergeKeepsDisjointChanges(t *testing.T) {
	base := exampleModel(t)
	theirs := editedCopy(t, base, func(m *model.Model) {
		m.Revision = 7
		m.Service("faq-viewer").Timeout = 3 * time.Second
		m.Target("faq-viewer-01").Drain = true
		m.Callers = m.Callers[1:]
	})
	mine := editedCopy(t, base, func(m *model.Model) {
		m.Service("faq-viewer").QueueLength = 10
		m.Target("faq-viewer-02").Drain = true
		m.Selectors = append(m.Selectors, model.Selector{Name: "extra", Service: "media-vault", Priority: 99, Refuse: true, Callers: model.Expr{{Label: "x", Op: model.Exists}}})
	})
	want := editedCopy(t, mine, func(m *model.Model) {
		m.Revision = 7
		m.Service("faq-viewer").Timeout = 3 * time.Second
		m.Target("faq-viewer-01").Drain = true
		m.Callers = m.Callers[1:]
	})
	have, conflicts := Merge(base, theirs, mine)
	assert.Equal(t, len(conflicts), 0, "%v", conflicts)
	assert.DeepEqual(t, have, want)
}

func TestMergeReportsConflicts(t *testing.T) {
	base := exampleModel(t)
	theirs := editedCopy(t, base, func(m *model.Model) {
		m.Service("faq-viewer").Timeout = 3 * time.Second
		m.Ranges = m.Ranges[1:]
		m.Callers = append(m.Callers, model.Caller{Name: "new", Weight: 1})
	})
	mine := editedCopy(t, base, func(m *model.Model) {
		m.Service("faq-viewer").Timeout = 4 * time.Second
		m.Ranges[0].To = "harbour-ramens"
		m.Callers = append(m.Callers, model.Caller{Name: "new", Weight: 2})
	})
	have, conflicts := Merge(base, theirs, mine)
	assert.Assert(t, have == nil)
	var texts []string
	for _, c := range conflicts {
		texts = append(texts, c.String())
	}
	assert.DeepEqual(t, texts, []string{
		`service "faq-viewer", timeout_ns: theirs: 3000000000; mine: 4000000000; before: 2000000000`,
		`range "harbour-ramen": theirs: removed; mine: from = "harbour-ramen", labels = {"heat":"hot"}, name = "harbour-ramen", service = "faq-viewer", to = "harbour-ramens"; before: from = "harbour-ramen", labels = {"heat":"hot"}, name = "harbour-ramen", service = "faq-viewer", to = "harbour-ramen"`,
		`caller "new", weight: theirs: 1; mine: 2; before: not set`,
	})
}

// drawModel draws small models with few names, so that changes often concern the same object.
var drawModel = rapid.Custom(func(t *rapid.T) *model.Model {
	m := &model.Model{}
	for i := range 3 {
		if rapid.Bool().Draw(t, "service") {
			m.Services = append(m.Services, model.Service{Name: fmt.Sprint("s", i), PathPrefix: rapid.SampledFrom([]string{"", "/a", "/b"}).Draw(t, "prefix"), QueueLength: rapid.IntRange(0, 1).Draw(t, "queue")})
		}
		if rapid.Bool().Draw(t, "caller") {
			m.Callers = append(m.Callers, model.Caller{Name: fmt.Sprint("c", i), Weight: rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "weight")})
		}
	}
	return m
})

// mergeEncoded returns the merged model as a record, empty if there are conflicts.
func mergeEncoded(base, theirs, mine *model.Model) (string, []Conflict) {
	m, conflicts := Merge(base, theirs, mine)
	if m == nil {
		return "", conflicts
	}
	return mustEncode(m), conflicts
}

func mustEncode(m *model.Model) string {
	data, err := Encode(m)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func TestMergeProperties(t *testing.T) {
	outcomes := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		base, a, b := drawModel.Draw(t, "base"), drawModel.Draw(t, "a"), drawModel.Draw(t, "b")
		if m, c := mergeEncoded(base, base, a); m != mustEncode(a) || len(c) > 0 {
			t.Fatalf("a change of mine alone is lost: %s, %v", m, c)
		}
		if m, c := mergeEncoded(base, a, base); m != mustEncode(a) || len(c) > 0 {
			t.Fatalf("a change of theirs alone is lost: %s, %v", m, c)
		}
		if m, c := mergeEncoded(base, a, a); m != mustEncode(a) || len(c) > 0 {
			t.Fatalf("equal changes of both sides do not merge to that change: %s, %v", m, c)
		}
		ab, conflicts := mergeEncoded(base, a, b)
		ba, reversed := mergeEncoded(base, b, a)
		if ab != ba || len(conflicts) != len(reversed) {
			t.Fatalf("the merge depends on the order of the sides: %s, %s", ab, ba)
		}
		outcomes[len(conflicts) > 0]++
		if len(conflicts) == 0 {
			checkUnion(t, base, a, b)
		}
	})
	assert.Assert(t, outcomes[true] > 5 && outcomes[false] > 5, "too few merges with, or without, conflicts: %v", outcomes)
}

// checkUnion checks that a merge has exactly the changes of both sides.
func checkUnion(t *rapid.T, base, a, b *model.Model) {
	m, _ := Merge(base, a, b)
	type change struct {
		ref model.Ref
		FieldChange
	}
	collect := func(to *model.Model, into map[change]bool) {
		for _, c := range Diff(base, to) {
			for _, f := range c.Fields {
				into[change{c.Object, f}] = true
			}
		}
	}
	want, have := map[change]bool{}, map[change]bool{}
	collect(a, want)
	collect(b, want)
	collect(m, have)
	if fmt.Sprint(want) != fmt.Sprint(have) {
		t.Fatalf("changes %v, want %v", have, want)
	}
}

func TestDiffProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawModel.Draw(t, "a"), drawModel.Draw(t, "b")
		forth, back := Diff(a, b), Diff(b, a)
		if (len(forth) == 0) != (mustEncode(a) == mustEncode(b)) || len(forth) != len(back) {
			t.Fatalf("%v and %v", forth, back)
		}
		for i := range forth {
			for j, f := range forth[i].Fields {
				if r := back[i].Fields[j]; r.Old != f.New || r.New != f.Old || r.Field != f.Field {
					t.Fatalf("%v and %v", f, r)
				}
			}
		}
	})
}
