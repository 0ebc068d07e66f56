package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragongw/platform"
)

const (
	deadlyPath   = "/fiti832/deadly"
	ordinaryPath = "/fiti832/2f"
	// backAfter is how long after a crash the endpoint is back.
	backAfter = 2 * time.Second
	// endpoints is how many endpoints the service has.
	endpoints = 8
	// threshold is how many endpoints a request crashes before it may be retried only maxRetries times, from the stability window
	// after that on.
	threshold  = 3
	maxRetries = 3
)

// endpoint is one place of an endpoint: the process there may crash and is started again at the same address, with a new id.
type endpoint struct {
	s       *system
	address string
	zone    string
	number  int
	// deadly is called with a deadly request, and reports whether the process has crashed.
	deadly func(e *endpoint, life int, w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	life  int
	up    bool
	seq   int
	born  int64
	ln    net.Listener
	conns map[net.Conn]bool
}

// crashLog has what the endpoints saw of the deadly request.
type crashLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

func (l *crashLog) arrived(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, at)
}

func (l *crashLog) crashed(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, at)
}

// later returns how many crashes there were, and how often the request reached endpoints later than the stability window after
// the third of them.
func (l *crashLog) later() (crashes, later int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < threshold {
		return len(l.crashes), 0
	}
	from := l.crashes[threshold-1].Add(stabilityWindow)
	for _, at := range l.arrivals {
		if at.After(from) {
			later++
		}
	}
	return len(l.crashes), later
}

func (e *endpoint) id() string { return fmt.Sprintf("i-%d-%d", e.number, e.life) }

// start starts the process and writes its entry.
func (e *endpoint) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address, e.ln, e.conns, e.up = ln.Addr().String(), ln, map[net.Conn]bool{}, true
	e.life++
	e.born = time.Now().UnixMilli()
	life, conns := e.life, e.conns
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(life, w, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if state == http.StateNew {
				conns[c] = true
			} else if state == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	go func() { _ = server.Serve(ln) }() // it ends with the listener
	e.report()
	return nil
}

// report writes the entry; the caller holds the lock.
func (e *endpoint) report() {
	e.seq++
	e.s.store.Put(platform.TargetPrefix+e.id(), []byte(fmt.Sprintf(
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":3},"status":{"state":"ready","seq":%d,"warmup_left":"0ms"}}`,
		e.address, e.born, payService, e.zone, e.seq)))
}

// crash ends the process: nothing listens any more and all connections are reset. It is back later under a new id.
func (e *endpoint) crash(life int, log *crashLog) {
	e.mu.Lock()
	if !e.up || e.life != life {
		e.mu.Unlock()
		return
	}
	e.up = false
	log.crashed(time.Now())
	e.s.note("endpoint %s crashed", e.id())
	_ = e.ln.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	key := platform.TargetPrefix + e.id()
	e.mu.Unlock()
	time.AfterFunc(backAfter, func() {
		e.s.store.Delete(key)
		if err := e.start(); err != nil {
			e.s.note("endpoint %d does not start: %v", e.number, err)
		}
	})
}

func (e *endpoint) serve(life int, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id()
	e.mu.Unlock()
	w.Header().Set("Tarragongw-Instance-Id", id)
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if expect := r.Header.Get(platform.HeaderExpect); expect != "" && expect != id {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == deadlyPath {
		e.deadly(e, life, w, r)
		return
	}
	e.answer(w, r, bystanderWork)
}

func (e *endpoint) answer(w http.ResponseWriter, r *http.Request, work time.Duration) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the connection has ended
	}
	time.Sleep(work)
	w.Header().Set(platform.HeaderStamp, "stamp-of-"+e.id())
	fmt.Fprintf(w, "%s ran %s", e.id(), r.Header.Get(platform.HeaderRequestID))
}

// crashConfig has one service, for uploads and reads.
func crashConfig() []byte {
	return []byte(fmt.Sprintf(`{"version":"00000007","routes":[`+
		`{"name":"r-up","host":%q,"prefix":"/fiti832/","route_type":"upload","target_latency":"500ms","priority":1,"service":%q,"max_attempts":2},`+
		`{"name":"r-read","host":%q,"prefix":"/fiti832/","route_type":"safe","timeout":"1200ms","target_latency":"400ms","priority":2,"service":%q,"max_attempts":2}],`+
		`"services":[{"name":%q,"health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		payHost, payService, shopHost, payService, payService))
}

// bystanderLog has what became of the requests of other clients.
type bystanderLog struct {
	sent, lost, lostLater int
	statuses              map[int]int
}

// Pause between two of these requests, and how long an endpoint works on one.
const (
	bystanderPause = 40 * time.Millisecond
	bystanderWork  = 140 * time.Millisecond
)

// run sends them until a time. They may run once, so that one whose endpoint has crashed is lost.
func (b *bystanderLog) run(s *system, log *crashLog, until time.Time) {
	var mu sync.Mutex
	var sending sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		q := &request{method: http.MethodPost, host: payHost, path: ordinaryPath, id: s.newID(), deadline: 3 * time.Second, body: []byte("x")}
		r := s.routers[n%len(s.routers)]
		sending.Go(func() {
			a := exchange(r.front, q)
			_, later := log.windowOver()
			mu.Lock()
			defer mu.Unlock()
			b.sent++
			b.statuses[a.status]++
			if a.err == nil && a.status != http.StatusBadGateway {
				return // served, or refused as not run
			}
			b.lost++
			if later {
				b.lostLater++
				s.note("other request %s was lost: %v", q.id, a)
			}
		})
		time.Sleep(bystanderPause)
	}
	sending.Wait()
}

// windowOver returns how many crashes there were, and whether the stability window after the third of them is over.
func (l *crashLog) windowOver() (crashes int, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes), len(l.crashes) >= threshold && time.Since(l.crashes[threshold-1]) > stabilityWindow
}

// runCrashes sends a request again and again for a while, and reports whether it reaches endpoints too often after it has crashed
// some of them. deadly is what the endpoints do with it.
func (s *system) runCrashes(log *crashLog, deadly func(*endpoint, int, http.ResponseWriter, *http.Request), q request, every, length time.Duration) (int, error) {
	s.store.Put(platform.ConfigKey, crashConfig())
	var all []*endpoint
	for i := range endpoints {
		e := &endpoint{s: s, zone: []string{"mandaue", "lapu", "talisay"}[i%3], number: i, deadly: deadly}
		if err := e.start(); err != nil {
			return failure, err
		}
		all = append(all, e)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			for _, e := range all {
				e.mu.Lock()
				if e.up {
					e.report()
				}
				e.mu.Unlock()
			}
		}
	}()
	if err := s.startRouters("mandaue", "lapu", "talisay"); err != nil {
		return failure, err
	}
	time.Sleep(time.Second)
	var sending sync.WaitGroup
	began := time.Now()
	bystanders := &bystanderLog{statuses: map[int]int{}}
	sending.Go(func() { bystanders.run(s, log, began.Add(length)) })
	for n := 0; time.Since(began) < length; n++ {
		attempt := q
		attempt.id = s.newID()
		r := s.routers[n%len(s.routers)]
		sending.Go(func() { s.send(r, &attempt) })
		time.Sleep(every)
	}
	sending.Wait()
	crashes, later := log.later()
	s.note("of %d other requests, which run at most once and crash nothing, %d were lost with a crashed endpoint; %d of these later than %v after the third crash; by status: %v",
		bystanders.sent, bystanders.lost, bystanders.lostLater, stabilityWindow, bystanders.statuses)
	s.note("it was sent for %v, and has crashed %d endpoints; it reached endpoints %d times later than %v after the third crash, %d are allowed",
		length, crashes, later, stabilityWindow, maxRetries)
	if crashes >= threshold && later > maxRetries {
		return broken, nil
	}
	return held, nil
}

// runUpload: the endpoints crash as soon as they begin to run an upload, of which the client has sent 8 KiB by then.
func runUpload(s *system, trouble bool) (int, error) {
	log := &crashLog{}
	deadly := func(e *endpoint, life int, w http.ResponseWriter, r *http.Request) {
		at := time.Now()
		log.arrived(at)
		s.note("endpoint %s begins to run %s", e.id(), r.Header.Get(platform.HeaderRequestID))
		if !trouble {
			e.answer(w, r, 5*time.Millisecond)
			return
		}
		e.crash(life, log)
	}
	body := make([]byte, 60000)
	for i := range body {
		body[i] = byte(i)
	}
	q := request{method: http.MethodPost, host: payHost, path: deadlyPath, deadline: 3 * time.Second, body: body, part: 8 << 10, pause: 60 * time.Millisecond}
	return s.runCrashes(log, deadly, q, time.Second, 40*time.Second)
}

// runLate: the endpoints crash two seconds after they have begun to run a read, whose route gives it 1.2 seconds. They don't drop
// it when its connection closes.
func runLate(s *system, trouble bool) (int, error) {
	log := &crashLog{}
	deadly := func(e *endpoint, life int, w http.ResponseWriter, r *http.Request) {
		at := time.Now()
		log.arrived(at)
		s.note("endpoint %s begins to run %s", e.id(), r.Header.Get(platform.HeaderRequestID))
		if !trouble {
			e.answer(w, r, 5*time.Millisecond)
			return
		}
		time.Sleep(2 * time.Second)
		e.crash(life, log)
	}
	q := request{method: http.MethodGet, host: shopHost, path: deadlyPath, deadline: 2500 * time.Millisecond}
	// One at a time: each has crashed its endpoint before the next is sent.
	return s.runCrashes(log, deadly, q, 2200*time.Millisecond, 45*time.Second)
}
