package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

// Flags of longer runs, see the Makefile.
var (
	timeoutRounds  = flag.Int("timeout.rounds", 1, "how often the tests of timeouts send each kind of request")
	timeoutCopies  = flag.Int("timeout.copies", 1, "how many of each they send at the same time")
	timeoutSeed    = flag.Uint64("timeout.seed", 1, "the seed of the order of these requests")
	timeoutRouters = flag.Int("timeout.routers", 3, "how many routers they have")
	timeoutLogs    = flag.String("timeout.logs", "", "the folder for the logs of a failed run; empty for none")
)

const (
	// fallenTimeout is the timeout of all routes after the change, and finalWithin the time after it by which each request must
	// have its final answer, or a closed connection where the answer had begun.
	fallenTimeout = time.Second
	finalWithin   = 500 * time.Millisecond
	// callerPatience is how long callers wait.
	callerPatience = 8 * time.Second
	// slowWork is how long the targets of the service "slow" work, which have a slot each.
	slowWork = 300 * time.Millisecond
	// maxSendSpread bounds the time between the first and the last request of a round.
	maxSendSpread = 500 * time.Millisecond
)

// brokenAnswer is an answer of a target that doesn't end, or that ends too late.
type brokenAnswer struct {
	kind  string
	begin string
	// again follows, again and again with the pause in between; empty for silence.
	again string
	pause time.Duration
	// isShort is set if a caller must get a failure in place of the answer.
	isShort bool
}

// answerHead is the head of an answer, of which the text is the rest.
func answerHead(rest string) string {
	return "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": ID\r\n" + platform.HeaderStamp + ": stamp\r\n" + rest + "\r\n\r\n"
}

var brokenAnswers = []brokenAnswer{
	{kind: "nothing", isShort: true},
	{kind: "half a head", begin: "HTTP/1.1 200 OK\r\nContent-Le", isShort: true},
	{kind: "head lines without end", begin: "HTTP/1.1 200 OK\r\n", again: strings.Repeat("X-Fill: a\r\n", 100), isShort: true},
	{kind: "interim answers without end", again: "HTTP/1.1 103 Early Hints\r\n\r\n", pause: 50 * time.Millisecond, isShort: true},
	{kind: "no answer", again: strings.Repeat("z", 1000), isShort: true},
	{kind: "no body", begin: answerHead("Content-Length: 400"), isShort: true},
	{kind: "half of a short body", begin: answerHead("Content-Length: 400") + strings.Repeat("b", 200), isShort: true},
	{kind: "half a chunk", begin: answerHead("Transfer-Encoding: chunked") + "190\r\n" + strings.Repeat("b", 200), isShort: true},
	{kind: "no last chunk", begin: answerHead("Transfer-Encoding: chunked") + "c8\r\n" + strings.Repeat("b", 200) + "\r\n", isShort: true},
	{kind: "a byte each 50 ms", begin: answerHead("Content-Length: 400"), again: "b", pause: 50 * time.Millisecond, isShort: true},
	{kind: "half of a long body", begin: answerHead("Content-Length: 400000") + strings.Repeat("b", 200000)},
	{kind: "no length and no end", begin: answerHead("Connection: close"), again: strings.Repeat("b", 4096)},
	{kind: "chunks without end", begin: answerHead("Transfer-Encoding: chunked"), again: "1000\r\n" + strings.Repeat("b", 4096) + "\r\n"},
}

// write writes the answer to a request until its caller closes the connection.
func (a *brokenAnswer) write(conn net.Conn, id string) {
	defer conn.Close()
	_, err := io.WriteString(conn, strings.Replace(a.begin, "ID", id, 1))
	for err == nil && a.again != "" {
		_, err = io.WriteString(conn, a.again)
		time.Sleep(a.pause)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, conn) // until the connection ends
	}
}

// way is how a caller sends requests over one connection.
type way struct {
	name, method, route string
	pipelined           int
	hasDeadline         bool
	// body is the length of each body in bytes. slowly is the time over which it is sent, in chunks; zero for at once, negative
	// for never.
	body   int
	slowly time.Duration
	// expects has the caller wait for 100 Continue.
	expects bool
}

var ways = []way{
	{name: "GET", method: http.MethodGet, route: "read", pipelined: 1, hasDeadline: true},
	{name: "GET without a deadline", method: http.MethodGet, route: "read", pipelined: 1},
	{name: "four GETs at once", method: http.MethodGet, route: "read", pipelined: 4, hasDeadline: true},
	{name: "POST", method: http.MethodPost, route: "pay", pipelined: 1, hasDeadline: true, body: 300},
	{name: "slow POST", method: http.MethodPost, route: "pay", pipelined: 1, hasDeadline: true, body: 6000, slowly: 6 * time.Second},
	{name: "POST without its body", method: http.MethodPost, route: "pay", pipelined: 1, hasDeadline: true, body: 300, slowly: -1},
	{name: "POST that expects to continue", method: http.MethodPost, route: "pay", pipelined: 1, hasDeadline: true, body: 300, slowly: -1, expects: true},
	{name: "upload", method: http.MethodPost, route: "pay", pipelined: 1, hasDeadline: true, body: 8 << 20},
}

// deepWay sends more requests at once than begin before their turn.
var deepWay = way{name: "24 GETs at once", method: http.MethodGet, route: "read", pipelined: 24, hasDeadline: true}

// finalAnswer is how a request ended at its caller.
type finalAnswer struct {
	id, kind, way string
	took          time.Duration
	status        int
	whole         bool
}

// timeoutRun has real router processes, targets whose answers don't end, and callers that ask for these.
type timeoutRun struct {
	*system
	nextID atomic.Int64

	mu      sync.Mutex
	answers []finalAnswer
}

func timeoutConfig(version int, timeout time.Duration) []byte {
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":"/%s/","route_type":%q,"timeout":"%dms","target_latency":"400ms","service":%q,"max_attempts":2}`,
			name, name, kind, timeout.Milliseconds(), service)
	}
	routes := []string{route("read", "safe", "any"), route("pay", "unsafe", "any"), route("slow", "safe", "slow")}
	return fmt.Appendf(nil, `{"version":"%08x","routes":[%s],"services":[{"name":"any","max_connections":4000},{"name":"slow","max_connections":120}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":16777216,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`, version, strings.Join(routes, ","))
}

func newTimeoutRun(t *testing.T, routers, cores int) *timeoutRun {
	t.Helper()
	r := &timeoutRun{system: &system{t: t, bin: t.TempDir(), store: platformtest.NewStore(), bounds: configBounds}}
	t.Cleanup(r.store.Close)
	buildCommands(t, r.bin)
	r.store.Put(platform.ConfigKey, timeoutConfig(1, 6*fallenTimeout))
	for i := range 15 {
		service := "any"
		if i >= 12 {
			service = "slow"
		}
		target := platformtest.NewTarget(fmt.Sprintf("%s-%d", service, i), service, "hall", false)
		t.Cleanup(target.Close)
		if target.Slots = 1 << 10; service == "slow" {
			target.Slots = 1
			target.SetServiceTime(slowWork)
		} else {
			target.SetHandler(answerBroken)
		}
		target.Register(r.store)
		r.targets = append(r.targets, target)
	}
	for i, block := range freePortBlocks(t, routers) {
		onCores(t, cores, func() { r.start(fmt.Sprintf("edge-%d", i), block) })
	}
	for _, p := range r.routers {
		eventually(t, p.name+" serves", func() bool { return r.getPath(p, "/read/whole", 0) == http.StatusOK })
	}
	r.store.Put(platform.ConfigKey, timeoutConfig(2, fallenTimeout))
	time.Sleep(configApply)
	return r
}

// answerBroken answers requests whose path names a broken answer.
func answerBroken(w http.ResponseWriter, r *http.Request) bool {
	kind := strings.ReplaceAll(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "-", " ")
	i := slices.IndexFunc(brokenAnswers, func(a brokenAnswer) bool { return a.kind == kind })
	if i < 0 {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		go brokenAnswers[i].write(conn, r.Header.Get(platform.HeaderRequestID))
	}
	return err == nil
}

// ask sends requests for a kind of answer over one connection, and records how each ends.
func (r *timeoutRun) ask(p *process, how way, path, kind string) {
	conn, err := net.Dial("tcp", p.caller)
	assert.NilError(r.t, err)
	defer conn.Close()
	assert.NilError(r.t, conn.SetDeadline(time.Now().Add(callerPatience)))
	var ids []string
	var heads strings.Builder
	for range how.pipelined {
		id := fmt.Sprintf("id-%d", r.nextID.Add(1))
		ids = append(ids, id)
		fmt.Fprintf(&heads, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", how.method, path, servedHost, platform.HeaderRequestID, id)
		if how.hasDeadline {
			fmt.Fprintf(&heads, "%s: %d\r\n", platform.HeaderDeadline, callerPatience.Milliseconds())
		}
		switch {
		case how.slowly > 0:
			heads.WriteString("Transfer-Encoding: chunked\r\n")
		case how.body > 0:
			fmt.Fprintf(&heads, "Content-Length: %d\r\n", how.body)
		}
		if how.expects {
			heads.WriteString("Expect: 100-continue\r\n")
		}
		heads.WriteString("\r\n")
	}
	sent := time.Now()
	_, err = io.WriteString(conn, heads.String())
	assert.NilError(r.t, err)
	go sendBody(conn, how)
	in := bufio.NewReader(conn)
	for _, id := range ids {
		a := finalAnswer{id: id, kind: kind, way: how.name}
		resp, err := http.ReadResponse(in, nil)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			a.status, a.whole = resp.StatusCode, err == nil
		}
		a.took = time.Since(sent)
		r.mu.Lock()
		r.answers = append(r.answers, a)
		r.mu.Unlock()
	}
}

// sendBody sends the body of a request until the connection ends.
func sendBody(conn net.Conn, how way) {
	switch {
	case how.slowly < 0:
		return
	case how.slowly == 0:
		_, _ = conn.Write(make([]byte, how.body)) // the router may close the connection before
		return
	}
	const pieces = 60
	for range pieces {
		time.Sleep(how.slowly / pieces)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", how.body/pieces, strings.Repeat("b", how.body/pieces)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// round asks each router in all ways for all kinds of answers.
func (r *timeoutRun) round(random *rand.Rand) {
	var asking sync.WaitGroup
	later := func(p *process, how way, path, kind string) {
		wait := time.Duration(random.Int64N(int64(maxSendSpread)))
		asking.Go(func() {
			time.Sleep(wait)
			r.ask(p, how, path, kind)
		})
	}
	for i := range *timeoutCopies * len(r.routers) {
		p := r.routers[i%len(r.routers)]
		for _, how := range ways {
			for _, a := range brokenAnswers {
				later(p, how, "/"+how.route+"/"+strings.ReplaceAll(a.kind, " ", "-"), a.kind)
			}
		}
		later(p, deepWay, "/read/nothing", "nothing")
		for range 2 {
			later(p, ways[2], "/slow/1", "one slot")
			later(p, deepWay, "/slow/1", "one slot")
		}
	}
	asking.Wait()
}

// violations returns the requests that had no final answer in time.
func (r *timeoutRun) violations() (found []string) {
	for _, a := range r.answers {
		broken := slices.IndexFunc(brokenAnswers, func(b brokenAnswer) bool { return b.kind == a.kind })
		why := ""
		switch {
		case a.took > fallenTimeout+finalWithin:
			why = "too late"
		case broken >= 0 && brokenAnswers[broken].isShort && (!a.whole || a.status < http.StatusInternalServerError):
			why = "not a whole failure"
		case broken >= 0 && a.whole && a.status == http.StatusOK:
			why = "taken for a whole answer"
		default:
			continue
		}
		found = append(found, fmt.Sprintf("%s, %s, %s: %s, status %d, whole %v, after %v", a.id, a.way, a.kind, why, a.status, a.whole, a.took))
	}
	return found
}

// runTimeouts asks routers that share so many cores, and fails if any request has no final answer in time.
func runTimeouts(t *testing.T, cores int) {
	t.Helper()
	r := newTimeoutRun(t, *timeoutRouters, cores)
	random := rand.New(rand.NewPCG(*timeoutSeed, 0))
	for range *timeoutRounds {
		r.round(random)
	}
	found := r.violations()
	t.Logf("%d requests, %d violations", len(r.answers), len(found))
	if len(found) > 0 && *timeoutLogs != "" {
		for _, p := range r.routers {
			assert.NilError(t, os.WriteFile(filepath.Join(*timeoutLogs, p.name+".log"), []byte(p.output.String()), 0o600))
		}
	}
	assert.Equal(t, len(found), 0, "%s", strings.Join(found[:min(len(found), 200)], "\n"))
}

// Guards against requests that have no final answer soon after the timeout of their route, whatever their target does and whatever
// they wait for.
func TestRequestsEndSoonAfterTheirRoutesTimeout(t *testing.T) { runTimeouts(t, 0) }

// Guards against long bodies that keep the processor from requests whose time is over.
func TestRequestsEndSoonAfterTheirRoutesTimeoutOnOneCore(t *testing.T) { runTimeouts(t, 1) }
