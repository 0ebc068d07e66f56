package selector

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/model"
)

func TestParseErrors(t *testing.T) {
	tests := []struct{ text, want string }{
		{"tier", "column 5: the expression ends here; follow the label with =, !=, in or notin, or write exists(label)"},
		{"tier gold", `column 6: "gold" is not an operator; use =, !=, in or notin`},
		{"tier = ", "column 8: the expression ends here; give a value of letters, digits and ._-/:@+"},
		{"tier = a b = c", `column 10: 'b' is not expected here; separate requirements by a comma`},
		{"tier in gold", "column 9: 'g' is not expected here; write the values as in (a, b)"},
		{"tier in ()", "column 10: ')' is not expected here; give a value of letters, digits and ._-/:@+"},
		{"tier in (a b)", "column 12: 'b' is not expected here; separate values by commas and close the list with )"},
		{"tier notin (a", "column 14: the expression ends here; separate values by commas and close the list with )"},
		{"!tier", "column 2: only exists can follow !; write !exists(label), label != value or label notin (a, b)"},
		{"exists()", "column 8: a label is missing or too long; write exists(label)"},
		{"exists(a", "column 9: the expression ends here; close exists( with )"},
		{"a = b,", "column 7: the expression ends here; begin a requirement with a label, exists( or !exists("},
		{", a = b", "column 1: ',' is not expected here; begin a requirement with a label, exists( or !exists("},
		{strings.Repeat("a", 64) + " = b", "column 1: the label is too long; keep it to 63 bytes"},
		{"a = " + strings.Repeat("b", 129), "column 5: the value is too long; keep it to 128 bytes"},
		{strings.TrimSuffix(strings.Repeat("a = b,", 17), ","), "column 102: there are too many requirements; keep at most 16"},
		{"a in (" + strings.Repeat("v,", 64) + "v)", "column 136: there are too many values; keep at most 64"},
		{strings.Repeat(" ", MaxText+1), "column 16385: the expression is too long; keep it to 16384 bytes"},
	}
	for _, tt := range tests {
		_, err := Parse(tt.text)
		assert.Error(t, err, tt.want)
	}
}

func TestParseReadsBackString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawExpr(6).Draw(t, "e")
		back, err := Parse(String(e))
		if err != nil || String(back) != String(e) || len(back) != len(e) {
			t.Fatalf("%q: %v, %v", String(e), back, err)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "tier in (gold, silver), region != x, exists(pool)", "!exists(a)", "a == b", "a notin (b", "exists = x", "\x00", "a = é"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		e, err := Parse(text)
		if err != nil {
			syntax, ok := err.(*SyntaxError)
			if !ok || syntax.Column < 1 || syntax.Column > len(text)+1 {
				t.Fatalf("%q: %v", text, err)
			}
			return
		}
		back, err := Parse(String(e))
		if err != nil || String(back) != String(e) {
			t.Fatalf("%q was read as %q, which is not read back: %v", text, String(e), err)
		}
		m := &model.Model{Selectors: []model.Selector{{Name: "s", Callers: e}}}
		for _, p := range model.Validate(m) {
			if p.Field == "callers" {
				t.Fatalf("%q was read but is refused: %v", text, p)
			}
		}
	})
}
