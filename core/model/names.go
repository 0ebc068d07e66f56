package model

import (
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"
)

// Labels that the router sets on objects by itself.
const (
	// LabelName is the object's own name.
	LabelName = "name"
	// LabelDataCentre is the data centre of a target.
	LabelDataCentre = "data_centre"
)

const labelFix = "use letters, digits and ._-/, at most 63 bytes"

func nameChar(c byte) bool  { return 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-' }
func hostChar(c byte) bool  { return nameChar(c) || c == '.' }
func alnum(c byte) bool     { return nameChar(c) && c != '-' || 'A' <= c && c <= 'Z' }
func fieldChar(c byte) bool { return alnum(c) || c == '-' || c == '_' || c == '.' }
func labelChar(c byte) bool { return fieldChar(c) || c == '/' }
func valueChar(c byte) bool { return labelChar(c) || c == ':' || c == '@' || c == '+' }

// IsLabelChar reports whether c is allowed in a label.
func IsLabelChar(c byte) bool { return labelChar(c) }

// IsValueChar reports whether c is allowed in the value of a label.
func IsValueChar(c byte) bool { return valueChar(c) }

// validName reports whether s is not empty, has at most maxLength bytes and consists
// of allowed bytes only.
func validName(s string, maxLength int, allowed func(byte) bool) bool {
	if s == "" || len(s) > maxLength {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !allowed(s[i]) {
			return false
		}
	}
	return true
}

func (v *validator) name(name string) {
	if !validName(name, MaxNameLength, nameChar) {
		v.addProblem("name", fmt.Sprintf("use lower-case letters, digits and hyphens, at most %d", MaxNameLength), "%q is not a name", name)
	}
}

func (v *validator) labels(labels Labels) {
	if len(labels) > MaxLabels {
		v.addProblem("labels", fmt.Sprintf("keep at most %d", MaxLabels), "there are %d labels", len(labels))
	}
	for _, label := range slices.Sorted(maps.Keys(labels)) {
		if !validName(label, MaxLabelLength, labelChar) {
			v.addProblem("labels", labelFix, "%q is not a label", label)
		}
		if label == LabelName || label == LabelDataCentre {
			v.addProblem("labels", "use another label", "the label %q is set by the router", label)
		}
		v.labelValue("labels", labels[label])
	}
}

func (v *validator) labelValue(field, value string) {
	if !validName(value, MaxValueLength, valueChar) {
		v.addProblem(field, fmt.Sprintf("use letters, digits and ._-/:@+, at most %d bytes", MaxValueLength), "%q is not a value", value)
	}
}

func (v *validator) text(field, text string, maxLength int) {
	if len(text) > maxLength {
		v.addProblem(field, fmt.Sprintf("keep it to %d bytes", maxLength), "the text has %d bytes", len(text))
	}
	if !utf8.ValidString(text) {
		v.addProblem(field, "write it in UTF-8", "the text is not valid UTF-8")
	}
}

// Nearest returns the candidate with the smallest edit distance to name, for which name
// is probably a misspelling, or the empty string if no candidate is close enough. Of
// equally close candidates it returns the first.
func Nearest(name string, candidates []string) string {
	best, bestDistance := "", len(name)/3+1
	for _, candidate := range candidates {
		if d := distance(name, candidate); d <= bestDistance && (best == "" || d < bestDistance) {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// distance returns the Levenshtein distance between a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// IsName reports whether name is a valid name of a service, target, key range,
// selector, data centre or router.
func IsName(name string) bool { return validName(name, MaxNameLength, nameChar) }
