package selector

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
)

// drawEdit makes one random change to a model, which may make the model invalid.
func drawEdit(t *rapid.T, m *model.Model) {
	pick := func(n int) int { return rapid.IntRange(0, max(n-1, 0)).Draw(t, "which") }
	service := rapid.SampledFrom([]string{"files", "misc", "pages", "extra", "gone"}).Draw(t, "service")
	pool := rapid.SampledFrom([]string{"big", "small", "new"}).Draw(t, "pool")
	switch rapid.IntRange(0, 9).Draw(t, "edit") {
	case 0:
		m.Targets = append(m.Targets, testTarget(fmt.Sprint("t", pick(30)), service, pool))
	case 1:
		if i := pick(len(m.Targets)); i < len(m.Targets) {
			m.Targets = slices.Delete(m.Targets, i, i+1)
		}
	case 2:
		if i := pick(len(m.Targets)); i < len(m.Targets) {
			m.Targets[i].Labels, m.Targets[i].Service = model.Labels{"pool": pool}, service
		}
	case 3:
		if i := pick(len(m.Targets)); i < len(m.Targets) {
			m.Targets[i].Drain = !m.Targets[i].Drain
		}
	case 4:
		key := fmt.Sprint("k", pick(9))
		m.Ranges = append(m.Ranges, model.KeyRange{Name: key, Service: service, From: key, To: key + rapid.SampledFrom([]string{"", "5"}).Draw(t, "to")})
	case 5:
		if i := pick(len(m.Ranges)); i < len(m.Ranges) {
			m.Ranges = slices.Delete(m.Ranges, i, i+1)
		}
	case 6:
		s := model.Selector{Name: fmt.Sprint("s", pick(9)), Service: service, Priority: pick(9), Callers: drawExpr(1).Draw(t, "callers")}
		if rapid.Bool().Draw(t, "places") {
			s.Callers, s.Targets = nil, mustParse("pool = "+pool)
		} else {
			s.ToService = rapid.SampledFrom([]string{"files", "misc", "extra"}).Draw(t, "to")
		}
		m.Selectors = append(m.Selectors, s)
	case 7:
		if i := pick(len(m.Selectors)); i < len(m.Selectors) {
			m.Selectors = slices.Delete(m.Selectors, i, i+1)
		}
	case 8:
		if i := pick(len(m.Services)); m.Service(service) != nil && rapid.Bool().Draw(t, "remove") {
			m.Services = slices.Delete(m.Services, i, i+1)
		} else if m.Service(service) == nil {
			m.Services = append(m.Services, testService(service, model.Any))
		}
	case 9:
		m.Callers = append(m.Callers, model.Caller{Name: fmt.Sprint("c", pick(9)), Weight: 1, Labels: model.Labels{"role": pool}})
	}
}

// cloneModel copies the model's lists, so that an edit does not change earlier models.
func cloneModel(m *model.Model) *model.Model {
	return &model.Model{
		Revision: m.Revision + 1, Services: slices.Clone(m.Services), Targets: slices.Clone(m.Targets), Ranges: slices.Clone(m.Ranges),
		Callers: slices.Clone(m.Callers), Selectors: slices.Clone(m.Selectors),
	}
}

// TestRecompileEqualsCompile checks that Recompile returns the same tables, field for field,
// or the same problems as Compile, whatever changed since the model in force. Models may be
// skipped, repeated, or arrive late.
func TestRecompileEqualsCompile(t *testing.T) {
	outcomes := map[bool]int{}
	unexported := cmp.AllowUnexported(Compiled{}, service{}, compiledRange{}, keyClass{}, rule{})
	rapid.Check(t, func(t *rapid.T) {
		latestValid := testModel(nil)
		models := []*model.Model{latestValid}
		var inForce *Compiled
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			next := cloneModel(latestValid)
			for range rapid.IntRange(1, 3).Draw(t, "edits") {
				drawEdit(t, next)
			}
			next.Sort()
			models = append(models, next)
			if _, problems := Compile(next); len(problems) == 0 {
				latestValid = next
			}
			m := models[max(0, len(models)-rapid.IntRange(1, 4).Draw(t, "late"))]
			want, wantProblems := Compile(m)
			got, problems := Recompile(inForce, m)
			outcomes[len(wantProblems) == 0]++
			assert.DeepEqual(t, problems, wantProblems)
			assert.DeepEqual(t, got, want, unexported)
			if got != nil {
				inForce = got
			}
		}
	})
	assert.Assert(t, outcomes[true] > 100 && outcomes[false] > 100, "both outcomes are drawn: %v", outcomes)
}

// TestRecompileSharesUnchangedServices checks that a change to one service keeps the tables
// of the other services.
func TestRecompileSharesUnchangedServices(t *testing.T) {
	old := mustCompile(t, testModel(nil))
	got, problems := Recompile(old, testModel(func(m *model.Model) { m.Targets[0].Drain = true }))
	assert.Equal(t, len(problems), 0)
	assert.Assert(t, got.services["files"] != old.services["files"] && got.Target("f1").Drain)
	assert.Assert(t, got.services["pages"] == old.services["pages"] && got.services["misc"] == old.services["misc"])
}
