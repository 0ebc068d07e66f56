package main

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
	"tarragongw/core/targetlimit"
	"tarragongw/operator"
)

func TestTargetLimitsAreListed(t *testing.T) {
	var limits []targetlimit.Limit
	var rests []operator.TargetRest
	var leaving []operator.LeavingTarget
	server := httptest.NewServer(operator.NewTargetLimitsHandler(func() *operator.TargetLimits {
		described := operator.DescribeTargetLimits("edge-1", true, limits)
		described.Rests, described.Leaving = rests, leaving
		return described
	}))
	defer server.Close()
	assert.Equal(t, mustRun(t, server.URL, "limits"), "No target states a limit, as edge-1 knows.\n")
	rests = []operator.TargetRest{{Target: "t-2", Service: "s", LeftMillis: 1500, Asked: 2}}
	leaving = []operator.LeavingTarget{{Target: "t-3", KnownMillis: 400}}
	limits = []targetlimit.Limit{{Holder: keyspace.Holder{Target: "t-1"}, Service: "s", PerSecond: 3.5}}
	out := mustRun(t, server.URL, "limits")
	assert.Assert(t, strings.Contains(out, "t-1") && strings.Contains(out, "3.5"), out)
	assert.Assert(t, strings.Contains(out, "t-2 of s wants no requests from edge-1 for 1.5s") && strings.Contains(out, "t-3 leaves"), out)
}
