package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a started request whose right has no end once another router has the target.
func TestStartedRequestEndsWithALapsedTerm(t *testing.T) {
	const until = 320 * time.Millisecond
	right := map[string]sendRight{"t": {term: 8, until: until, since: 8, finishUntil: until}}
	closed := map[string]sendRight{"t": {term: 8, until: until, since: 8, finishUntil: until, closed: true}}
	handedOver := map[string]sendRight{"t": {term: 8, since: 8, finishUntil: until, closed: true}}
	takenBack := map[string]sendRight{"t": {term: 24, until: until, since: 8, finishUntil: until}}
	anew := map[string]sendRight{"t": {term: 24, until: until, since: 24, finishUntil: until}}
	for name, c := range map[string]struct {
		gate    *Gate
		term    uint64
		started bool
		want    time.Duration
	}{
		"no gate":                         {nil, 8, true, 0},
		"held":                            {&Gate{rights: right}, 8, false, until},
		"held, started":                   {&Gate{rights: right}, 8, true, until},
		"held under a later term":         {&Gate{rights: right}, 4, false, 0},
		"taken back under a later term":   {&Gate{rights: takenBack}, 8, false, 0},
		"taken back, started":             {&Gate{rights: takenBack}, 8, true, until},
		"closed for new requests":         {&Gate{rights: closed}, 8, false, 0},
		"closed, started":                 {&Gate{rights: closed}, 8, true, until},
		"handed over":                     {&Gate{rights: handedOver}, 8, false, 0},
		"handed over, started":            {&Gate{rights: handedOver}, 8, true, until},
		"handed over and all had ended":   {&Gate{}, 8, true, 0},
		"lapsed, started":                 {&Gate{}, 8, true, 0},
		"lapsed and taken back, started":  {&Gate{rights: anew}, 8, true, 0},
		"after an earlier lapse, started": {&Gate{rights: anew}, 24, true, until},
		"never held":                      {&Gate{rights: right}, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.gate.SendUntil("t", c.term, c.started), c.want)
		})
	}
}

// Guards against new requests to a target that answers too slowly, while its right goes on.
func TestClosedRightAdmitsNothing(t *testing.T) {
	g := &Gate{rights: map[string]sendRight{"t": {term: 8, until: time.Second, closed: true}}}
	assert.Assert(t, !g.Holds(0, "t"))
	assert.Equal(t, g.Term("t"), uint64(0))
	for target := range g.Targets() {
		t.Errorf("%s is listed", target)
	}
}
