package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestChangesSinceTheConfigurationBefore(t *testing.T) {
	route := func(name, service string, timeout time.Duration, targets int) Route {
		return Route{Name: name, Timeout: timeout, MaxTargets: targets, Shares: []Share{{service, 1}}}
	}
	before := &Config{Routes: []Route{route("same", "a", 0, 2), route("moved", "a", 0, 2), route("timed", "a", 6*time.Second, 2), route("tried", "a", 0, 2), route("removed", "a", 0, 2)}}
	after := &Config{Routes: []Route{route("same", "a", 0, 2), route("moved", "b", 0, 2), route("timed", "a", time.Second, 2), route("tried", "a", 0, 3), route("new", "a", 0, 2)}}
	assert.Equal(t, after.ChangesSince(before).String(), "added: new; removed: removed; moved: moved; timeouts: timed 6s->1s; others: tried")
	assert.Equal(t, after.ChangesSince(after).String(), "")
	assert.Equal(t, len(after.ChangesSince(nil).Added), 5)
}
