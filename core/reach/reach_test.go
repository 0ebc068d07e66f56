package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// step is evidence at a time in milliseconds and the expected verdict.
type step struct {
	at       int
	evidence Evidence
	refuse   bool
	isolated bool
}

var (
	contact  = Evidence{Live: 3, Reached: 1, Unreached: 2}
	none     = Evidence{Live: 3, Unreached: 2}
	one      = Evidence{Live: 3, Unreached: 1}
	unknown  = Evidence{Live: 3}
	lastOne  = Evidence{Live: 1, Unreached: 1}
	noMember = Evidence{Unreached: 2}
)

// Each row is a sequence of evidence. Without a verdict callers would wait until their
// deadline for a data centre that is cut off; a verdict on too little evidence would refuse
// keys because one router died; a verdict without hysteresis would refuse and send requests
// in turn while a link is unstable.
func TestVerdicts(t *testing.T) {
	for name, history := range map[string][]step{
		"contact":                          {{0, contact, false, false}, {5000, contact, false, false}},
		"short loss of contact is ignored": {{0, none, false, false}, {199, none, false, false}},
		"no contact for long enough":       {{0, none, false, false}, {200, none, true, true}},
		"one router is not enough":         {{0, one, false, false}, {5000, one, false, false}},
		"the only router is enough":        {{0, lastOne, false, false}, {200, lastOne, true, true}},
		"no known router is no verdict":    {{0, noMember, false, false}, {5000, noMember, false, false}},
		"contact restarts the count":       {{0, none, false, false}, {150, contact, false, false}, {250, none, false, false}, {449, none, false, false}, {450, none, true, true}},
		"contact ends the refusal":         {{0, none, false, false}, {200, none, true, true}, {210, contact, false, true}},
		"steady contact ends isolation":    {{0, none, false, false}, {200, none, true, true}, {210, contact, false, true}, {2209, contact, false, true}, {2210, contact, false, false}},
		"unstable link refuses at once":    {{0, none, false, false}, {200, none, true, true}, {210, contact, false, true}, {220, none, true, true}, {230, contact, false, true}, {2229, contact, false, true}, {2230, contact, false, false}},
		"second isolation after recovery":  {{0, none, false, false}, {200, none, true, true}, {300, contact, false, true}, {2300, contact, false, false}, {2400, none, false, false}, {2600, none, true, true}},
		"no evidence changes nothing":      {{0, none, false, false}, {200, none, true, true}, {9000, unknown, true, true}, {9001, contact, false, true}, {9002, unknown, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, h := range history {
				s = Config{}.Next(s, time.Duration(h.at)*time.Millisecond, h.evidence)
				assert.Equal(t, s.Refuse, h.refuse, "at %d", h.at)
				assert.Equal(t, s.Isolated, h.isolated, "at %d", h.at)
			}
		})
	}
}

func TestIsolationBeginsWithFirstLossOfContact(t *testing.T) {
	s := Config{}.Next(State{}, 3*time.Second, none)
	assert.Assert(t, !s.Normal())
	s = Config{}.Next(s, 4*time.Second, none)
	assert.Equal(t, s.Since, 3*time.Second)
	assert.Assert(t, Config{}.Next(State{}, 0, contact).Normal())
}
