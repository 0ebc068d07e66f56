package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tarragongw/platform"
)

// endpoint is a server of a service, as the pages describe it. It speaks HTTP/1.1 on raw connections, so that a case can
// decide on each byte.
type endpoint struct {
	w                 *world
	id, service, zone string
	slots, queue      int
	keyed             bool
	// work is how long a request runs.
	work time.Duration
	// extra decides whether the answer to a request or an order is sent once more, late: when the next request has arrived
	// on its connection.
	extra func(e *endpoint, a *answered, next *http.Request) bool
	// onRun is called when a request begins to run.
	onRun func(e *endpoint, id string)

	// onGrant is called when the endpoint has taken keys.
	onGrant func(e *endpoint, from, to int, fence uint64)
	// hijack takes over a connection and reports whether it did, at its start and before each request.
	hijack func(conn net.Conn) bool

	listener net.Listener

	mu       sync.Mutex
	born     int64
	seq      uint64
	state    string
	gone     bool
	held     []grant
	highest  [1 << 16]uint64
	running  int
	waiting  int
	freed    *sync.Cond
	keysBusy map[int]int
	// holdEnd is when the last hold of each key runs out if it isn't released.
	holdEnd [1 << 16]time.Time
	conns   map[net.Conn]bool
}

type grant struct {
	from, to int
	fence    uint64
	until    time.Time
}

// answered is an answer that was sent on a connection.
type answered struct {
	what, id string
	status   int
	bytes    []byte
}

func (w *world) addEndpoint(e *endpoint) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.w, e.listener, e.born, e.state = w, l, time.Now().UnixMilli(), "ready"
	e.freed = sync.NewCond(&e.mu)
	e.keysBusy, e.conns = map[int]int{}, map[net.Conn]bool{}
	go e.accept()
	e.register()
	w.jobs.Add(1)
	go func() {
		defer w.jobs.Done()
		for w.sleep(heartbeat) {
			if !e.isGone() {
				e.register()
			}
		}
	}()
	return nil
}

func (e *endpoint) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// register writes the endpoint's entry.
func (e *endpoint) register() {
	e.mu.Lock()
	e.seq++
	entry := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmup_left":"0ms"}}`,
		e.listener.Addr(), e.born, e.service, e.zone, e.slots, e.state, e.seq)
	e.mu.Unlock()
	e.w.store.Put(platform.TargetPrefix+e.id, []byte(entry))
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve serves the requests of a connection one after the other.
func (e *endpoint) serve(conn net.Conn) {
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var last *answered
	for {
		if e.hijack != nil && e.hijack(conn) {
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if last != nil && e.extra != nil && e.extra(e, last, r) {
			e.w.record.add("%s sends its answer %d to %s %s once more", e.id, last.status, last.what, last.id)
			if _, err := conn.Write(last.bytes); err != nil {
				return
			}
		}
		last = e.handle(r, body)
		if _, err := conn.Write(last.bytes); err != nil {
			return
		}
	}
}

func (e *endpoint) handle(r *http.Request, body []byte) *answered {
	if expect := r.Header.Get(platform.HeaderExpect); expect != "" && expect != e.id {
		return e.answer(r, http.StatusMisdirectedRequest, nil, "")
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /healthz":
		return e.answer(r, http.StatusOK, map[string]string{"Tarragongw-Instance-Id": e.id}, "")
	case "POST /grant":
		return e.grant(r, body)
	case "POST /release":
		return e.release(r, body)
	}
	return e.request(r)
}

// answer builds an answer, with the id of its request.
func (e *endpoint) answer(r *http.Request, status int, header map[string]string, body string) *answered {
	id := r.Header.Get(platform.HeaderRequestID)
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		b = fmt.Appendf(b, "%s: %s\r\n", platform.HeaderRequestID, id)
	}
	for name, value := range header {
		b = fmt.Appendf(b, "%s: %s\r\n", name, value)
	}
	b = append(append(b, "\r\n"...), body...)
	return &answered{what: r.Method + " " + r.URL.Path, id: id, status: status, bytes: b}
}

type orderBody struct {
	From     int    `json:"from"`
	To       int    `json:"target"`
	Fence    uint64 `json:"fence"`
	Hold     string `json:"hold_time"`
	Handover string `json:"handover"`
}

func (e *endpoint) grant(r *http.Request, body []byte) *answered {
	var o orderBody
	hold, err := time.Duration(0), json.Unmarshal(body, &o)
	if err == nil {
		hold, err = time.ParseDuration(o.Hold)
	}
	if err != nil {
		return e.answer(r, http.StatusBadRequest, nil, "")
	}
	if !e.take(&o, hold) {
		e.w.record.add("%s refuses the keys %d to %d, fence %d", e.id, o.From, o.To, o.Fence)
		return e.answer(r, http.StatusConflict, nil, "")
	}
	e.w.record.add("%s holds the keys %d to %d, fence %d, for %v", e.id, o.From, o.To, o.Fence, hold)
	if e.onGrant != nil {
		e.onGrant(e, o.From, o.To, o.Fence)
	}
	return e.answer(r, http.StatusOK, nil, "")
}

// take takes keys and reports whether it did: not if it has seen a higher generation number.
func (e *endpoint) take(o *orderBody, hold time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if e.highest[k] > o.Fence {
			return false
		}
	}
	until := time.Now().Add(hold)
	for k := o.From; k <= o.To; k++ {
		e.highest[k], e.holdEnd[k] = o.Fence, until
	}
	e.drop(o.From, o.To)
	e.held = append(e.held, grant{o.From, o.To, o.Fence, until})
	return true
}

// atWork returns a key of the range on which the endpoint is at work before its hold of it would have run out; -1 for none.
func (e *endpoint) atWork(from, to int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, n := range e.keysBusy {
		if n > 0 && from <= k && k <= to && time.Now().Before(e.holdEnd[k]) {
			return k
		}
	}
	return -1
}

// drop removes a range from what is held; the caller holds the lock.
func (e *endpoint) drop(from, to int) {
	var kept []grant
	for _, g := range e.held {
		if g.to < from || g.from > to {
			kept = append(kept, g)
			continue
		}
		if g.from < from {
			kept = append(kept, grant{g.from, from - 1, g.fence, g.until})
		}
		if g.to > to {
			kept = append(kept, grant{to + 1, g.to, g.fence, g.until})
		}
	}
	e.held = kept
}

// release stops new work on the keys, and answers when what runs on them has ended.
func (e *endpoint) release(r *http.Request, body []byte) *answered {
	var o orderBody
	if err := json.Unmarshal(body, &o); err != nil {
		return e.answer(r, http.StatusBadRequest, nil, "")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		e.highest[k] = max(e.highest[k], o.Fence)
	}
	e.drop(o.From, o.To)
	e.w.record.add("%s is told to release the keys %d to %d, fence %d", e.id, o.From, o.To, o.Fence)
	for e.busyIn(o.From, o.To) {
		e.freed.Wait()
	}
	e.w.record.add("%s has released the keys %d to %d, fence %d", e.id, o.From, o.To, o.Fence)
	return e.answer(r, http.StatusOK, map[string]string{"Tarragongw-Handover": fmt.Sprintf("%s-%d-%d", e.id, o.From, o.Fence)}, "")
}

func (e *endpoint) busyIn(from, to int) bool {
	for k, n := range e.keysBusy {
		if n > 0 && from <= k && k <= to {
			return true
		}
	}
	return false
}

// holds reports whether the endpoint holds the key; the caller holds the lock.
func (e *endpoint) holds(key int) bool {
	for _, g := range e.held {
		if g.from <= key && key <= g.to && time.Now().Before(g.until) {
			return true
		}
	}
	return false
}

// request runs a request, or says that it does not.
func (e *endpoint) request(r *http.Request) *answered {
	id := r.Header.Get(platform.HeaderRequestID)
	key := -1
	if e.keyed {
		var err error
		if key, err = strconv.Atoi(r.Header.Get(platform.HeaderKey)); err != nil {
			return e.answer(r, http.StatusBadRequest, map[string]string{platform.HeaderNotRun: "1"}, "")
		}
	}
	e.mu.Lock()
	if e.keyed && !e.holds(key) {
		e.mu.Unlock()
		return e.answer(r, http.StatusMisdirectedRequest, map[string]string{platform.HeaderNotRun: "1"}, "")
	}
	if e.running >= e.slots && e.waiting >= e.queue {
		load := e.load()
		e.mu.Unlock()
		e.w.record.add("%s turns away %s", e.id, id)
		return e.answer(r, http.StatusServiceUnavailable, map[string]string{platform.HeaderNotRun: "1", platform.HeaderLoad: load}, "")
	}
	e.waiting++
	for e.running >= e.slots {
		e.freed.Wait()
	}
	e.waiting--
	if e.keyed && !e.holds(key) {
		e.mu.Unlock()
		return e.answer(r, http.StatusMisdirectedRequest, map[string]string{platform.HeaderNotRun: "1"}, "")
	}
	e.running++
	e.keysBusy[key]++
	e.mu.Unlock()
	e.w.record.add("%s runs %s", e.id, id)
	if e.onRun != nil {
		e.onRun(e, id)
	}
	time.Sleep(e.work)
	e.mu.Lock()
	e.running--
	e.keysBusy[key]--
	e.freed.Broadcast()
	load := e.load()
	e.mu.Unlock()
	return e.answer(r, http.StatusOK, map[string]string{platform.HeaderStamp: "stamp-" + e.id, platform.HeaderLoad: load}, e.id+" ran "+id)
}

func (e *endpoint) load() string { return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots) }
