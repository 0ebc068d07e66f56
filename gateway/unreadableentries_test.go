package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/directory"
	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// Guards against a live target that gets no requests because somebody else wrote its entry, and against a log that is filled
// by such entries.
func TestLiveTargetsSurviveEntriesOfOtherWriters(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"), plainTarget("b"))
	known := func() int {
		f.gateways[0].mu.RLock()
		defer f.gateways[0].mu.RUnlock()
		return len(f.gateways[0].targets)
	}
	f.awaitTarget("a")
	f.awaitTarget("b")
	for i := range 20 {
		f.store.Put(fmt.Sprintf("%sx%d", platform.TargetPrefix, i), []byte(`{"address":3}`))
	}
	f.store.Put(platform.TargetPrefix+"a", []byte{0xff})
	f.store.Put(platform.TargetPrefix+"b", []byte(strings.Replace(string(f.targets["b"].Entry()), `"any"`, `"other"`, 1)))
	f.sendUntilServed(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1})
	time.Sleep(directory.ReturnGrace / 2)
	assert.Equal(t, known(), 2)
	f.targets["a"].Register(f.store)
	waittest.Until(t, "the target that doesn't write its entry again is gone", func() bool { return known() == 1 })
	time.Sleep(directory.ReturnGrace / 2)
	assert.Equal(t, known(), 1)
	f.sendUntilServed(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1})
	assert.Equal(t, strings.Count(f.log.String(), `msg="entry of a target ignored"`), 1)
}

// Guards against entries that are counted without a reason.
func TestReasonsOfUnreadableEntries(t *testing.T) {
	for entry, want := range map[string]string{
		"\xff": "malformed", `{"address":3}`: "malformed", `{}`: "missing_field",
		`{"address":"h:1","info":{"service":"s","zone":"z","slots":1},"status":{"state":"asleep","seq":1}}`: "unknown_state",
		`{"address":"h","info":{"service":"s","zone":"z","slots":1},"status":{"state":"ready","seq":1}}`:    "unusable_target",
		`{"address":"h:1","info":{"service":"s","zone":"z","slots":0},"status":{"state":"ready","seq":1}}`:  "unusable_target",
	} {
		_, err := platform.DecodeTarget(platform.TargetPrefix+"t", []byte(entry))
		assert.Equal(t, entryReason(errors.Wrap(err, "wrapped")), want, entry)
	}
	assert.Equal(t, entryReason(errOtherService), "other_service")
	assert.Equal(t, entryReason(errors.New("another")), "other")
}
