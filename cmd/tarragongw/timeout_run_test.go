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
	// firstTimeout is the timeout of all routes before the change and fallenTimeout after it. finalWithin is the time after it by
	// which each request must have its final answer, or a closed connection where the answer had begun.
	firstTimeout  = 6 * time.Second
	fallenTimeout = time.Second
	finalWithin   = 500 * time.Millisecond
	// callerPatience is how long callers wait.
	callerPatience = 8 * time.Second
	// slowWork is how long the targets of the service "slow" work, which have a slot each.
	slowWork = 300 * time.Millisecond
	// maxSendSpread bounds the time between the first and the last request of a round.
	maxSendSpread = 500 * time.Millisecond
)

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
	// timeout is that of the route when the request was sent. took is until a whole answer had come, or until the caller saw that
	// it was cut off.
	timeout, took time.Duration
	status        int
	whole         bool
}

// timeoutRun has real router processes, targets whose answers don't end, and callers that ask for these.
type timeoutRun struct {
	*system
	random  *rand.Rand
	version int
	nextID  atomic.Int64

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
	r := &timeoutRun{
		system: &system{t: t, bin: t.TempDir(), store: platformtest.NewStore(), bounds: configBounds},
		random: rand.New(rand.NewPCG(*timeoutSeed, 0)),
	}
	t.Cleanup(r.store.Close)
	buildCommands(t, r.bin)
	r.setTimeout(firstTimeout)
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
	return r
}

// setTimeout writes a configuration in which all routes have the timeout.
func (r *timeoutRun) setTimeout(timeout time.Duration) {
	r.version++
	r.store.Put(platform.ConfigKey, timeoutConfig(r.version, timeout))
}

// fall lowers the timeout of all routes, and waits until that must be in force.
func (r *timeoutRun) fall() {
	r.setTimeout(fallenTimeout)
	time.Sleep(configApply)
}

// answerBroken answers requests whose path names a broken answer.
func answerBroken(w http.ResponseWriter, r *http.Request) bool {
	kind := strings.ReplaceAll(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "-", " ")
	answer := platformtest.AnswerOfKind(platformtest.UnfinishedAnswers, kind)
	if answer != nil {
		answer.To(w, r)
	}
	return answer != nil
}

// ask sends requests for a kind of answer over one connection, to a route with a timeout, and records how each ends.
func (r *timeoutRun) ask(p *process, how way, path, kind string, timeout time.Duration) {
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
		a := finalAnswer{id: id, kind: kind, way: how.name, timeout: timeout}
		resp, err := http.ReadResponse(in, nil)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			a.status, a.whole = resp.StatusCode, err == nil
		}
		a.took = time.Since(sent)
		if a.whole {
			a.took -= sinceLastBytes(r.t, conn) // on a busy machine callers read late what is there
		}
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

// round asks each router in all ways for all kinds of answers, while routes have a timeout.
func (r *timeoutRun) round(asking *sync.WaitGroup, timeout time.Duration) {
	later := func(p *process, how way, path, kind string) {
		wait := time.Duration(r.random.Int64N(int64(maxSendSpread)))
		asking.Go(func() {
			time.Sleep(wait)
			r.ask(p, how, path, kind, timeout)
		})
	}
	for i := range *timeoutCopies * len(r.routers) {
		p := r.routers[i%len(r.routers)]
		for _, how := range ways {
			for _, a := range platformtest.UnfinishedAnswers {
				later(p, how, "/"+how.route+"/"+strings.ReplaceAll(a.Kind, " ", "-"), a.Kind)
			}
		}
		later(p, deepWay, "/read/nothing", "nothing")
		for range 2 {
			later(p, ways[2], "/slow/1", "one slot")
			later(p, deepWay, "/slow/1", "one slot")
		}
	}
}

// violations returns the requests that had no final answer in time.
func (r *timeoutRun) violations() (found []string) {
	for _, a := range r.answers {
		broken := platformtest.AnswerOfKind(platformtest.UnfinishedAnswers, a.kind)
		why := ""
		switch {
		case a.took > a.timeout+finalWithin:
			why = "too late"
		case broken != nil && broken.Short && (!a.whole || a.status < http.StatusInternalServerError):
			why = "not a whole failure"
		case broken != nil && a.whole && a.status == http.StatusOK:
			why = "taken for a whole answer"
		default:
			continue
		}
		found = append(found, fmt.Sprintf("%s, %s, %s: %s, status %d, whole %v, after %v", a.id, a.way, a.kind, why, a.status, a.whole, a.took))
	}
	return found
}

// check fails if any request had no final answer in time.
func (r *timeoutRun) check() {
	r.t.Helper()
	found := r.violations()
	r.t.Logf("%d requests, %d violations", len(r.answers), len(found))
	if len(found) > 0 && *timeoutLogs != "" {
		for _, p := range r.routers {
			assert.NilError(r.t, os.WriteFile(filepath.Join(*timeoutLogs, p.name+".log"), []byte(p.output.String()), 0o600))
		}
	}
	assert.Equal(r.t, len(found), 0, "%s", strings.Join(found[:min(len(found), 200)], "\n"))
}

// runTimeouts asks routers that share so many cores.
func runTimeouts(t *testing.T, cores int) {
	t.Helper()
	r := newTimeoutRun(t, *timeoutRouters, cores)
	r.fall()
	for range *timeoutRounds {
		var asking sync.WaitGroup
		r.round(&asking, fallenTimeout)
		asking.Wait()
	}
	r.check()
}

// Guards against requests that have no final answer soon after the timeout of their route, whatever their target does and whatever
// they wait for.
func TestRequestsEndSoonAfterTheirRoutesTimeout(t *testing.T) {
	inPlainBuild(t, func(t *testing.T) { runTimeouts(t, 0) })
}

// Guards against long bodies that keep the processor from requests whose time is over.
func TestRequestsEndSoonAfterTheirRoutesTimeoutOnOneCore(t *testing.T) {
	inPlainBuild(t, func(t *testing.T) { runTimeouts(t, 1) })
}

// runFallenTimeouts asks routers that share so many cores before and after the timeout falls.
func runFallenTimeouts(t *testing.T, cores int) {
	t.Helper()
	r := newTimeoutRun(t, *timeoutRouters, cores)
	for range *timeoutRounds {
		r.setTimeout(firstTimeout)
		time.Sleep(configApply)
		var asking sync.WaitGroup
		r.round(&asking, firstTimeout)
		time.Sleep(maxSendSpread)
		r.fall()
		r.round(&asking, fallenTimeout)
		asking.Wait()
	}
	r.check()
}

// Guards against the same for requests that are sent after the timeout fell, while others still have the longer one.
func TestRequestsEndSoonAfterATimeoutThatFellBesideOthers(t *testing.T) {
	inPlainBuild(t, func(t *testing.T) {
		t.Run("all cores", func(t *testing.T) { runFallenTimeouts(t, 0) })
		t.Run("one core", func(t *testing.T) { runFallenTimeouts(t, 1) })
	})
}
