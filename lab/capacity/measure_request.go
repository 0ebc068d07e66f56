package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/model"
	"tarragongw/kv/standin"
	"tarragongw/lab/procuse"
	"tarragongw/operator"
	"tarragongw/router"
)

const (
	// loadConns is the number of callers' connections of a load.
	loadConns = 32
	// loadSpan is the length of one stretch of load. The ways alternate, and the median
	// of several rounds' differences counts, which keeps the other load of the machine out.
	loadSpan    = time.Second
	loadRounds  = 5
	loadTargets = 8
)

// load is a set of callers' connections to one address.
type load struct {
	conns   []net.Conn
	readers []*bufio.Reader
	paths   []string
	next    atomic.Int64
}

func newLoad(address string, n int, paths []string) *load {
	l := &load{paths: paths}
	for range n {
		c := must(net.Dial("tcp", address))
		l.conns = append(l.conns, c)
		l.readers = append(l.readers, nil)
	}
	return l
}

func (l *load) close() {
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// send makes one request on a connection and reads its answer whole.
func (l *load) send(conn int, reader *bufio.Reader) int {
	path := l.paths[int(l.next.Add(1))%len(l.paths)]
	must(fmt.Fprintf(l.conns[conn], "GET %s HTTP/1.1\r\nHost: capacity.example\r\nX-Caller: counter\r\n\r\n", path))
	resp := must(http.ReadResponse(reader, nil))
	drainAnswer(resp)
	return resp.StatusCode
}

// once sends one request on each connection; the readers are given up afterwards, so
// that only the other end's memory remains.
func (l *load) once() {
	for i := range l.conns {
		l.send(i, bufio.NewReader(l.conns[i]))
	}
}

// paced sends at a rate for a span and returns the CPU that the process used, in µs a
// second, and the requests a second that were answered.
func (l *load) paced(rate float64, span time.Duration) (cpu, reached float64) {
	var wait sync.WaitGroup
	var done atomic.Int64
	every := time.Duration(float64(len(l.conns)) / rate * float64(time.Second))
	before, began := procuse.CPU(), time.Now()
	for i := range l.conns {
		wait.Go(func() {
			reader := bufio.NewReader(l.conns[i])
			first := began.Add(every * time.Duration(i) / time.Duration(len(l.conns)))
			for due := first; due.Before(began.Add(span)); due = due.Add(every) {
				time.Sleep(time.Until(due))
				if l.send(i, reader) == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	wait.Wait()
	took := time.Since(began).Seconds()
	return float64((procuse.CPU() - before).Microseconds()) / took, float64(done.Load()) / took
}

// perRequest returns the CPU of one request of a stretch at the rate, in µs.
func (l *load) perRequest(rate float64) float64 {
	cpu, reached := l.paced(rate, loadSpan)
	if reached == 0 {
		panic("no request was answered")
	}
	return cpu / reached
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// pair is two routers of one data centre and the targets that they share.
type pair struct {
	routers map[string]*router.Router
	targets []*readyTarget
	entry   *router.Router
	// here and there are paths whose key's grantor is the entry router, or the other.
	here, there []string
}

func startPair() *pair {
	p := &pair{routers: map[string]*router.Router{}}
	store := standin.New(standin.Config{})
	for _, name := range []string{"entry", "other"} {
		p.routers[name] = startRouter(store, name)
	}
	p.entry = p.routers["entry"]
	listVMs(store, p.routers)
	m := &model.Model{Services: []model.Service{serviceNamed("faq", 1024)}}
	for i := range loadTargets {
		t := newReadyTarget()
		p.targets = append(p.targets, t)
		spec := targetNamed(fmt.Sprint("target-", i), "faq", homeDC, t.Addr().String())
		spec.Slots = 128
		m.Targets = append(m.Targets, spec)
	}
	for p.membersOf() < len(p.routers) {
		time.Sleep(20 * time.Millisecond)
	}
	apply(p.entry, m)
	awaitGrants(p.targets)
	p.findPaths()
	return p
}

func (p *pair) client() *operator.Client {
	return &operator.Client{Base: "http://" + p.entry.Addresses().Operator}
}

func (p *pair) membersOf() int {
	return len(must(p.client().Status(context.Background())).Routers)
}

// findPaths asks the entry router for the grantors of keys.
func (p *pair) findPaths() {
	const enough, tries = 16, 2000
	for i := 0; i < tries && (len(p.here) < enough || len(p.there) < enough); i++ {
		key := fmt.Sprint("key-", i)
		e := must(p.client().ExplainKey(context.Background(), "faq", key))
		switch e.Grantor {
		case "entry":
			p.here = append(p.here, "/faq/"+key)
		case "other":
			p.there = append(p.there, "/faq/"+key)
		default:
			time.Sleep(10 * time.Millisecond) // not owned yet
		}
	}
	if len(p.here) < enough || len(p.there) < enough {
		panic(fmt.Sprintf("%d keys of the entry router, %d of the other", len(p.here), len(p.there)))
	}
}

func (p *pair) stop() {
	for _, r := range p.routers {
		r.Abort()
	}
	for _, t := range p.targets {
		_ = t.Close()
	}
}

// requests measures the processor time of requests that the entry router sends to the
// target by itself, and of those that another router sends for it, both routers
// together. What callers and targets take, which are in this process, is measured by
// requests that go to a target directly, and taken off.
func requests(s *Slopes) {
	p := startPair()
	defer p.stop()
	direct := newLoad(p.targets[0].Addr().String(), loadConns, p.here)
	here := newLoad(p.entry.Addresses().Caller, loadConns, p.here)
	there := newLoad(p.entry.Addresses().Caller, loadConns, p.there)
	var own, forwarded []Point
	for _, rate := range []float64{500, 1000, 2000} {
		var overHere, overThere []float64
		for range loadRounds {
			base := direct.perRequest(rate)
			overHere = append(overHere, here.perRequest(rate)-base)
			overThere = append(overThere, there.perRequest(rate)-base)
		}
		own = append(own, Point{rate, rate * median(overHere)})
		forwarded = append(forwarded, Point{rate, rate * median(overThere)})
	}
	for _, l := range []*load{direct, here, there} {
		l.close()
	}
	const x = "requests a second"
	s.add("request.own.cpu", x, "µs of CPU a second of a router that is the key's grantor", own...)
	s.add("request.forwarded.cpu", x, "µs of CPU a second of entry router and grantor together", forwarded...)
}
