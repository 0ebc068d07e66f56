package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/eventlog"
	"tarragongw/internal/syncbuffer"
	"tarragongw/internal/waittest"
	"tarragongw/operator"
)

// awaitText waits until the buffer holds the text n times.
func awaitText(t *testing.T, b *syncbuffer.Buffer, n int, text string) {
	t.Helper()
	waittest.Until(t, fmt.Sprintf("%q is there %d times", text, n), func() bool { return strings.Count(b.String(), text) >= n })
}

// events --follow must go on when the router restarts. The new instance numbers its
// events from 1 again, below the last number printed. A command that ends at the first
// failed poll, or that skips events with lower numbers, would print nothing more.
func TestFollowContinuesAfterRouterRestart(t *testing.T) {
	s, url := startSystem(t)
	awaitRouters(t, url, len(s.Routers))
	followed := s.Routers[2].Name()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var out, notes syncbuffer.Buffer
	command := newCommand()
	command.Writer, command.ErrWriter = &out, &notes
	ended := make(chan error, 1)
	go func() {
		ended <- command.Run(ctx, []string{"tarragonctl", "--router", url, "--output", "json", "events", "--follow", "--since", "1h", "--of", followed})
	}()
	const applied = `"kind":"config_applied"`
	awaitText(t, &out, 1, applied)
	assert.NilError(t, s.Restart(2))
	awaitText(t, &out, 2, applied)
	awaitText(t, &notes, 1, "router "+followed+" was restarted")
	mustRun(t, url, "drain", "faq-viewer-03")
	awaitText(t, &out, 3, applied)
	stop()
	assert.NilError(t, <-ended)

	// Each line is an event, and no event of one instance is printed twice.
	var last eventlog.Event
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var e eventlog.Event
		assert.NilError(t, json.Unmarshal([]byte(text), &e), text)
		assert.Assert(t, e.Seq == last.Seq+1 || e.Seq == 1, "event %d comes after %d", e.Seq, last.Seq)
		last = e
	}
}

// Each command that reads state must print JSON with --output json.
func TestReadCommandsPrintJSON(t *testing.T) {
	s, url := startSystem(t)
	sendRequest(t, s.CallerURL(0)+"/no-such-path", "lost-one")

	read := func(into any, args ...string) {
		t.Helper()
		assert.NilError(t, json.Unmarshal([]byte(mustRun(t, url, append(args, "--output", "json")...)), into), "%v", args)
	}
	var status operator.Status
	read(&status, "status")
	assert.Equal(t, status.Router, s.Routers[0].Name())
	var key operator.KeyExplanation
	read(&key, "explain", "key", "faq-viewer", "kiosk-7")
	assert.Assert(t, key.Target != "")
	var target operator.TargetExplanation
	read(&target, "explain", "target", key.Target)
	assert.Equal(t, target.Target, key.Target)
	var request requestReport
	read(&request, "explain", "request", "lost-one")
	assert.Equal(t, len(request.Found), 1)
	assert.Equal(t, request.Found[0].Request.Code, "no_route")
	var events []eventlog.Event
	read(&events, "events", "--since", "1h")
	assert.Assert(t, len(events) > 0)
	var revisions []operator.RouterRevision
	read(&revisions, "get", "revision")
	assert.Equal(t, revisions[0].Revision, uint64(1))
}

// explain request must find a refusal of one router through any other router, and must
// name routers that don't answer next to the records of the others.
func TestExplainRequestAsksAllRouters(t *testing.T) {
	s, url := startSystem(t)
	awaitRouters(t, url, len(s.Routers))
	for _, target := range s.Targets {
		target.Faults.Refuse("closed")
	}
	sendRequest(t, s.CallerURL(1)+"/faq-viewer/kiosk-7", "shut-out")
	s.Routers[2].Abort()

	out := mustRun(t, url, "explain", "request", "shut-out")
	for _, want := range []string{
		"request shut-out at ", "router " + s.Routers[1].Name() + ": target_refused (not-run) after ",
		"    1. after 0s, for ", "    2. after ", " attempts:", "no answer from router " + s.Routers[2].Name(),
	} {
		assert.Assert(t, strings.Contains(out, want), "%q is not in:\n%s", want, out)
	}
	r := runCommand(t, url, "explain", "request", "never-seen")
	assert.ErrorContains(t, r.err, "no answer from "+s.Routers[2].Name())
}
