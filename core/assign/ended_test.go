package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Symptom: a third of a service's keys is refused for twelve seconds and more (no_owner, "the
// grant of ... has to lapse").
// Sequence: targets end without a word and others start at their addresses; the leader loses
// the store, and another leads that too few routers follow to know when the old one stops.
// Cause: the new leader waits for the longest grant that the old one may have given to targets
// that don't answer. These had ended: their addresses answered its releases with status 400,
// as they belonged to targets of another service by then.
func TestKeysOfATargetThatHasEndedNeedNotLapse(t *testing.T) {
	for name, ended := range map[string]bool{"ended": true, "only gone": false} {
		t.Run(name, func(t *testing.T) {
			old := newSettled(t, "a", "b")
			cfg := Config{LongHold: 6 * time.Second, OldLeader: 10 * time.Second}
			now := after(placementQuietPeriod + time.Second)
			a := TakeOver(now, cfg, "s", old.Table())
			a.SetTargets(now, testTargets("b"))
			if ended {
				a.SetEnded([]keyspace.Holder{{Target: "a", Born: 1}, {Target: "b", Born: 9}})
			}
			runToRest(a, now)
			kept := keysPerTarget(a)["a"]
			assert.Equal(t, kept == 0, ended, "%d keys are still with the target that is gone", kept)
			runToRest(a, now.Add(cfg.OldLeader+expiresAfter(cfg.LongHold)))
			assert.DeepEqual(t, keysPerTarget(a), map[string]int{"b": 1 << 16})
		})
	}
}
