package main

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/evacuation"
	"tarragongw/operator"
)

func TestEvacuationsAreListed(t *testing.T) {
	var inForce []evacuation.Evacuation
	server := httptest.NewServer(operator.NewEvacuationsHandler(func() *operator.Evacuations {
		return operator.DescribeEvacuations("edge-1", inForce, 250*time.Millisecond)
	}))
	t.Cleanup(server.Close)
	assert.Equal(t, mustRun(t, server.URL, "evacuations"), "No data centre is evacuated, as edge-1 knew 250ms ago.\n")
	inForce = append(inForce, evacuation.Evacuation{Record: evacuation.Record{DataCentre: "hall", Revision: 7}, LearnedAt: time.Unix(1, 0)})
	out := mustRun(t, server.URL, "evacuations")
	assert.Assert(t, strings.Contains(out, "hall") && strings.Contains(out, "7") && strings.Contains(out, "250ms"), out)
}
