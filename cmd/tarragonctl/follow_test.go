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

// Symptom: events --follow ends, or is silent for good, when the router restarts.
// Sequence: a router is followed; it is lost and another life of it starts, whose
// sequence numbers begin anew below the last one seen.
// Cause: an error ends the command, and events are taken for old by their number.
func TestFollowOutlivesARestart(t *testing.T) {
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
	works(t, url, "drain", "faq-viewer-03")
	awaitText(t, &out, 3, applied)
	stop()
	assert.NilError(t, <-ended)

	// Each line is an event, and none of one life came twice.
	var last eventlog.Event
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var e eventlog.Event
		assert.NilError(t, json.Unmarshal([]byte(text), &e), text)
		assert.Assert(t, e.Seq == last.Seq+1 || e.Seq == 1, "event %d comes after %d", e.Seq, last.Seq)
		last = e
	}
}

// Each command that looks has a form for programs.
func TestCommandsThatLookHaveJSON(t *testing.T) {
	s, url := startSystem(t)
	call(t, s.CallerURL(0)+"/no-such-path", "lost-one")

	read := func(into any, args ...string) {
		t.Helper()
		assert.NilError(t, json.Unmarshal([]byte(works(t, url, append(args, "--output", "json")...)), into), "%v", args)
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

// A refusal at one router is explained through any other; a router that is gone is
// named beside what the others know.
func TestExplainRequestAsksAllRouters(t *testing.T) {
	s, url := startSystem(t)
	awaitRouters(t, url, len(s.Routers))
	for _, target := range s.Targets {
		target.Faults.Refuse("closed")
	}
	call(t, s.CallerURL(1)+"/faq-viewer/kiosk-7", "shut-out")
	s.Routers[2].Abort()

	out := works(t, url, "explain", "request", "shut-out")
	for _, want := range []string{
		"request shut-out at ", "router " + s.Routers[1].Name() + ": target_refused (not-run) after ",
		"    1. after 0s, for ", "    2. after ", " attempts:", "no answer from router " + s.Routers[2].Name(),
	} {
		assert.Assert(t, strings.Contains(out, want), "%q is not in:\n%s", want, out)
	}
	r := ctl(t, url, "explain", "request", "never-seen")
	assert.ErrorContains(t, r.err, "no answer from "+s.Routers[2].Name())
}
