package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/quarantine"
	"tarragongw/operator"
)

// fakeQuarantine has one refused request until that is released.
type fakeQuarantine struct{ list quarantine.List }

func (f *fakeQuarantine) Quarantine(context.Context) (*operator.Quarantine, error) {
	return operator.DescribeQuarantine("edge-1", &f.list), nil
}

func (f *fakeQuarantine) Release(_ context.Context, req *operator.ReleaseRequest) (*operator.ReleaseReply, error) {
	return operator.ReleaseBy(req, func(released quarantine.Fingerprint) bool {
		known := len(f.list.Entries) > 0 && f.list.Entries[0].Fingerprint == released
		f.list.Entries = nil
		return known
	})
}

func TestQuarantineIsListedAndReleased(t *testing.T) {
	entry := quarantine.Entry{
		Suspect: quarantine.Suspect{Fingerprint: quarantine.Fingerprint{0xab}}, Service: "faq", Crashes: 3, Trials: 1,
		Instances: []quarantine.Instance{{Target: "t-1"}, {Target: "t-2"}}, First: time.Unix(1, 0), Last: time.Unix(2, 0),
	}
	server := httptest.NewServer(operator.NewQuarantineHandler(&fakeQuarantine{quarantine.List{Entries: []quarantine.Entry{entry}}}))
	t.Cleanup(server.Close)
	out := mustRun(t, server.URL, "quarantine")
	for _, part := range []string{entry.Fingerprint.String(), "faq", "refused", "t-1,t-2"} {
		assert.Assert(t, strings.Contains(out, part), out)
	}
	assert.Assert(t, runCommand(t, server.URL, "quarantine", "release", "zz").err != nil)
	out = mustRun(t, server.URL, "quarantine", "release", entry.Fingerprint.String())
	assert.Assert(t, strings.Contains(out, entry.Fingerprint.String()), out)
	out = mustRun(t, server.URL, "quarantine")
	assert.Assert(t, strings.Contains(out, "No request is suspected"), out)
}
