package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Guards against keys that are refused for twelve seconds and more (no_owner, "the grant of
// ... has to lapse") although their holder has ended. Targets end without deregistering and
// others start at their addresses. The leader loses the store, and the new leader is followed
// by too few routers to know when the old one stops sending. It therefore waits for the
// longest grant that the old leader may have given to targets that don't answer. Those targets
// had ended: their addresses, which by then belonged to targets of another service, answered
// its releases with status 400.
func TestKeysOfAnEndedTargetAreFreedBeforeExpiry(t *testing.T) {
	for name, ended := range map[string]bool{"ended": true, "departed only": false} {
		t.Run(name, func(t *testing.T) {
			old := newSettled(t, "a", "b")
			cfg := Config{OutageGrantTTL: 6 * time.Second, OldLeaderBound: 10 * time.Second}
			now := after(placementQuietPeriod + time.Second)
			a := TakeOver(now, cfg, "s", old.Table())
			a.SetTargets(now, testTargets("b"))
			if ended {
				a.SetEnded([]keyspace.Holder{{Target: "a", StartUnixMilli: 1}, {Target: "b", StartUnixMilli: 9}})
			}
			runUntilIdle(a, now)
			kept := keysPerTarget(a)["a"]
			assert.Equal(t, kept == 0, ended, "%d keys are still assigned to the departed target", kept)
			runUntilIdle(a, now.Add(cfg.OldLeaderBound+expiresAfter(cfg.OutageGrantTTL)))
			assert.DeepEqual(t, keysPerTarget(a), map[string]int{"b": 1 << 16})
		})
	}
}

// Guards against keys that nobody serves for up to sixteen seconds after a change of the leader, although their holder, whose
// entry is gone, runs on and would release them.
func TestNewLeaderHasDepartedHoldersReleaseTheirKeys(t *testing.T) {
	old := newSettled(t, "a", "b")
	now := after(placementQuietPeriod + time.Second)
	a := TakeOver(now, Config{OutageGrantTTL: 6 * time.Second, OldLeaderBound: 10 * time.Second}, "s", old.Table())
	a.SetTargets(now, testTargets("b"))
	a.SetDeparted(testTargets("a"))
	runUntilIdle(a, now)
	assert.DeepEqual(t, keysPerTarget(a), map[string]int{"b": 1 << 16})
}
