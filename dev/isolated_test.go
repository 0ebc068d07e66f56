package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/eventlog"
	"tarragongw/operator"
)

const (
	// isolatedRequests are sent one after the other to a data centre that is cut off.
	isolatedRequests = 21
	// atOnce bounds the refusal of half of them. It is far above what is measured, and
	// far below the time for which a request would wait.
	atOnce = 700 * time.Millisecond
)

// Symptom: callers of keys whose data centre is cut off wait for each refusal, or go on
// being refused after the network is whole again.
// Sequence: a data centre is cut off from the others; callers elsewhere ask for its
// keys; its own callers go on; the network heals.
// Cause: each request finds out by itself that nobody there answers, or the verdict
// outlasts its reason.
func TestKeysOfAnIsolatedDataCentreAreRefusedAtOnce(t *testing.T) {
	x := newTrial(t, checksNothing)
	dc := x.s.Routers[0].DataCentre()
	key, _ := x.find(0, func(e *operator.KeyExplanation) bool {
		return x.s.Routers[x.index(e.Grantor)].DataCentre() == dc
	})
	entry := x.elsewhere(dc)
	x.cutPeers(dc)
	ask := func(i int) reply {
		return x.write(x.s.CallerURL(entry), key, fmt.Sprintf("isolated-%d", i))
	}
	cut := time.Now()
	var asked int
	eventually(t, "the data centre is known to be isolated", func() bool {
		asked++
		return ask(asked).header.Get("Tarragon-Error") == "isolated"
	})
	known := time.Since(cut)
	var took []time.Duration
	for range isolatedRequests {
		asked++
		began := time.Now()
		r := ask(asked)
		took = append(took, time.Since(began))
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Equal(t, r.header.Get("Tarragon-Error"), "isolated")
		assert.Equal(t, r.header.Get("Tarragon-Ran"), "not-run")
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Assert(t, strings.Contains(r.body, dc), r.body)
	}
	slices.Sort(took)
	t.Logf("known after %v and %d tries, then refused in %v at the median, %v at most",
		known, asked-isolatedRequests, took[len(took)/2], took[len(took)-1])
	assert.Assert(t, took[len(took)/2] < atOnce, "%v", took)
	served(t, x.s, 0, key)
	x.assertIsolationShown(entry, dc)

	x.links.Heal()
	healed := time.Now()
	served(t, x.s, entry, key)
	t.Logf("served %v after the network healed", time.Since(healed))
	eventually(t, "the end of the isolation is told", func() bool {
		return countEvents(x, entry, eventlog.IsolationEnded) == 1
	})
	assert.Equal(t, countEvents(x, entry, eventlog.IsolationBegan), 1)
	x.finish()
}

// assertIsolationShown looks for what operators are shown of an isolation.
func (x *trial) assertIsolationShown(router int, dc string) {
	x.t.Helper()
	status, err := x.s.Operator(router).Status(context.Background())
	assert.NilError(x.t, err)
	i := slices.IndexFunc(status.Problems, func(p operator.Problem) bool {
		return strings.Contains(p.What, "data centre "+dc+" can't be reached")
	})
	assert.Assert(x.t, i >= 0, "%+v", status.Problems)
	assert.Assert(x.t, !status.Problems[i].Since.IsZero() && status.Problems[i].Action != "")
	eventually(x.t, "the time of isolated units is counted", func() bool {
		r := do("GET", x.s.Operator(router).Base+"/metrics", "")
		return strings.Contains(r.body, "isolated_unit_milliseconds_total") && strings.Contains(r.body, `owner_data_centre="`+dc+`"`)
	})
}

func countEvents(x *trial, router int, kind eventlog.Kind) int {
	events, err := x.s.Operator(router).Events(context.Background(), time.Hour)
	assert.NilError(x.t, err)
	var n int
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
