package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/history"
	"tarragongw/eventlog"
	"tarragongw/internal/waittest"
	"tarragongw/operator"
)

var reportStart = time.Date(2030, 1, 2, 3, 0, 0, 0, time.UTC)

// answerFrom returns the answer of a router with the buckets.
func answerFrom(name string, buckets ...history.Bucket) routerAnswer[routerReport] {
	series := &operator.Series{Router: name, Series: history.Series{
		Step: 10 * time.Second, Began: reportStart, Classes: []string{"interactive", "batch"},
		Bounds: []time.Duration{time.Millisecond, 10 * time.Millisecond}, Buckets: buckets,
	}}
	return routerAnswer[routerReport]{
		RouterState: operator.RouterState{Router: name, DataCentre: "dc", State: "alive"},
		Answer:      routerReport{Series: series, Events: &operator.EventPage{Router: name}},
	}
}

func bucketAt(n int, change func(*history.Bucket)) history.Bucket {
	b := history.Bucket{Start: reportStart.Add(time.Duration(n)*10*time.Second + 40*time.Millisecond), Seconds: 10}
	change(&b)
	return b
}

// Requests and moves of all routers are summed; of unavailable time and imbalance, which
// each router measures for all units, the highest value counts.
func TestMergeSumsRequestsAndMovesOnly(t *testing.T) {
	busy := func(b *history.Bucket) {
		b.Latency = [][]uint32{{1, 2, 0}, {0, 0, 3}}
		b.Refused = []history.Count{{Cause: "queue_full", N: 4}}
		b.Services = []history.ServiceBucket{{Name: "faq", Moved: 2, Unavailable: 5, Imbalance: 1.5}}
	}
	worse := func(b *history.Bucket) {
		busy(b)
		b.Services[0].Unavailable, b.Services[0].Imbalance = 7, 1.2
	}
	merged := mergeSeries([]routerAnswer[routerReport]{
		answerFrom("a", bucketAt(0, busy), bucketAt(1, busy)),
		answerFrom("b", bucketAt(1, worse)),
	}, reportStart)
	assert.Equal(t, len(merged.points), 2)
	p := merged.points[1]
	assert.Equal(t, p.routers, 2)
	assert.DeepEqual(t, p.latency, map[string][]uint64{"interactive": {2, 4, 0}, "batch": {0, 0, 6}})
	assert.DeepEqual(t, p.refused, map[string]float64{"queue_full": 8})
	assert.DeepEqual(t, p.moved, map[string]float64{"faq": 4})
	assert.DeepEqual(t, p.unavailable, map[string]float64{"faq": 7})
	assert.DeepEqual(t, p.imbalance, map[string]float64{"faq": 1.5})
	assert.Equal(t, len(mergeSeries([]routerAnswer[routerReport]{answerFrom("a", bucketAt(0, busy))}, reportStart.Add(time.Minute)).points), 0)
}

// Records of two routers about the same loss are merged; the same loss later is a new event.
func TestMergeOfEvents(t *testing.T) {
	lost := func(seconds int) eventlog.Event {
		return eventlog.Event{Kind: eventlog.MemberLost, Router: "c", Cause: "silent", Time: reportStart.Add(time.Duration(seconds) * time.Second)}
	}
	a, b := answerFrom("a"), answerFrom("b")
	a.Answer.Events.Events = []eventlog.Event{lost(1), lost(100)}
	b.Answer.Events.Events = []eventlog.Event{lost(2)}
	got := mergeEvents([]routerAnswer[routerReport]{a, b})
	assert.Equal(t, len(got), 2)
	assert.DeepEqual(t, got[0].Routers, []string{"a", "b"})
	assert.Equal(t, got[0].Count, 2)
	assert.Equal(t, got[1].Time, reportStart.Add(100*time.Second))
}

func renderPage(t *testing.T, answers ...routerAnswer[routerReport]) string {
	t.Helper()
	p, err := newPage(answers, reportStart, reportStart.Add(time.Hour))
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, pageTemplate.Execute(&out, p))
	return out.String()
}

// assertSelfContained fails if the page would load anything.
func assertSelfContained(t *testing.T, html string) {
	t.Helper()
	for _, loads := range []string{"<script", "src=", "<link", "@import", "url("} {
		assert.Assert(t, !strings.Contains(html, loads), "the page has %q", loads)
	}
}

// The page must name a router that does not answer, with the cause, and must escape
// texts that come from routers.
func TestPageNamesSilentRouters(t *testing.T) {
	answered := answerFrom("a", bucketAt(0, func(b *history.Bucket) {
		b.Latency = [][]uint32{{5, 5, 0}, {0, 0, 0}}
		b.Refused = []history.Count{{Cause: "queue_full", N: 4}}
		b.Services = []history.ServiceBucket{{Name: "<i>faq</i>", Moved: 2, Unavailable: 5}}
	}))
	answered.Answer.Events.Events = []eventlog.Event{{Kind: eventlog.MemberLost, Cause: "<b>silent</b>", Time: reportStart.Add(time.Second)}}
	silent := routerAnswer[routerReport]{RouterState: operator.RouterState{Router: "gone-b", State: "lost"}, Err: errors.New("not reached")}
	html := renderPage(t, answered, silent)
	assertSelfContained(t, html)
	for _, want := range []string{
		"1 of 2 routers did not answer", "gone-b", "no answer: not reached", "queue_full", "&lt;i&gt;faq&lt;/i&gt;", "&lt;b&gt;silent&lt;/b&gt;", "member_lost",
	} {
		assert.Assert(t, strings.Contains(html, want), "the page lacks %q", want)
	}
	// Imbalance and failures have nothing to show.
	assert.Equal(t, strings.Count(html, "<svg"), 4)
	assert.Equal(t, strings.Count(html, "None in this time."), 2)
	assert.Assert(t, !strings.Contains(html, "<i>faq"), "a name became markup")
	assert.Assert(t, !strings.Contains(html, "<b>silent"), "a cause became markup")
}

// A page without data must say so and is not an error.
func TestPageWithoutMeasurements(t *testing.T) {
	html := renderPage(t, answerFrom("a"))
	assertSelfContained(t, html)
	assert.Assert(t, strings.Contains(html, "nothing was counted yet"))
	assert.Assert(t, strings.Contains(html, "None in this time."))
}

// The report command must query all routers through one and list those that are down.
func TestReportOfASystem(t *testing.T) {
	s, url := startSystem(t)
	awaitRouters(t, url, len(s.Routers))
	gone := s.Routers[2].Name()
	s.Routers[2].Abort()
	file := filepath.Join(t.TempDir(), "report.html")
	var summary reportSummary
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, url, "report", "--since", "5m", "--out", file, "--output", "json")), &summary))
	assert.Equal(t, summary.Routers, len(s.Routers))
	assert.Equal(t, len(summary.Silent), 1)
	assert.Equal(t, summary.Silent[0].Router, gone)
	html, err := os.ReadFile(file)
	assert.NilError(t, err)
	assertSelfContained(t, string(html))
	assert.Assert(t, strings.Contains(string(html), "1 of 3 routers did not answer"))
	assert.Assert(t, strings.Contains(string(html), "config_applied"))
}

// awaitRouters waits until the router at the URL knows of n routers.
func awaitRouters(t *testing.T, url string, n int) {
	t.Helper()
	c := &operator.Client{Base: url}
	waittest.Until(t, fmt.Sprintf("%d routers are known", n), func() bool {
		routers, err := c.Routers(t.Context())
		assert.NilError(t, err)
		return len(routers) == n
	})
}
