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

// testTimeout bounds every wait. It is far above the usual time, so that no test fails
// because the machine is busy.
const testTimeout = 60 * time.Second

// result is the output, error and exit code of one command.
type result struct {
	out  string
	err  error
	code int
}

// runCommand runs one command against the router at the URL.
func runCommand(t *testing.T, url string, args ...string) result {
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

// mustRun runs a command that must succeed and returns its output.
func mustRun(t *testing.T, url string, args ...string) string {
	t.Helper()
	r := runCommand(t, url, args...)
	assert.NilError(t, r.err, strings.Join(args, " "))
	return r.out
}

// startSystem runs the example shiretoko and returns it with the operators' URL of its
// first router.
func startSystem(t *testing.T) (*dev.System, string) {
	t.Helper()
	m, err := config.LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s, err := dev.Start(ctx, dev.Config{Model: m, Settings: dev.Patient})
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		s.Stop(ctx)
	})
	return s, "http://" + s.Routers[0].Addresses().Operator
}

// sendRequest sends a request with the id and ignores the status of the answer.
func sendRequest(t *testing.T, url, id string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// replaceInConfig replaces the first occurrence of a text in the folder's configFile.
func replaceInConfig(t *testing.T, folder, from, to string) {
	t.Helper()
	path := filepath.Join(folder, configFile)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), from), "%q is not in the file", from)
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(data), from, to, 1)), 0o600))
}

// The usual workflow: write the configuration to a folder, edit it, show the difference,
// apply it, and see it in force at all routers.
func TestChangeByFiles(t *testing.T) {
	s, url := startSystem(t)
	folder := t.TempDir()
	mustRun(t, url, "get", "config", "--out", folder)
	assert.Assert(t, strings.HasPrefix(mustRun(t, url, "check", folder), "ok: 3 services, 37 targets"))
	assert.Equal(t, mustRun(t, url, "diff", folder), "revision 1: 0 changes\n")

	replaceInConfig(t, folder, "slots = 6", "slots = 5")
	diff := mustRun(t, url, "diff", folder)
	assert.Assert(t, strings.Contains(diff, "slots"), diff)
	assert.Assert(t, strings.HasSuffix(diff, ": 1 changes\n"), diff)
	assert.Assert(t, strings.Contains(mustRun(t, url, "get", "revision"), " 1 "), "diff changed something")

	applied := mustRun(t, url, "apply", folder)
	assert.Assert(t, strings.HasSuffix(applied, "revision 2: 1 changes\n"), applied)
	assert.Assert(t, strings.Contains(mustRun(t, url, "get", "config"), "slots = 5"))
	assert.Equal(t, mustRun(t, url, "diff", folder), "revision 2: 0 changes\n")
	for _, r := range s.Routers {
		waittest.Until(t, "revision 2 reaches "+r.Name(), func() bool {
			return strings.Contains(mustRun(t, "http://"+r.Addresses().Operator, "get", "revision"), " 2 ")
		})
	}
}

// All errors of a file must be reported together, with file, line and suggested fix, and
// nothing in the file may take effect.
func TestRefusedFiles(t *testing.T) {
	_, url := startSystem(t)
	folder := t.TempDir()
	mustRun(t, url, "get", "config", "--out", folder)
	replaceInConfig(t, folder, "slots = 6", "slotz = 6")
	replaceInConfig(t, folder, `service = "faq-viewer"`, `service = "faq-viewr"`)
	path := filepath.Join(folder, configFile)
	for _, command := range []string{"check", "diff", "apply"} {
		r := runCommand(t, url, command, folder)
		assert.Equal(t, r.code, exitRefused, command)
		lines := strings.Split(r.err.Error(), "\n")
		assert.Assert(t, len(lines) >= 2, r.err)
		assertLine(t, lines, path, `slotz`, `did you mean "slots"?`)
		assertLine(t, lines, path, `there is no service "faq-viewr"`, `did you mean "faq-viewer"?`)
	}
	assert.Assert(t, strings.Contains(mustRun(t, url, "get", "revision"), " 1 "))
}

// assertLine fails unless a line begins with the file and a line number and contains all
// texts.
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

// One operator's change must not overwrite another's. Both fetch the same revision, change
// the same field and apply. A second apply that took its base revision for the current
// one would undo the first.
func TestClashingChangesShowBothSides(t *testing.T) {
	_, url := startSystem(t)
	first, second := t.TempDir(), t.TempDir()
	mustRun(t, url, "get", "config", "--out", first)
	mustRun(t, url, "get", "config", "--out", second)
	replaceInConfig(t, first, "slots = 6", "slots = 5")
	replaceInConfig(t, second, "slots = 6", "slots = 4")
	mustRun(t, url, "apply", first)
	r := runCommand(t, url, "apply", second)
	assert.Equal(t, r.code, exitConflict)
	assert.ErrorContains(t, r.err, "theirs 5; yours 4")
	assert.Assert(t, strings.Contains(mustRun(t, url, "get", "config"), "slots = 5"))
}

func TestDrainAndUndo(t *testing.T) {
	_, url := startSystem(t)
	out := mustRun(t, url, "drain", "faq-viewer-03")
	assert.Assert(t, strings.HasSuffix(out, "revision 2: 1 changes\n"), out)
	assert.Assert(t, strings.Contains(mustRun(t, url, "explain", "target", "faq-viewer-03"), "draining true"))
	out = mustRun(t, url, "drain", "--undo", "faq-viewer-03")
	assert.Assert(t, strings.HasSuffix(out, "revision 3: 1 changes\n"), out)
	r := runCommand(t, url, "drain", "nobody")
	assert.Equal(t, r.code, exitFailure)
	assert.ErrorContains(t, r.err, `no target is named "nobody"`)
}

func TestExplanations(t *testing.T) {
	s, url := startSystem(t)
	out := mustRun(t, url, "explain", "key", "faq-viewer", "kiosk-7")
	assert.Assert(t, strings.HasPrefix(out, "key kiosk-7 of faq-viewer: unit faq-viewer/"), out)
	assert.Assert(t, strings.Contains(out, "is the target's grantor under term"), out)

	var e operator.KeyExplanation
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, url, "--output", "json", "explain", "key", "faq-viewer", "kiosk-7")), &e))
	assert.Assert(t, strings.HasPrefix(mustRun(t, url, "explain", "target", e.Target), "target "+e.Target+" of faq-viewer in "))

	sendRequest(t, s.CallerURL(0)+"/no-such-path", "lost-one")
	out = mustRun(t, url, "explain", "request", "lost-one")
	assert.Assert(t, strings.Contains(out, "no_route (not-run)") || strings.Contains(out, "no_route (not run)"), out)

	for _, unknown := range [][]string{{"key", "other", "k"}, {"request", "never-seen"}, {"target", "nobody"}} {
		r := runCommand(t, url, append([]string{"explain"}, unknown...)...)
		assert.Equal(t, r.code, exitFailure, "%v", unknown)
		assert.ErrorContains(t, r.err, "not_found")
	}
}

func TestStatusAndEvents(t *testing.T) {
	s, url := startSystem(t)
	mustRun(t, url, "drain", "faq-viewer-03")
	var status string
	waittest.Until(t, "nothing is wrong", func() bool {
		status = mustRun(t, url, "status")
		return strings.Contains(status, "Nothing is wrong")
	})
	assert.Assert(t, strings.HasPrefix(status, s.Routers[0].Name()+" in "), status)
	assert.Assert(t, strings.Contains(status, ": ready, revision 2 since "), status)
	events := mustRun(t, url, "events", "--since", "1m")
	assert.Assert(t, strings.Contains(events, "config_applied"), events)
	assert.Assert(t, strings.Contains(events, "author=tester"), events)
	assert.Assert(t, strings.Contains(events, "change=changed target \"faq-viewer-03\""), events)
	r := runCommand(t, url, "events", "--since", "soon")
	assert.Equal(t, r.code, exitFailure)
}

// events --follow must print new events and end with its context.
func TestEventsFollow(t *testing.T) {
	_, url := startSystem(t)
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	out := &signalBuffer{want: "faq-viewer-03", seen: make(chan struct{})}
	command := newCommand()
	command.Writer = out
	ended := make(chan error, 1)
	go func() {
		ended <- command.Run(ctx, []string{"tarragonctl", "--router", url, "events", "--follow", "--since", "1s"})
	}()
	mustRun(t, url, "drain", "faq-viewer-03")
	select {
	case <-out.seen:
	case <-ctx.Done():
		t.Fatal("the event was not printed")
	}
	stop()
	assert.NilError(t, <-ended)
}

// signalBuffer closes seen once the text want has been written.
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

func TestUsageErrorsAreReported(t *testing.T) {
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
		r := runCommand(t, nobody, c.args...)
		assert.ErrorContains(t, r.err, c.text)
		assert.Equal(t, r.code, c.code, "%v", c.args)
	}
}
