package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
)

// persistentCaller is a caller that keeps its connection as long as possible.
type persistentCaller struct {
	fleet *fleet
	g     *Gateway
	name  string
	// depth is how many requests it sends before it reads the answers.
	depth     int
	conn      net.Conn
	in        *bufio.Reader
	sentCount int
}

// sentRequest is a request that a caller sent, and the status of its answer.
type sentRequest struct {
	id     string
	at     time.Time
	status int
}

func (p *persistentCaller) connect() bool {
	conn, err := net.Dial("tcp", p.g.callerListener.Addr().String())
	if err != nil {
		return false
	}
	p.fleet.t.Cleanup(func() { conn.Close() })
	p.conn, p.in = conn, bufio.NewReader(conn)
	return true
}

// sendBatch sends depth requests at once and reads their answers; a status of zero means no answer. It
// reports whether the connection can be used further.
func (p *persistentCaller) sendBatch(path string) ([]sentRequest, bool) {
	var sent []sentRequest
	var text strings.Builder
	for range p.depth {
		p.sentCount++
		id := fmt.Sprintf("%s-%d", p.name, p.sentCount)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 60000\r\n\r\n",
			path, host, platform.HeaderRequestID, id, platform.HeaderDeadline)
		sent = append(sent, sentRequest{id: id, at: time.Now()})
	}
	if _, err := io.WriteString(p.conn, text.String()); err != nil {
		return sent, false
	}
	for i := range sent {
		resp, err := http.ReadResponse(p.in, nil)
		if err != nil {
			return sent, false
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			return sent, false
		}
		sent[i].status = resp.StatusCode
		if resp.Close {
			return sent, false
		}
	}
	return sent, true
}

// Guards against requests that are accepted late in a planned stop and then cut off with the router's own
// 504 at the end of the grace. One caller has a read in flight that outlasts the grace, and further requests
// behind it. Other callers, with idle or with busy connections, continue to send. The fault was that
// the stop waited for answers that had to wait for their turn before it closed listeners and connections,
// see caller.Server.Shutdown; "request" log lines between "no more requests accepted" and "closing
// connections" had nth above 1 and code=deadline_exceeded.
func TestStopAcceptsNoRequestsThatItCannotAnswer(t *testing.T) {
	f := newFleet(t, 1, strings.ReplaceAll(plainConfig, `"timeout":"1000ms"`, `"timeout":"60000ms"`), plainTarget("a"), plainTarget("b"))
	g := f.gateways[0]
	f.setSlots(64)
	var longReads atomic.Int64
	slow := func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/read/long") {
			longReads.Add(1)
			time.Sleep(2 * g.opts.Grace)
		}
		return false
	}
	for _, target := range f.targets {
		target.SetServiceTime(300 * time.Millisecond)
		target.SetHandler(slow)
	}
	var mu sync.Mutex
	var all []sentRequest
	record := func(sent []sentRequest) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, sent...)
	}
	var callers sync.WaitGroup
	stopped := make(chan struct{})

	blocker := &persistentCaller{fleet: f, g: g, name: "blocker", depth: 3}
	assert.Assert(t, blocker.connect())
	callers.Go(func() { blocker.sendBatch("/read/long") })
	waittest.Until(t, "the long read and those behind it are at work", func() bool { return longReads.Load() == int64(blocker.depth) })
	var idle []*persistentCaller
	for i := range 4 {
		p := &persistentCaller{fleet: f, g: g, name: fmt.Sprintf("rested-%d", i), depth: 1}
		assert.Assert(t, p.connect())
		sent, kept := p.sendBatch("/read/first")
		assert.Assert(t, kept && sent[0].status == http.StatusOK)
		idle = append(idle, p)
	}
	for i := range 6 {
		p := &persistentCaller{fleet: f, g: g, name: fmt.Sprintf("busy-%d", i), depth: 1 + i%3}
		callers.Go(func() {
			for p.connect() {
				for kept := true; kept; {
					var sent []sentRequest
					sent, kept = p.sendBatch("/read/next")
					record(sent)
				}
				select {
				case <-stopped:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	began := time.Now()
	for i, p := range idle {
		// From shortly before the router stops accepting requests to shortly before the grace ends.
		callers.Go(func() {
			time.Sleep(time.Until(began.Add(fraction(g.opts.Grace, acceptShare) + time.Duration(i-1)*300*time.Millisecond)))
			sent, _ := p.sendBatch("/read/late")
			record(sent)
		})
	}
	g.Stop()
	close(stopped)
	callers.Wait()
	notAccepted := began.Add(fraction(g.opts.Grace, acceptShare))
	served := 0
	for _, r := range all {
		if r.status == http.StatusOK {
			served++
		}
		assert.Check(t, r.status != http.StatusGatewayTimeout, "%s was sent %v after the router stopped accepting requests, and was cut off", r.id, r.at.Sub(notAccepted))
		if r.status == http.StatusServiceUnavailable {
			assert.Check(t, f.runsOf(r.id) == 0, "%s ran, but its answer says that it did not", r.id)
		}
		if r.status == 0 {
			assert.Check(t, f.runsOf(r.id) == 0, "%s ran, but its caller got no answer", r.id)
		}
	}
	assert.Assert(t, served > 0)
}

// Guards against requests that are accepted late in a long grace and cut off at its end.
func TestNoRequestsAreAcceptedLateInALongGrace(t *testing.T) {
	for _, grace := range []time.Duration{6 * time.Second, 10 * time.Second, time.Minute} {
		assert.Assert(t, acceptTime(grace) < 3*time.Second, "%v", grace)
		assert.Assert(t, acceptTime(grace) > 2*time.Second, "the platform checks readiness twice before: %v", grace)
	}
	assert.Equal(t, acceptTime(2*time.Second), time.Second)
}
