package dev_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/eventlog"
	"tarragongw/target/sample"
)

// startUneven runs a service divided by key whose keys in use all belong to one of
// three targets, and returns these keys.
func startUneven(t *testing.T, keys int) (*dev.System, string, []string) {
	t.Helper()
	service := small{division: model.ByKey, targets: 3, slots: 6, timeout: 2 * time.Second, queue: 32,
		weights: model.Weights{Imbalance: 1, Churn: 1, Unavailable: 5}}
	s := start(t, dev.Config{
		Model:                service.model(),
		RoutersPerDataCentre: 3,
		Settings:             func(r *config.Router) { r.Timers.Rebalance = 200 * time.Millisecond },
		Sample:               func(c *sample.Config) { c.Work = 5 * time.Millisecond },
	})
	busy := targetName(0)
	var found []string
	for i := 0; len(found) < keys; i++ {
		key := fmt.Sprint("key-", i)
		e, err := s.Operator(0).ExplainKey(t.Context(), "work", key)
		assert.NilError(t, err)
		if e.Target == busy {
			found = append(found, key)
		}
	}
	return s, busy, found
}

// Symptom: one target is overloaded for good while the others idle.
// Sequence: the keys that callers use all belong to one target.
// Cause: nobody sums the load of units, or nobody carries out the moves.
func TestLoadMovesAwayFromTheBusiestTarget(t *testing.T) {
	s, busy, keys := startUneven(t, 40)
	l := startLoad(6, func(caller, i int) reply {
		return do("GET", fmt.Sprintf("%s/work/%s", s.CallerURL(caller%3), keys[(i*7+caller)%len(keys)]), "")
	})
	eventually(t, "the target has less than half of the work", func() bool {
		n := len(s.Log.All())
		return n > 500 && shares(s, n-500)[busy] < 250
	})
	l.end(t)
	assertSoundness(t, s)
}

// Symptom: an order is cut off, or a target is asked to give up work that it may
// have begun, because its unit moved.
// Sequence: one target is overloaded by work that may run at most once and is always
// under way on some of its units.
// Cause: moves look at load alone.
func TestMovesCutNoAtMostOnceWork(t *testing.T) {
	s, busy, keys := startUneven(t, 40)
	l := startLoad(6, func(caller, i int) reply {
		return do("POST", fmt.Sprintf("%s/work/%s", s.CallerURL(caller%3), keys[(i*7+caller)%len(keys)]), "x")
	})
	eventually(t, "units move", func() bool {
		n := len(s.Log.All())
		return n > 500 && shares(s, n-500)[busy] < 400
	})
	l.end(t)
	assertSoundness(t, s)
}

// Symptom: one key keeps a target busy and nobody knows which.
// Sequence: half of all requests are for one key.
// Cause: moving its unit moves the load along with it, and only its unit is counted.
func TestHotKeyIsProposedByItsHash(t *testing.T) {
	s, _, keys := startUneven(t, 20)
	before, err := s.Operator(0).Config(t.Context())
	assert.NilError(t, err)
	l := startLoad(8, func(caller, i int) reply {
		key := keys[0]
		if i%4 == 0 {
			key = keys[1+i%(len(keys)-1)]
		}
		return do("GET", fmt.Sprintf("%s/work/%s", s.CallerURL(caller%3), key), "")
	})
	e, err := s.Operator(0).ExplainKey(t.Context(), "work", keys[0])
	assert.NilError(t, err)
	var found eventlog.Event
	eventually(t, "the key is proposed", func() bool {
		for i := range s.Routers {
			events, err := s.Operator(i).Events(t.Context(), time.Minute)
			assert.NilError(t, err)
			for _, event := range events {
				if event.Kind == eventlog.HotKeyFound {
					found = event
					return true
				}
			}
		}
		return false
	})
	l.end(t)
	assert.Equal(t, found.Unit, e.Unit)
	assert.Equal(t, found.Fields[0].Key, "hash")
	for _, field := range found.Fields {
		assert.Assert(t, field.Value != keys[0], "the journal holds the key itself")
	}
	after, err := s.Operator(0).Config(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(after.Model), string(before.Model))
}
