package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/internal/waittest"
)

// pipe is a caller that sends requests before the first is answered.
type pipe struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func newPipe(t *testing.T, b *bench) *pipe {
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &pipe{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (p *pipe) send(text string) {
	_, err := io.WriteString(p.conn, text)
	assert.NilError(p.t, err)
}

// get sends requests for paths at once.
func (p *pipe) get(paths ...string) {
	var all strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&all, "GET /x/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-%s\r\n\r\n", path, path)
	}
	p.send(all.String())
}

// answer reads one answer and returns its status and body.
func (p *pipe) answer() (int, string) {
	p.t.Helper()
	resp, err := http.ReadResponse(p.in, nil)
	assert.NilError(p.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	return resp.StatusCode, string(body)
}

// held is a forwarder whose answers wait to be let go, by the last part of the path.
type held struct {
	mu    sync.Mutex
	begun []string
	gates map[string]chan struct{}
	gone  []string
}

func newHeld() *held { return &held{gates: map[string]chan struct{}{}} }

func (f *held) gate(name string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gates[name] == nil {
		f.gates[name] = make(chan struct{})
	}
	return f.gates[name]
}

func (f *held) forward(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	gate := f.gate(name)
	f.mu.Lock()
	f.begun = append(f.begun, name)
	f.mu.Unlock()
	select {
	case <-gate:
	case <-r.Context().Done():
		f.mu.Lock()
		f.gone = append(f.gone, name)
		f.mu.Unlock()
		return fault.New(fault.CallerGone, "")
	}
	_, _ = io.WriteString(w, "answer to "+name)
	return nil
}

func (f *held) names(of *[]string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(*of, " ")
}

func ahead(t *testing.T, f *held) *pipe {
	return newPipe(t, start(t, Config{LookAhead: 3}, f.forward))
}

// Symptom: quick reads take as long as the slowest of those that their caller sent before.
// Sequence: a caller sends three reads at once; the first takes long, and the others begin
// only after it.
// Cause: a connection's requests are served one after the other.
func TestRequestsBehindASlowOneBeginAtOnce(t *testing.T) {
	f := newHeld()
	p := ahead(t, f)
	p.get("a", "b", "c")
	waittest.Until(t, "all three are at work", func() bool { return len(f.names(&f.begun)) == len("a b c") })
	close(f.gate("c"))
	close(f.gate("b"))
	close(f.gate("a"))
	for _, name := range []string{"a", "b", "c"} {
		status, body := p.answer()
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "answer to "+name)
	}
	p.get("d")
	close(f.gate("d"))
	_, body := p.answer()
	assert.Equal(t, body, "answer to d")
}

// Those that come while the first is at work begin as well, and no more than the limit.
func TestRequestsThatComeLaterBeginUpToTheLimit(t *testing.T) {
	f := newHeld()
	p := ahead(t, f)
	p.get("a")
	waittest.Until(t, "the first is at work", func() bool { return f.names(&f.begun) == "a" })
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		p.get(name)
	}
	waittest.Until(t, "three more are at work", func() bool { return len(f.names(&f.begun)) == len("a b c d") })
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(f.names(&f.begun)), len("a b c d"))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		close(f.gate(name))
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		_, body := p.answer()
		assert.Equal(t, body, "answer to "+name)
	}
}

// What may run once at most, has a body or could be read in two ways waits for its turn.
func TestOnlySimpleRepeatableRequestsBeginEarly(t *testing.T) {
	const second = "GET /x/b HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"at most once":    strings.Replace(second, "/x/b", "/faq/k/b?repeat=at-most-once", 1) + "\r\n",
		"a body":          second + "Content-Length: 0\r\n\r\n",
		"chunks":          second + "transfer-ENCODING: chunked\r\n\r\n0\r\n\r\n",
		"the last":        second + "Connection: close\r\n\r\n",
		"another method":  strings.Replace(second, "GET", "POST", 1) + "Content-Length: 0\r\n\r\n",
		"bare line feeds": strings.Replace(second, "\r\nHost", "\nHost", 1) + "\r\n",
		"no such route":   strings.Replace(second, "/x/", "/../", 1) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newHeld()
			p := ahead(t, f)
			p.get("a")
			p.send(text)
			waittest.Until(t, "the first is at work", func() bool { return f.names(&f.begun) == "a" })
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, f.names(&f.begun), "a")
			close(f.gate("a"))
			_, body := p.answer()
			assert.Equal(t, body, "answer to a")
			close(f.gate("b"))
			status, _ := p.answer()
			assert.Assert(t, status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusNotFound, "%d", status)
		})
	}
}

// Symptom: targets work on for callers that left.
// Sequence: a caller sends reads at once and closes its connection.
// Cause: the end of the connection ends the request whose turn it is, and no other.
func TestCallersEndEndsAllThatWasBegun(t *testing.T) {
	f := newHeld()
	p := ahead(t, f)
	p.get("a", "b", "c")
	waittest.Until(t, "all three are at work", func() bool { return len(f.names(&f.begun)) == len("a b c") })
	p.conn.Close()
	waittest.Until(t, "all three were given up", func() bool { return len(f.names(&f.gone)) == len("a b c") })
}

// Symptom: a target's slot is taken for ever by an answer of which 64 kB have come.
// Sequence: a caller sends reads at once and leaves while the second, long answer waits for
// its turn.
// Cause: what writes the answer waits for room and doesn't hear of the caller's end.
func TestCallersEndEndsAnAnswerThatWaitsForRoom(t *testing.T) {
	ended := make(chan struct{})
	full := make(chan struct{})
	b := start(t, Config{LookAhead: 3}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		if strings.HasSuffix(r.URL.Path, "a") {
			<-r.Context().Done()
			return fault.New(fault.CallerGone, "")
		}
		defer close(ended)
		part := make([]byte, earlyBytes)
		if _, err := w.Write(part); err == nil {
			close(full)
			_, err = w.Write(part)
			assert.Check(t, err != nil)
		}
		return fault.New(fault.CallerGone, "")
	})
	p := newPipe(t, b)
	p.get("a", "b")
	<-full
	p.conn.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the answer still waits")
	}
}

// Symptom: reads that are at work are cut off, and their callers left without an answer.
// Sequence: a caller sends reads at once; the first is still unanswered when its time is
// over, and the caller ends the connection with all that it sent behind it.
// Cause: the router tells it that the time is over just when the caller leaves.
func TestCallerIsToldBeforeItLeaves(t *testing.T) {
	const patience = 400 * time.Millisecond
	b := start(t, Config{LookAhead: 3, AnswerBefore: patience / 4}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		if strings.HasSuffix(r.URL.Path, "a") {
			<-r.Context().Done()
			return fault.New(fault.DeadlineExceeded, "")
		}
		_, _ = io.WriteString(w, "whole")
		return nil
	})
	p := newPipe(t, b)
	sent := time.Now()
	p.send(fmt.Sprintf("GET /faq/k/a HTTP/1.1\r\nHost: h\r\nX-Deadline: %d\r\n\r\n", patience.Milliseconds()))
	p.get("b")
	status, _ := p.answer()
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(sent) < patience, "%v", time.Since(sent))
	_, body := p.answer()
	assert.Equal(t, body, "whole")
}

// Symptom: a planned stop cuts off reads that were at work.
// Sequence: a caller has sent reads at once; the router stops and closes the connection
// after the answer whose turn it is.
// Cause: the announced end of the connection is the first answer's, not the last's.
func TestStopAnswersAllThatWasBegun(t *testing.T) {
	f := newHeld()
	stopping := make(chan struct{})
	b := start(t, Config{LookAhead: 3, ClosesAfter: func() bool {
		select {
		case <-stopping:
			return true
		default:
			return false
		}
	}}, f.forward)
	p := newPipe(t, b)
	p.get("a", "b", "c")
	waittest.Until(t, "all three are at work", func() bool { return len(f.names(&f.begun)) == len("a b c") })
	close(stopping)
	done := make(chan int, 1)
	go func() { done <- b.server.Shutdown(t.Context()) }()
	p.get("d")
	for _, name := range []string{"a", "b", "c"} {
		close(f.gate(name))
		resp, err := http.ReadResponse(p.in, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "answer to "+name)
		assert.Equal(t, resp.Close, name == "c", name)
	}
	assert.Equal(t, <-done, 0)
	assert.Equal(t, len(f.names(&f.begun)), len("a b c"), "what was not begun is the caller's to send again")
}

// Symptom: reads of one caller are refused while the router has nothing else to do.
// Sequence: they come at once; those that begin before their turn fill the places.
// Cause: what finds no place before its turn is refused, though a refusal could be given
// no sooner than in its turn, when there is one.
func TestRefusedBeforeItsTurnIsServedInIt(t *testing.T) {
	gate := make(chan struct{})
	var mu sync.Mutex
	tries := map[string]int{}
	b := start(t, Config{LookAhead: 3}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		mu.Lock()
		tries[m.ID]++
		first := tries[m.ID] == 1
		mu.Unlock()
		if m.ID == "id-a" {
			<-gate
		} else if first {
			f := fault.New(fault.QueueFull, "")
			if m.ID == "id-c" {
				m.AddAttempt(request.Attempt{Number: 1, Fault: f})
			}
			return f
		}
		_, _ = io.WriteString(w, "whole")
		return nil
	})
	p := newPipe(t, b)
	p.get("a", "b", "c")
	waittest.Until(t, "all have begun", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(tries) == 3
	})
	close(gate)
	for _, status := range []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable} {
		got, _ := p.answer()
		assert.Equal(t, got, status)
	}
}

// An answer that breaks off doesn't look whole, whether it is short and held back or can't be,
// and what is larger than what is kept of it comes whole all the same.
func TestAnswersBeforeTheirTurnStayWhole(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 3*earlyBytes/16)
	b := start(t, Config{LookAhead: 3}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		switch {
		case strings.HasSuffix(r.URL.Path, "a"):
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(w, "first")
			return nil
		case strings.HasSuffix(r.URL.Path, "b"):
			_, _ = io.WriteString(w, large)
			return nil
		}
		if strings.HasSuffix(r.URL.Path, "c") {
			w.Header().Set("Content-Length", "10")
		}
		_, _ = io.WriteString(w, "half")
		return fault.New(fault.AnswerTruncated, "")
	})
	p := newPipe(t, b)
	p.get("a", "b", "c", "d")
	_, body := p.answer()
	assert.Equal(t, body, "first")
	_, body = p.answer()
	assert.Equal(t, len(body), len(large))
	assert.Equal(t, body, large)
	status, body := p.answer()
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(body, "half"), body)
	resp, err := http.ReadResponse(p.in, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	assert.Assert(t, err != nil, "a part must not pass for the whole")
}

// Symptom: reads at which targets are at work are cut off; one notices several aborted
// requests of one connection at one moment, of which one is answer_truncated and the others
// caller_gone.
// Sequence: a caller sends three reads at once, which begin; the answer of one breaks off
// midway; the router ends the connection, as it must not let the part pass for the whole.
// Cause: the header was on its way already, though nobody could be served sooner for it.
func TestAnswerThatBreaksOffCutsNothingBehindIt(t *testing.T) {
	for _, broken := range []string{"a", "b"} {
		t.Run(broken, func(t *testing.T) {
			f := newHeld()
			b := start(t, Config{LookAhead: 3}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
				if !strings.HasSuffix(r.URL.Path, broken) {
					return f.forward(w, r, m)
				}
				<-f.gate(broken)
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "half")
				return fault.New(fault.AnswerTruncated, "")
			})
			p := newPipe(t, b)
			p.get("a", "b", "c")
			waittest.Until(t, "those behind are at work", func() bool { return len(f.names(&f.begun)) == len("a c") })
			for _, name := range []string{"a", "b", "c"} {
				close(f.gate(name))
				status, body := p.answer()
				if name == broken {
					assert.Equal(t, status, http.StatusBadGateway)
					assert.Assert(t, !strings.Contains(body, "half"), body)
					continue
				}
				assert.Equal(t, body, "answer to "+name)
			}
			assert.Equal(t, len(f.gone), 0)
		})
	}
}

// An answer that is held back until it is whole and takes longer than its caller waits is
// given up in time, and those behind it are answered.
func TestAnswerThatIsHeldBackEndsWithItsTime(t *testing.T) {
	b := start(t, Config{LookAhead: 3}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		if !strings.HasSuffix(r.URL.Path, "a") {
			_, _ = io.WriteString(w, "whole")
			return nil
		}
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
		<-r.Context().Done()
		return fault.New(fault.AnswerTruncated, "")
	})
	p := newPipe(t, b)
	p.send("GET /faq/k/a HTTP/1.1\r\nHost: h\r\nX-Deadline: 300\r\n\r\n")
	p.get("b")
	status, _ := p.answer()
	assert.Equal(t, status, http.StatusGatewayTimeout)
	_, body := p.answer()
	assert.Equal(t, body, "whole")
}

// Whatever bytes a caller sends, what is taken for one simple request is one to net/http.
func FuzzSimpleRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n X: folded\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := simpleRequest(data)
		if n == 0 {
			return
		}
		in := bufio.NewReader(strings.NewReader(string(data[:n]) + "rest"))
		r, err := http.ReadRequest(in)
		if err != nil {
			return // the server refuses it and closes the connection
		}
		if r.Body != http.NoBody || r.Close {
			t.Fatalf("%q has a body, or is the last", data[:n])
		}
		rest, err := io.ReadAll(in)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "rest")
	})
}
