package selector

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
)

// allSubjects returns every subject with values for the labels a and b; "other" stands for
// all values that no generated requirement names.
func allSubjects() []Subject {
	values := []string{"", "x", "y", "z", "other"}
	var subjects []Subject
	for _, a := range values {
		for _, b := range values {
			labels := model.Labels{}
			if a != "" {
				labels["a"] = a
			}
			if b != "" {
				labels["b"] = b
			}
			subjects = append(subjects, Subject{Labels: labels})
		}
	}
	return subjects
}

var drawRequirement = rapid.Custom(func(t *rapid.T) model.Requirement {
	op := model.Op(rapid.IntRange(int(model.Equals), int(model.NotExists)).Draw(t, "op"))
	least, most := op.ValueLimits()
	return model.Requirement{
		Label:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "label"),
		Op:     op,
		Values: rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y", "z"}), least, min(most, 3), rapid.ID[string]).Draw(t, "values"),
	}
})

func drawExpr(most int) *rapid.Generator[model.Expr] {
	return rapid.Custom(func(t *rapid.T) model.Expr {
		return rapid.SliceOfN(drawRequirement, 0, most).Draw(t, "expr")
	})
}

func TestSatisfiableAgreesWithEnumeration(t *testing.T) {
	subjects := allSubjects()
	outcomes := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawExpr(4).Draw(t, "a"), drawExpr(4).Draw(t, "b")
		want := false
		for i := range subjects {
			want = want || Match(a, &subjects[i]) && Match(b, &subjects[i])
		}
		outcomes[want]++
		if got := Satisfiable(a, b); got != want {
			t.Fatalf("%s and %s: got %v, want %v", String(a), String(b), got, want)
		}
	})
	assert.Assert(t, outcomes[true] > 10 && outcomes[false] > 10, "both outcomes are drawn: %v", outcomes)
}

func TestMatch(t *testing.T) {
	subject := Subject{Name: "n1", DataCentre: "dc1", Labels: model.Labels{"tier": "gold"}}
	tests := []struct {
		text string
		want bool
	}{
		{"", true},
		{"tier = gold", true},
		{"tier == gold", true},
		{"tier = silver", false},
		{"tier != silver", true},
		{"tier != gold", false},
		{"region != x", true},
		{"region = x", false},
		{"tier in (gold, silver)", true},
		{"tier in (silver)", false},
		{"region in (x)", false},
		{"tier notin (gold)", false},
		{"tier notin (silver, tin)", true},
		{"region notin (x)", true},
		{"exists(tier)", true},
		{"exists(region)", false},
		{"!exists(tier)", false},
		{"! exists ( region )", true},
		{"tier = gold, exists(region)", false},
		{"name = n1, data_centre = dc1", true},
		{"name = n2", false},
		{"!exists(data_centre)", false},
	}
	for _, tt := range tests {
		e, err := Parse(tt.text)
		assert.NilError(t, err, tt.text)
		assert.Equal(t, Match(e, &subject), tt.want, tt.text)
	}
}
