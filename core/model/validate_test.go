package model

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCountsAndLengthsAreBounded(t *testing.T) {
	m := &Model{}
	for i := range MaxCallers + 1 {
		m.Callers = append(m.Callers, Caller{Name: fmt.Sprintf("c%05d", i), Weight: 1})
	}
	labels := Labels{}
	for i := range MaxLabels + 1 {
		labels[fmt.Sprint("l", i)] = "v"
	}
	m.Callers[0].Labels = labels
	m.Callers[1].Labels = Labels{strings.Repeat("l", MaxLabelLength+1): strings.Repeat("v", MaxValueLength+1)}
	long := Expr{{Label: "x", Op: In}, {Label: "x", Op: Exists, Values: []string{"v"}}, {Label: "x", Op: NotExists + 1}}
	for range MaxRequirements {
		long = append(long, Requirement{Label: "x", Op: Exists})
	}
	m.Selectors = []Selector{{Name: "s", Service: "a", Priority: MaxPriority + 1, Refuse: true, Callers: long}}
	m.Services = []Service{{Name: "a", Division: Any, PathPrefix: "/", Timeout: MinTimeout, ProgressTimeout: MinTimeout, QueueLength: 1, Isolation: Isolation{Keep: true}, Key: Extract{From: FromPath, Segment: MaxSegment + 1}}}
	m.Ranges = []KeyRange{{Name: "r", Service: "a", From: strings.Repeat("k", MaxKeyLength+1), To: "l\xff"}}
	var messages []string
	for _, p := range Validate(m) {
		messages = append(messages, p.Error())
	}
	assert.DeepEqual(t, messages, []string{
		"caller: there are 4097; keep at most 4096",
		`service "a": key.segment: 32 is not allowed; use 0 to 31`,
		`range "r": from: the text has 1025 bytes; keep it to 1024 bytes`,
		`range "r": to: the text is not valid UTF-8; write it in UTF-8`,
		`caller "c00000": labels: there are 17 labels; keep at most 16`,
		`caller "c00001": labels: "` + strings.Repeat("l", 64) + `" is not a label; use letters, digits and ._-/, at most 63 bytes`,
		`caller "c00001": labels: "` + strings.Repeat("v", 129) + `" is not a value; use letters, digits and ._-/:@+, at most 128 bytes`,
		`selector "s": priority: 1000001 is not allowed; use -1000000 to 1000000`,
		`selector "s": callers: there are 19 requirements; keep at most 16`,
		`selector "s": callers: label "x" has 0 values; give in from 1 to 64 values`,
		`selector "s": callers: label "x" has 1 values; give exists from 0 to 0 values`,
		`selector "s": callers: the operator 6 does not exist; use =, !=, in, notin, exists, !exists`,
	})
}
