package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait. It is much longer than any wait takes on an idle machine,
// so that tests do not fail on a busy one.
const testTimeout = 60 * time.Second

// devRun is a running `tarragongw dev`.
type devRun struct {
	// guide holds the lines that the command prints at the start.
	guide  []string
	stop   context.CancelFunc
	exited chan error
}

// startDev runs the dev command and returns once it has printed its guide.
func startDev(t *testing.T, args ...string) *devRun {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	reader, writer := io.Pipe()
	command := newCommand()
	command.Writer = writer
	d := &devRun{stop: stop, exited: make(chan error, 1)}
	go func() {
		err := command.Run(ctx, append([]string{"tarragongw", "dev", "--log", "error"}, args...))
		_ = writer.CloseWithError(io.EOF)
		d.exited <- err
	}()
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		d.guide = append(d.guide, scanner.Text())
		if strings.HasSuffix(scanner.Text(), " status") {
			break
		}
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	t.Cleanup(stop)
	assert.Assert(t, len(d.guide) > 5, "%v", d.guide)
	return d
}

// curlLines returns the guide's curl lines.
func (d *devRun) curlLines() []string {
	var curlLines []string
	for _, line := range d.guide {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "curl ") {
			curlLines = append(curlLines, line)
		}
	}
	return curlLines
}

// splitShellWords splits a line at spaces outside single quotes, as a shell does.
func splitShellWords(line string) []string {
	var words []string
	var word strings.Builder
	quoted, inWord := false, false
	for _, c := range line {
		switch {
		case c == '\'':
			quoted, inWord = !quoted, true
		case c == ' ' && !quoted:
			if inWord {
				words = append(words, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteRune(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// runCurlLine sends the request of a curl command line and returns the response's status
// and body.
func runCurlLine(t *testing.T, line string) (int, []byte) {
	t.Helper()
	assert.Assert(t, !strings.ContainsAny(outsideQuotes(line), "&?;|<>$*(){}\"`"), "a shell would interpret special characters of the line: %s", line)
	method, body, address := http.MethodGet, "", ""
	header := http.Header{}
	words := splitShellWords(line)[1:]
	for len(words) > 0 {
		word := words[0]
		words = words[1:]
		switch word {
		case "-i", "-s":
			continue
		case "-X":
			method = words[0]
		case "-d":
			body = words[0]
		case "-H":
			name, value, _ := strings.Cut(words[0], ": ")
			header.Set(name, value)
		default:
			assert.Assert(t, !strings.HasPrefix(word, "-"), "unknown option %s", word)
			address = word
			continue
		}
		words = words[1:]
	}
	req, err := http.NewRequest(method, address, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header = header
	req.Host = header.Get("Host")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, responseBody
}

// outsideQuotes returns the parts of a line outside single quotes.
func outsideQuotes(line string) string {
	var out strings.Builder
	for i, part := range strings.Split(line, "'") {
		if i%2 == 0 {
			out.WriteString(part)
		}
	}
	return out.String()
}

func TestSplitShellWords(t *testing.T) {
	assert.DeepEqual(t, splitShellWords(`curl -d 'a b' '' x'y z'`), []string{"curl", "-d", "a b", "", "xy z"})
}

func TestDevStopsAfterDuration(t *testing.T) {
	for _, example := range []string{"shiretoko", "balik-paninda"} {
		t.Run(example, func(t *testing.T) {
			var out bytes.Buffer
			command := newCommand()
			command.Writer = &out
			err := command.Run(t.Context(), []string{"tarragongw", "dev", "--log", "error", "--for", "1s", "--example", example})
			assert.NilError(t, err)
			assert.Assert(t, strings.HasSuffix(out.String(), "Stopped; 0 requests were cut off.\n"), out.String())
		})
	}
}

func TestDevRejectsUnknownExample(t *testing.T) {
	err := newCommand().Run(t.Context(), []string{"tarragongw", "dev", "--example", "other"})
	assert.ErrorContains(t, err, "shiretoko or balik-paninda")
	assert.Equal(t, exitCode(err), exitFailure)
}

// The curl lines of the guide work as printed: a read, a write, an operator's change, and an
// explanation of the key that names the target that answered the read.
func TestDevGuideCommandsWork(t *testing.T) {
	for _, example := range []string{"shiretoko", "balik-paninda"} {
		t.Run(example, func(t *testing.T) {
			d := startDev(t, "--example", example)
			curlLines := d.curlLines()
			assert.Equal(t, len(curlLines), 4, "%v", curlLines)

			status, body := runCurlLine(t, curlLines[0])
			assert.Equal(t, status, http.StatusOK, string(body))
			readAnswer := decodeJSON[struct{ Target, Unit string }](t, body)
			assert.Assert(t, readAnswer.Target != "")

			status, body = runCurlLine(t, curlLines[1])
			assert.Equal(t, status, http.StatusOK, string(body))
			assert.Equal(t, decodeJSON[struct{ Value string }](t, body).Value, "hello")

			status, body = runCurlLine(t, curlLines[3])
			assert.Equal(t, status, http.StatusOK, string(body))
			explained := decodeJSON[struct{ Target, Unit, Grantor string }](t, body)
			assert.Equal(t, explained.Target, readAnswer.Target)
			assert.Equal(t, explained.Unit, readAnswer.Unit)
			assert.Assert(t, explained.Grantor != "")

			status, body = runCurlLine(t, curlLines[2])
			assert.Equal(t, status, http.StatusOK, string(body))
			assert.Equal(t, decodeJSON[struct{ Revision uint64 }](t, body).Revision, uint64(2))

			d.stop()
			assert.NilError(t, <-d.exited)
		})
	}
}

// The URL in the last line of the guide is that of an operators' endpoint.
func TestDevGuideContainsOperatorEndpoint(t *testing.T) {
	d := startDev(t)
	words := strings.Fields(d.guide[len(d.guide)-1])
	assert.DeepEqual(t, words[:3], []string{"go", "run", "./cmd/tarragonctl"})
	base, err := url.Parse(words[4])
	assert.NilError(t, err)
	resp, err := http.Get(base.JoinPath("v1", words[5]).String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	d.stop()
	assert.NilError(t, <-d.exited)
}

func decodeJSON[T any](t *testing.T, data []byte) T {
	t.Helper()
	var value T
	assert.NilError(t, json.Unmarshal(data, &value), string(data))
	return value
}
