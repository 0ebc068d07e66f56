package selector

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
	"tarragongw/core/routing"
)

func mustCompile(t testing.TB, m *model.Model) *Compiled {
	t.Helper()
	c, problems := Compile(m)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return c
}

func TestRoute(t *testing.T) {
	c := mustCompile(t, testModel(func(m *model.Model) {
		m.Selectors = []model.Selector{
			{Name: "block", Service: "pages", Priority: 9, Callers: mustParse("blocked = true"), Refuse: true},
			{Name: "export", Service: "pages", Priority: 8, Callers: mustParse("role = export"), ToService: "files"},
			{Name: "hot", Service: "pages", Priority: 5, Keys: mustParse("heat = hot"), Targets: mustParse("pool = big")},
			{Name: "rest", Service: "pages", Priority: 1, Targets: mustParse("pool = small")},
			{Name: "old", Service: "files", Priority: 1, Callers: mustParse("role = export"), Targets: mustParse("pool = old")},
		}
	}))
	slot := func(key string) routing.Unit {
		return routing.Unit{Service: "pages", Slot: uint32(Hash(key) % model.MinHashSlots)}
	}
	hot := routing.Unit{Service: "pages", Kind: routing.RangeUnit, Range: "hot"}
	one := routing.Unit{Service: "pages", Kind: routing.RangeUnit, Range: "one"}
	none := routing.Unit{}
	tests := []struct {
		service, key string
		labels       model.Labels
		action       Action
		final        string
		unit         routing.Unit
		targets      []string
		selector     string
	}{
		{"nowhere", "a", nil, NoService, "", none, nil, ""},
		{"pages", "a", nil, Serve, "pages", slot("a"), []string{"p2", "p3"}, "rest"},
		{"pages", "h", nil, Serve, "pages", hot, []string{"p1"}, "hot"},
		{"pages", "hzz", nil, Serve, "pages", hot, []string{"p1"}, "hot"},
		{"pages", "i", nil, Serve, "pages", slot("i"), []string{"p2", "p3"}, "rest"},
		{"pages", "k", nil, Serve, "pages", one, []string{"p2", "p3"}, "rest"},
		{"pages", "k\x00", nil, Serve, "pages", slot("k\x00"), []string{"p2", "p3"}, "rest"},
		{"pages", "", nil, KeyMissing, "pages", none, nil, "rest"},
		{"pages", "h", model.Labels{"blocked": "true"}, Refuse, "pages", none, nil, "block"},
		{"pages", "", model.Labels{"role": "export"}, Serve, "files", none, []string{"f2"}, "old"},
		{"files", "", nil, Serve, "files", none, []string{"f1", "f2"}, ""},
		{"misc", "", nil, Serve, "misc", none, []string{}, ""},
	}
	for _, tt := range tests {
		d := c.Route(tt.service, tt.key, &Subject{Labels: tt.labels})
		final := ""
		if d.Service != nil {
			final = d.Service.Name
		}
		assert.Equal(t, d.Action, tt.action, "%+v", tt)
		assert.Equal(t, final, tt.final, "%+v", tt)
		assert.Equal(t, d.Unit, tt.unit, "%+v", tt)
		assert.DeepEqual(t, d.Targets, tt.targets)
		assert.Equal(t, d.Selector, tt.selector, "%+v", tt)
	}
	assert.Equal(t, len(c.Units("pages")), model.MinHashSlots+2)
	assert.Assert(t, c.Units("files") == nil)
	assert.Assert(t, c.Eligible(routing.Unit{Service: "pages", Slot: model.MinHashSlots}) == nil)
	assert.Assert(t, c.Eligible(routing.Unit{Service: "files"}) == nil)
	assert.Assert(t, c.Eligible(routing.Unit{Service: "pages", Kind: routing.RangeUnit, Range: "gone"}) == nil)
	assert.DeepEqual(t, c.Caller("night").Labels, model.Labels{"role": "export"})
	assert.Equal(t, c.Weight("night"), 2.0)
	assert.Equal(t, c.Weight("stranger"), 1.0)
}

// TestPlacementDependsOnTheKeyOnly guards against two targets serving one key at once. That
// happens if a selector places a key depending on the caller: requests of different callers
// go to different targets, and each target holds state for the key.
func TestPlacementDependsOnTheKeyOnly(t *testing.T) {
	callers := allSubjects()
	rapid.Check(t, func(t *rapid.T) {
		m := testModel(func(m *model.Model) { m.Selectors = drawSelectors(t) })
		c, problems := Compile(m)
		if len(problems) > 0 {
			t.Skip("the model is refused")
		}
		key := rapid.SampledFrom([]string{"a", "h", "hx", "k", "kk", "z"}).Draw(t, "key")
		unit := c.UnitOf("pages", key)
		for i := range callers {
			d := c.Route("pages", key, &callers[i])
			if d.Action != Serve || d.Service.Name != "pages" {
				continue
			}
			if d.Unit != unit || !slices.Equal(d.Targets, c.Eligible(unit)) {
				t.Fatalf("caller %v: unit %v, targets %v; the unit %v is for %v", callers[i].Labels, d.Unit, d.Targets, unit, c.Eligible(unit))
			}
		}
	})
}

func drawSelectors(t *rapid.T) []model.Selector {
	var selectors []model.Selector
	for i := range rapid.IntRange(1, 4).Draw(t, "count") {
		s := model.Selector{Name: fmt.Sprint("s", i), Service: "pages", Priority: i}
		s.Keys = rapid.SampledFrom([]model.Expr{nil, mustParse("heat = hot"), mustParse("heat != hot"), mustParse("name = one")}).Draw(t, "keys")
		switch rapid.IntRange(0, 2).Draw(t, "action") {
		case 0:
			s.Targets = rapid.SampledFrom([]model.Expr{mustParse("pool = big"), mustParse("pool = small"), mustParse("name in (p1, p3)")}).Draw(t, "targets")
			s.Callers = rapid.SampledFrom([]model.Expr{nil, nil, nil, mustParse("a = x")}).Draw(t, "callers")
		case 1:
			s.Refuse = true
			s.Callers = drawExpr(2).Draw(t, "callers")
		default:
			s.ToService = "files"
			s.Callers = drawExpr(2).Draw(t, "callers")
		}
		selectors = append(selectors, s)
	}
	return selectors
}

func TestUnitAgreesWithLinearSearch(t *testing.T) {
	randomKey := rapid.StringOfN(rapid.SampledFrom([]rune("abc")), 1, 3, -1)
	inRange := 0
	rapid.Check(t, func(t *rapid.T) {
		m := testModel(func(m *model.Model) {
			m.Ranges = nil
			for i := range rapid.IntRange(0, 8).Draw(t, "count") {
				r := model.KeyRange{Name: fmt.Sprint("r", i), Service: "pages", From: randomKey.Draw(t, "from"), To: randomKey.Draw(t, "to")}
				overlaps := slices.ContainsFunc(m.Ranges, func(o model.KeyRange) bool { return o.Overlaps(&r) })
				if r.From <= r.To && !overlaps {
					m.Ranges = append(m.Ranges, r)
				}
			}
		})
		c, problems := Compile(m)
		if len(problems) > 0 {
			t.Fatalf("disjoint ranges are refused: %v", problems)
		}
		key := randomKey.Draw(t, "key")
		want := routing.Unit{Service: "pages", Slot: uint32(Hash(key) % model.MinHashSlots)}
		for i := range m.Ranges {
			if m.Ranges[i].Contains(key) {
				want = routing.Unit{Service: "pages", Kind: routing.RangeUnit, Range: m.Ranges[i].Name}
				inRange++
			}
		}
		if got := c.UnitOf("pages", key); got != want {
			t.Fatalf("%q: got %v, want %v", key, got, want)
		}
	})
	assert.Assert(t, inRange > 5, "too few keys in ranges were generated: %d", inRange)
}

// TestHashNeverChanges guards against a change of the hash function or its seed. During an
// upgrade the routers of two releases would then hash one key to two slots, and send requests
// to targets that do not own the key.
func TestHashNeverChanges(t *testing.T) {
	// The first value is the published XXH64 of the empty input with seed zero.
	assert.Equal(t, Hash(""), uint64(0xef46db3751d8e999))
	assert.Equal(t, Hash("a"), uint64(0xd24ec4f1a98c6e5b))
}

// largeModel returns a model with the given numbers of ranges and selectors.
func largeModel(ranges, selectors int) *model.Model {
	return testModel(func(m *model.Model) {
		m.Ranges = nil
		for i := range ranges {
			from := fmt.Sprintf("key-%06d", i)
			m.Ranges = append(m.Ranges, model.KeyRange{Name: fmt.Sprint("r", i), Service: "pages", From: from, To: from + "~", Labels: model.Labels{"heat": "hot"}})
		}
		for i := range selectors {
			m.Selectors = append(m.Selectors, model.Selector{Name: fmt.Sprint("s", i), Service: "pages", Priority: i + 1, Callers: mustParse(fmt.Sprintf("role in (a%d, b%d), tier != x", i, i)), Refuse: true})
		}
		m.Selectors = append(m.Selectors, model.Selector{Name: "hot", Service: "pages", Keys: mustParse("heat = hot"), Targets: mustParse("pool = big")})
	})
}

func TestRangesWithTheSameSelectorsShareAClass(t *testing.T) {
	m := largeModel(64, 8)
	m.Ranges[9].Labels = nil
	c := mustCompile(t, m)
	classes := map[*keyClass]int{}
	for _, r := range c.services["pages"].ranges {
		classes[r.class]++
	}
	assert.Equal(t, len(classes), 2)
	assert.Equal(t, classes[c.services["pages"].noRange], 1)
}

func TestLookupsDoNotAllocate(t *testing.T) {
	c := mustCompile(t, largeModel(64, 8))
	caller := &Subject{Name: "c", Labels: model.Labels{"role": "customer", "tier": "y"}}
	unit := c.UnitOf("pages", "key-000007")
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		c.Route("pages", "key-000007", caller)
		c.Route("pages", "elsewhere", caller)
		c.UnitOf("pages", "elsewhere")
		c.Eligible(unit)
		c.Caller("night")
	}), 0.0)
}

func BenchmarkRoute(b *testing.B) {
	for _, size := range []struct{ ranges, selectors int }{{0, 0}, {16, 4}, {4096, 16}} {
		c := mustCompile(b, largeModel(size.ranges, size.selectors))
		caller := &Subject{Name: "c", Labels: model.Labels{"role": "customer", "tier": "y"}}
		b.Run(fmt.Sprintf("ranges=%d/selectors=%d", size.ranges, size.selectors), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.Route("pages", "key-000007", caller)
			}
		})
	}
}

func BenchmarkUnitOf(b *testing.B) {
	c := mustCompile(b, largeModel(4096, 0))
	b.ReportAllocs()
	for b.Loop() {
		c.UnitOf("pages", "key-000007")
	}
}

// maximalModel returns a model with the maximum number of ranges and selectors, all of one
// service and of equal priority, so that every pair of selectors is compared.
func maximalModel() *model.Model {
	m := largeModel(model.MaxRanges, 0)
	m.Selectors = nil
	for i := range model.MaxSelectors {
		m.Selectors = append(m.Selectors, model.Selector{Name: fmt.Sprintf("s%04d", i), Service: "pages", Keys: mustParse(fmt.Sprintf("name = r%d", i)), Targets: mustParse("pool = big")})
	}
	return m
}

func BenchmarkCompile(b *testing.B) {
	cases := []struct {
		name  string
		model *model.Model
	}{{"ranges=4096/selectors=17", largeModel(model.MaxRanges, 16)}, {"ranges=4096/selectors=1024", maximalModel()}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				mustCompile(b, c.model)
			}
		})
	}
}
