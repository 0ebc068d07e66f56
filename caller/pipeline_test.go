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

// pipeliningClient is a caller that sends requests before the first is answered.
type pipeliningClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dialPipelining(t *testing.T, s *testServer) *pipeliningClient {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &pipeliningClient{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (p *pipeliningClient) send(text string) {
	_, err := io.WriteString(p.conn, text)
	assert.NilError(p.t, err)
}

// get sends requests for the paths in a single write.
func (p *pipeliningClient) get(paths ...string) {
	var all strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&all, "GET /x/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-%s\r\n\r\n", path, path)
	}
	p.send(all.String())
}

// answer reads one answer and returns its status and body.
func (p *pipeliningClient) answer() (int, string) {
	p.t.Helper()
	resp, err := http.ReadResponse(p.in, nil)
	assert.NilError(p.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	return resp.StatusCode, string(body)
}

// gatedForwarder is a forwarder that answers a request once the gate named by the last segment
// of its path is closed.
type gatedForwarder struct {
	mu        sync.Mutex
	started   []string
	gates     map[string]chan struct{}
	cancelled []string
}

func newGatedForwarder() *gatedForwarder { return &gatedForwarder{gates: map[string]chan struct{}{}} }

func (f *gatedForwarder) gate(name string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gates[name] == nil {
		f.gates[name] = make(chan struct{})
	}
	return f.gates[name]
}

func (f *gatedForwarder) forward(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	gate := f.gate(name)
	f.mu.Lock()
	f.started = append(f.started, name)
	f.mu.Unlock()
	select {
	case <-gate:
	case <-r.Context().Done():
		f.mu.Lock()
		f.cancelled = append(f.cancelled, name)
		f.mu.Unlock()
		return fault.New(fault.CallerGone, "")
	}
	_, _ = io.WriteString(w, "answer to "+name)
	return nil
}

func (f *gatedForwarder) names(list *[]string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(*list, " ")
}

func startPipelining(t *testing.T, f *gatedForwarder) *pipeliningClient {
	return dialPipelining(t, startServer(t, Config{MaxPipelined: 3}, f.forward))
}

// Guards against fast reads that take as long as the slowest read that their caller sent
// before them. A caller pipelines three reads and the first is slow; if the requests of a
// connection are served one after the other, the others only start after it.
func TestPipelinedRequestsStartBehindASlowOne(t *testing.T) {
	f := newGatedForwarder()
	p := startPipelining(t, f)
	p.get("a", "b", "c")
	waittest.Until(t, "all three are in flight", func() bool { return len(f.names(&f.started)) == len("a b c") })
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

// Requests that arrive while the first is in flight are started too, up to the limit.
func TestLaterPipelinedRequestsStartUpToTheLimit(t *testing.T) {
	f := newGatedForwarder()
	p := startPipelining(t, f)
	p.get("a")
	waittest.Until(t, "the first is in flight", func() bool { return f.names(&f.started) == "a" })
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		p.get(name)
	}
	waittest.Until(t, "three more are in flight", func() bool { return len(f.names(&f.started)) == len("a b c d") })
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(f.names(&f.started)), len("a b c d"))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		close(f.gate(name))
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		_, body := p.answer()
		assert.Equal(t, body, "answer to "+name)
	}
}

// A request that may run at most once, has a body, or could be parsed in two ways waits for
// its turn.
func TestOnlySimpleRepeatableRequestsStartEarly(t *testing.T) {
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
			f := newGatedForwarder()
			p := startPipelining(t, f)
			p.get("a")
			p.send(text)
			waittest.Until(t, "the first is in flight", func() bool { return f.names(&f.started) == "a" })
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, f.names(&f.started), "a")
			close(f.gate("a"))
			_, body := p.answer()
			assert.Equal(t, body, "answer to a")
			close(f.gate("b"))
			status, _ := p.answer()
			assert.Assert(t, status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusNotFound, "%d", status)
		})
	}
}

// Guards against targets that keep working for callers that have left. A caller pipelines
// reads and closes its connection; the end of the connection must cancel all of them, not just
// the one whose turn it is.
func TestClosedConnectionCancelsPipelinedRequests(t *testing.T) {
	f := newGatedForwarder()
	p := startPipelining(t, f)
	p.get("a", "b", "c")
	waittest.Until(t, "all three are in flight", func() bool { return len(f.names(&f.started)) == len("a b c") })
	p.conn.Close()
	waittest.Until(t, "all three were cancelled", func() bool { return len(f.names(&f.cancelled)) == len("a b c") })
}

// Guards against a target's slot that stays occupied for ever by an answer of which 64 KiB
// have arrived. A caller pipelines reads and closes its connection while the second, long
// answer waits for its turn; the blocked write of that answer must fail when the connection
// ends.
func TestClosedConnectionUnblocksBufferedAnswer(t *testing.T) {
	ended := make(chan struct{})
	full := make(chan struct{})
	s := startServer(t, Config{MaxPipelined: 3}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		if strings.HasSuffix(r.URL.Path, "a") {
			<-r.Context().Done()
			return fault.New(fault.CallerGone, "")
		}
		defer close(ended)
		part := make([]byte, maxPipelinedBytes)
		if _, err := w.Write(part); err == nil {
			close(full)
			_, err = w.Write(part)
			assert.Check(t, err != nil)
		}
		return fault.New(fault.CallerGone, "")
	})
	p := dialPipelining(t, s)
	p.get("a", "b")
	<-full
	p.conn.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the write is still blocked")
	}
}

// Guards against reads in flight that are cancelled and never answered. A caller pipelines
// reads, the first is unanswered at its deadline, and the caller closes the connection and so
// cancels the others. The timeout answer must be sent early enough to arrive before the
// deadline.
func TestTimeoutIsAnsweredBeforeTheCallersDeadline(t *testing.T) {
	const deadline = 400 * time.Millisecond
	s := startServer(t, Config{MaxPipelined: 3, DeadlineMargin: deadline / 4}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		if strings.HasSuffix(r.URL.Path, "a") {
			<-r.Context().Done()
			return fault.New(fault.DeadlineExceeded, "")
		}
		_, _ = io.WriteString(w, "whole")
		return nil
	})
	p := dialPipelining(t, s)
	sent := time.Now()
	p.send(fmt.Sprintf("GET /faq/k/a HTTP/1.1\r\nHost: h\r\nX-Deadline: %d\r\n\r\n", deadline.Milliseconds()))
	p.get("b")
	status, _ := p.answer()
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(sent) < deadline, "%v", time.Since(sent))
	_, body := p.answer()
	assert.Equal(t, body, "whole")
}

// Guards against a planned stop that cuts off reads in flight. A caller has pipelined reads,
// and the router announces the end of the connection and closes it after the first answer,
// when it should do so only after the last one.
func TestShutdownAnswersStartedPipelinedRequests(t *testing.T) {
	f := newGatedForwarder()
	stopping := make(chan struct{})
	s := startServer(t, Config{MaxPipelined: 3, CloseAfterAnswer: func() bool {
		select {
		case <-stopping:
			return true
		default:
			return false
		}
	}}, f.forward)
	p := dialPipelining(t, s)
	p.get("a", "b", "c")
	waittest.Until(t, "all three are in flight", func() bool { return len(f.names(&f.started)) == len("a b c") })
	close(stopping)
	done := make(chan int, 1)
	go func() { done <- s.server.Shutdown(t.Context()) }()
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
	assert.Equal(t, len(f.names(&f.started)), len("a b c"), "a request that was not started must not be forwarded")
}

// Guards against reads that are refused although the router is otherwise idle. Pipelined reads
// of one caller fill the capacity before their turn. A refusal could not be sent before the
// turn anyway, and by then there is room, so the request must be served again instead.
func TestRequestRefusedBeforeItsTurnIsServedInItsTurn(t *testing.T) {
	gate := make(chan struct{})
	var mu sync.Mutex
	tries := map[string]int{}
	s := startServer(t, Config{MaxPipelined: 3}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
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
	p := dialPipelining(t, s)
	p.get("a", "b", "c")
	waittest.Until(t, "all have started", func() bool {
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

// A pipelined answer that breaks off must not look complete, whether it is short and held back
// or not, and an answer larger than the buffer must arrive complete.
func TestPipelinedAnswersStayComplete(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 3*maxPipelinedBytes/16)
	s := startServer(t, Config{MaxPipelined: 3}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
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
	p := dialPipelining(t, s)
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
	assert.Assert(t, err != nil, "a truncated answer looked complete")
}

// Guards against reads in flight that are cancelled because another answer on their connection
// broke off. The symptom is several aborted requests of one connection at the same moment, one
// with answer_truncated and the others with caller_gone. A caller pipelines three reads and
// the answer to one breaks off midway. If its header has already been sent, the router has to
// end the connection so that the part does not look complete; that is why short answers are
// held back.
func TestTruncatedAnswerDoesNotCancelRequestsBehindIt(t *testing.T) {
	for _, broken := range []string{"a", "b"} {
		t.Run(broken, func(t *testing.T) {
			f := newGatedForwarder()
			s := startServer(t, Config{MaxPipelined: 3}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
				if !strings.HasSuffix(r.URL.Path, broken) {
					return f.forward(w, r, m)
				}
				<-f.gate(broken)
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "half")
				return fault.New(fault.AnswerTruncated, "")
			})
			p := dialPipelining(t, s)
			p.get("a", "b", "c")
			waittest.Until(t, "the others are in flight", func() bool { return len(f.names(&f.started)) == len("a c") })
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
			assert.Equal(t, len(f.cancelled), 0)
		})
	}
}

// An answer that is held back and takes longer than its deadline is answered with a timeout in
// time, and the requests behind it are answered.
func TestHeldAnswerTimesOut(t *testing.T) {
	s := startServer(t, Config{MaxPipelined: 3}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
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
	p := dialPipelining(t, s)
	p.send("GET /faq/k/a HTTP/1.1\r\nHost: h\r\nX-Deadline: 300\r\n\r\n")
	p.get("b")
	status, _ := p.answer()
	assert.Equal(t, status, http.StatusGatewayTimeout)
	_, body := p.answer()
	assert.Equal(t, body, "whole")
}

// FuzzSimpleRequest checks that net/http parses whatever simpleRequestLength delimits as one
// request without a body, and consumes exactly those bytes.
func FuzzSimpleRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n X: folded\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := simpleRequestLength(data)
		if n == 0 {
			return
		}
		in := bufio.NewReader(strings.NewReader(string(data[:n]) + "rest"))
		r, err := http.ReadRequest(in)
		if err != nil {
			return // the server refuses the request and closes the connection
		}
		if r.Body != http.NoBody || r.Close {
			t.Fatalf("%q has a body or closes the connection", data[:n])
		}
		rest, err := io.ReadAll(in)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "rest")
	})
}
