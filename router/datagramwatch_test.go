package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/eventlog"
)

// It is told of once, whichever routers are concerned, and once of the end.
func TestBlockedDatagramsAreToldOfOnce(t *testing.T) {
	var w datagramWatch
	var told []eventlog.Kind
	for _, names := range [][]string{nil, {"b"}, {"b", "c"}, {"c"}, nil, nil} {
		if e, ok := w.look(names); ok {
			told = append(told, e.Kind)
		}
	}
	assert.DeepEqual(t, told, []eventlog.Kind{eventlog.DatagramsBlocked, eventlog.DatagramsPass})
}
