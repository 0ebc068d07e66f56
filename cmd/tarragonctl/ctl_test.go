package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/dev"
	"tarragongw/examples"
	"tarragongw/internal/waittest"
	"tarragongw/operator"
)

// patience bounds every wait; it is far beyond what is measured, so that a busy
// machine fails nothing.
const patience = 60 * time.Second

// result is how one command ended.
type result struct {
	out  string
	err  error
	code int
}

// ctl runs one command against the router of the URL.
func ctl(t *testing.T, url string, args ...string) result {
	t.Helper()
	var out bytes.Buffer
	command := newCommand()
	command.Writer, command.ErrWriter = &out, io.Discard
	err := command.Run(t.Context(), append([]string{"tarragonctl", "--router", url, "--author", "tester"}, args...))
	code := 0
	if err != nil {
		code = exitCode(err)
	}
	return result{out.String(), err, code}
}

// works runs a command that must succeed.
func works(t *testing.T, url string, args ...string) string {
	t.Helper()
	r := ctl(t, url, args...)
	assert.NilError(t, r.err, strings.Join(args, " "))
	return r.out
}

// startSystem runs shiretoko and returns it with a router's URL.
func startSystem(t *testing.T) (*dev.System, string) {
	t.Helper()
	m, err := config.LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	s, err := dev.Start(ctx, dev.Config{Model: m, Settings: dev.Patient})
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		s.Stop(ctx)
	})
	return s, "http://" + s.Routers[0].Addresses().Operator
}

// call sends a request with the id, whatever its answer.
func call(t *testing.T, url, id string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// edit replaces text in a file of the folder.
func edit(t *testing.T, folder, from, to string) {
	t.Helper()
	path := filepath.Join(folder, configFile)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), from), "%q is not in the file", from)
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(data), from, to, 1)), 0o600))
}

// An operator's round: read the configuration into a folder, change it, look at the
// difference, put it in force and see it there.
func TestChangeByFiles(t *testing.T) {
	s, url := startSystem(t)
	folder := t.TempDir()
	works(t, url, "get", "config", "--out", folder)
	assert.Assert(t, strings.HasPrefix(works(t, url, "check", folder), "ok: 3 services, 37 targets"))
	assert.Equal(t, works(t, url, "diff", folder), "revision 1: 0 changes\n")

	edit(t, folder, "slots = 6", "slots = 5")
	diff := works(t, url, "diff", folder)
	assert.Assert(t, strings.Contains(diff, "slots"), diff)
	assert.Assert(t, strings.HasSuffix(diff, ": 1 changes\n"), diff)
	assert.Assert(t, strings.Contains(works(t, url, "get", "revision"), " 1 "), "diff changed something")

	applied := works(t, url, "apply", folder)
	assert.Assert(t, strings.HasSuffix(applied, "revision 2: 1 changes\n"), applied)
	assert.Assert(t, strings.Contains(works(t, url, "get", "config"), "slots = 5"))
	assert.Equal(t, works(t, url, "diff", folder), "revision 2: 0 changes\n")
	for _, r := range s.Routers {
		waittest.Until(t, "revision 2 reaches "+r.Name(), func() bool {
			return strings.Contains(works(t, "http://"+r.Addresses().Operator, "get", "revision"), " 2 ")
		})
	}
}

// Every error of a file is told at once with file, line and fix, and nothing of
// it takes effect.
func TestRefusedFiles(t *testing.T) {
	_, url := startSystem(t)
	folder := t.TempDir()
	works(t, url, "get", "config", "--out", folder)
	edit(t, folder, "slots = 6", "slotz = 6")
	edit(t, folder, `service = "faq-viewer"`, `service = "faq-viewr"`)
	path := filepath.Join(folder, configFile)
	for _, command := range []string{"check", "diff", "apply"} {
		r := ctl(t, url, command, folder)
		assert.Equal(t, r.code, exitRefused, command)
		lines := strings.Split(r.err.Error(), "\n")
		assert.Assert(t, len(lines) >= 2, r.err)
		assertLine(t, lines, path, `slotz`, `did you mean "slots"?`)
		assertLine(t, lines, path, `there is no service "faq-viewr"`, `did you mean "faq-viewer"?`)
	}
	assert.Assert(t, strings.Contains(works(t, url, "get", "revision"), " 1 "))
}

// assertLine looks for a line that begins with the file and a line number and
// holds the texts.
func assertLine(t *testing.T, lines []string, path string, texts ...string) {
	t.Helper()
	for _, line := range lines {
		rest, found := strings.CutPrefix(line, path+":")
		if !found || rest == "" || rest[0] < '1' || rest[0] > '9' {
			continue
		}
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return
		}
	}
	t.Errorf("no line begins with %s and holds %q:\n%s", path, texts, strings.Join(lines, "\n"))
}

// Symptom: an operator's change undoes another's.
// Sequence: two fetch the same revision; both change one field; both apply.
// Cause: the second write takes what it was edited from for the present.
func TestClashingChangesShowBothSides(t *testing.T) {
	_, url := startSystem(t)
	first, second := t.TempDir(), t.TempDir()
	works(t, url, "get", "config", "--out", first)
	works(t, url, "get", "config", "--out", second)
	edit(t, first, "slots = 6", "slots = 5")
	edit(t, second, "slots = 6", "slots = 4")
	works(t, url, "apply", first)
	r := ctl(t, url, "apply", second)
	assert.Equal(t, r.code, exitConflict)
	assert.ErrorContains(t, r.err, "theirs 5; yours 4")
	assert.Assert(t, strings.Contains(works(t, url, "get", "config"), "slots = 5"))
}

func TestDrainAndUndo(t *testing.T) {
	_, url := startSystem(t)
	out := works(t, url, "drain", "faq-viewer-03")
	assert.Assert(t, strings.HasSuffix(out, "revision 2: 1 changes\n"), out)
	assert.Assert(t, strings.Contains(works(t, url, "explain", "target", "faq-viewer-03"), "draining true"))
	out = works(t, url, "drain", "--undo", "faq-viewer-03")
	assert.Assert(t, strings.HasSuffix(out, "revision 3: 1 changes\n"), out)
	r := ctl(t, url, "drain", "nobody")
	assert.Equal(t, r.code, exitFailure)
	assert.ErrorContains(t, r.err, `no target is named "nobody"`)
}

func TestExplanations(t *testing.T) {
	s, url := startSystem(t)
	out := works(t, url, "explain", "key", "faq-viewer", "kiosk-7")
	assert.Assert(t, strings.HasPrefix(out, "key kiosk-7 of faq-viewer: unit faq-viewer/"), out)
	assert.Assert(t, strings.Contains(out, "is the target's grantor under term"), out)

	var e operator.KeyExplanation
	assert.NilError(t, json.Unmarshal([]byte(works(t, url, "--output", "json", "explain", "key", "faq-viewer", "kiosk-7")), &e))
	assert.Assert(t, strings.HasPrefix(works(t, url, "explain", "target", e.Target), "target "+e.Target+" of faq-viewer in "))

	call(t, s.CallerURL(0)+"/no-such-path", "lost-one")
	out = works(t, url, "explain", "request", "lost-one")
	assert.Assert(t, strings.Contains(out, "no_route (not-run)") || strings.Contains(out, "no_route (not run)"), out)

	for _, unknown := range [][]string{{"key", "other", "k"}, {"request", "never-seen"}, {"target", "nobody"}} {
		r := ctl(t, url, append([]string{"explain"}, unknown...)...)
		assert.Equal(t, r.code, exitFailure, "%v", unknown)
		assert.ErrorContains(t, r.err, "not_found")
	}
}

func TestStatusAndEvents(t *testing.T) {
	s, url := startSystem(t)
	works(t, url, "drain", "faq-viewer-03")
	var status string
	waittest.Until(t, "nothing is wrong", func() bool {
		status = works(t, url, "status")
		return strings.Contains(status, "Nothing is wrong")
	})
	assert.Assert(t, strings.HasPrefix(status, s.Routers[0].Name()+" in "), status)
	assert.Assert(t, strings.Contains(status, ": ready, revision 2 since "), status)
	events := works(t, url, "events", "--since", "1m")
	assert.Assert(t, strings.Contains(events, "config_applied"), events)
	assert.Assert(t, strings.Contains(events, "author=tester"), events)
	assert.Assert(t, strings.Contains(events, "change=changed target \"faq-viewer-03\""), events)
	r := ctl(t, url, "events", "--since", "soon")
	assert.Equal(t, r.code, exitFailure)
}

// events --follow prints what comes and ends with its context.
func TestEventsFollow(t *testing.T) {
	_, url := startSystem(t)
	ctx, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	out := &signalBuffer{want: "faq-viewer-03", seen: make(chan struct{})}
	command := newCommand()
	command.Writer = out
	ended := make(chan error, 1)
	go func() {
		ended <- command.Run(ctx, []string{"tarragonctl", "--router", url, "events", "--follow", "--since", "1s"})
	}()
	works(t, url, "drain", "faq-viewer-03")
	select {
	case <-out.seen:
	case <-ctx.Done():
		t.Fatal("the event was not printed")
	}
	stop()
	assert.NilError(t, <-ended)
}

// signalBuffer closes seen once the text was written.
type signalBuffer struct {
	want string
	text strings.Builder
	done bool
	seen chan struct{}
}

func (b *signalBuffer) Write(p []byte) (int, error) {
	b.text.Write(p)
	if !b.done && strings.Contains(b.text.String(), b.want) {
		b.done = true
		close(b.seen)
	}
	return len(p), nil
}

func TestMistakesAreTold(t *testing.T) {
	const nobody = "http://127.0.0.1:1"
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"frobnicate"}, exitFailure, "frobnicate"},
		{[]string{"check"}, exitFailure, "tarragonctl check FOLDER"},
		{[]string{"check", t.TempDir()}, exitRefused, "name a folder of TOML files"},
		{[]string{"explain", "key", "faq-viewer"}, exitFailure, "SERVICE KEY"},
		{[]string{"--output", "xml", "status"}, exitFailure, "use text or json"},
		{[]string{"status"}, exitFailure, "the router was not reached"},
		{[]string{"drain"}, exitFailure, "tarragonctl drain TARGET"},
	}
	for _, c := range cases {
		r := ctl(t, nobody, c.args...)
		assert.ErrorContains(t, r.err, c.text)
		assert.Equal(t, r.code, c.code, "%v", c.args)
	}
}
