package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ttls returns the TTLs of the grants among the orders of a step.
func ttls(actions Actions) map[time.Duration]int {
	all := map[time.Duration]int{}
	for _, o := range actions.Orders {
		if o.Kind == Grant {
			all[o.TTL]++
		}
	}
	return all
}

// Guards against grants that last longer than the next leader can know.
func TestLongerGrantsWaitUntilTheTableSaysSo(t *testing.T) {
	a := newSettled(t, "a", "b")
	a.cfg.OutageGrantTTL = 6 * time.Second
	a.SetWorkTime(3 * time.Second)
	now := after(3 * time.Second)
	actions := a.Step(now)
	assert.Equal(t, len(ttls(actions)), 1, "%v", ttls(actions))
	assert.Equal(t, ttls(actions)[DefaultGrantTTL], 2)
	assert.Equal(t, actions.Write.Table.LongestTTL, 4*time.Second)
	carryOut(a, now, actions)
	now = now.Add(time.Second)
	actions = a.Step(now)
	assert.Equal(t, ttls(actions)[4*time.Second], 2)
	assert.Assert(t, !actions.Orders[0].ForOutage)
	carryOut(a, now, actions)
	a.SetWorkTime(100 * time.Millisecond)
	assert.Equal(t, ttls(a.Step(now.Add(time.Second)))[DefaultGrantTTL], 2, "shorter ones need no write")
	assert.Equal(t, a.Table().LongestTTL, 4*time.Second)
}

// Guards against a new leader that gives the keys of a silent target away while a longer grant of the former one lasts.
func TestNewLeaderWaitsForTheLongestDeclaredGrant(t *testing.T) {
	former := newSettled(t, "a", "b")
	former.cfg.OutageGrantTTL = 6 * time.Second
	former.SetWorkTime(3 * time.Second)
	runUntilIdle(former, after(3*time.Second))
	now := after(10 * time.Second)
	a := TakeOver(now, Config{OutageGrantTTL: 6 * time.Second, OldLeaderBound: 10 * time.Second}, "s", former.Table())
	a.SetTargets(now, testTargets("a", "b"))
	a.BoundOldLeader(OldLeaderBound{Until: now, LastGrant: now})
	for i := range a.spans {
		assert.Equal(t, a.spans[i].lastExpiry(), now.Add(expiresAfter(4*time.Second)))
	}
	a.SetWorkTime(100 * time.Millisecond)
	assert.Equal(t, ttls(a.Step(now))[DefaultGrantTTL], 0, "no shorter than what the former leader may have granted")
}

// Guards against grants that last as long as the longest run that any target ever took.
func TestGrantsAreNeverLongerThanInAnOutage(t *testing.T) {
	a := newSettled(t, "a")
	a.cfg.OutageGrantTTL = 6 * time.Second
	a.SetWorkTime(time.Minute)
	assert.Equal(t, a.grantTimes.wanted, 6*time.Second)
}
