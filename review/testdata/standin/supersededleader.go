package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tarragongw/platform"
)

func init() { cases["superseded-leader"] = supersededLeader }

// storePath is the path of one router to the store; while it is cut, connections are reset.
type storePath struct {
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

func newStorePath(store string) (*storePath, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePath{listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			if p.cut {
				p.mu.Unlock()
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			p.mu.Unlock()
			far, err := net.Dial("tcp", store)
			if err != nil {
				c.Close()
				continue
			}
			p.mu.Lock()
			p.conns[c], p.conns[far] = true, true
			p.mu.Unlock()
			go func() { _, _ = io.Copy(far, c); far.Close(); c.Close() }()
			go func() { _, _ = io.Copy(c, far); far.Close(); c.Close() }()
		}
	}()
	return p, nil
}

func (p *storePath) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		p.conns = map[net.Conn]bool{}
	}
}

// startAgain ends the endpoint's life and starts it again under its id. What it held and knew is gone.
func (e *endpoint) startAgain() {
	e.mu.Lock()
	e.born, e.seq, e.held = time.Now().UnixMilli(), 0, nil
	e.highest = [1 << 16]uint64{}
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.w.record.add("%s crashes and starts again under its id", e.id)
}

// holdsNothing reports whether the endpoint holds no key.
func (e *endpoint) holdsNothing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held) == 0
}

// supersededLeader: an endpoint does not reach the store, and crashes and starts again behind the cut. The leader is turned away
// by the store meanwhile, so that another router leads.
func supersededLeader(bin, recordPath string, trouble bool) (int, error) {
	const (
		endpoints = 6
		routers   = 4
		length    = 98 * time.Second
	)
	w, err := newWorld(bin, recordPath, keyedConfig)
	if err != nil {
		return caseNotPlayed, err
	}
	defer w.close()
	var all []*endpoint
	for i := range endpoints {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), service: "listing", zone: "hall", slots: 4, queue: 12, keyed: true, work: 60 * time.Millisecond}
		if err := w.addEndpoint(e); err != nil {
			return caseNotPlayed, err
		}
		all = append(all, e)
	}
	paths := map[string]*storePath{}
	for i := range routers {
		p, err := newStorePath(w.store.Address())
		if err != nil {
			return caseNotPlayed, err
		}
		r, err := w.addRouter(fmt.Sprintf("edge-%d", i), "hall", p.listener.Addr().String())
		if err != nil {
			return caseNotPlayed, err
		}
		paths[r.name] = p
	}
	if err := w.awaitAll(); err != nil {
		return caseNotPlayed, err
	}
	time.Sleep(3 * time.Second) // until the keys have been granted
	watch := &overlaps{w: w, all: all}
	w.jobs.Go(watch.watch)
	var sending sync.WaitGroup
	end := time.Now().Add(length)
	for c := range 15 {
		sending.Go(func() {
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				w.send(client, w.routers[(c+n)%routers], http.MethodGet, "/lookup/1", fmt.Sprintf("c%d-%d", c, n), rand.IntN(1<<16), 2500*time.Millisecond, nil)
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
			}
		})
	}
	for i := 0; trouble && time.Now().Before(end.Add(-cutLength-3*time.Second)); i++ {
		w.cutLeaderAndEndpoint(paths, all[i%endpoints])
		time.Sleep(2500 * time.Millisecond)
	}
	sending.Wait()
	summary := fmt.Sprintf("OWNER: %d of 501 watched keys had two holders for over %v", watch.broken, maxOverlap)
	w.record.add("%s", summary)
	fmt.Println(summary)
	if watch.broken > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

const (
	// leaderCut is for how long the store turns the leader away.
	leaderCut = 5500 * time.Millisecond
	// leaderCutAfter is how long after the endpoint's cut that begins.
	leaderCutAfter = 3600 * time.Millisecond
)

// cutLeaderAndEndpoint cuts an endpoint off from the store for cutLength, and the leader for a part of that. The endpoint crashes
// once it has released its keys.
func (w *world) cutLeaderAndEndpoint(paths map[string]*storePath, e *endpoint) {
	began := time.Now()
	w.record.add("%s is cut off from the store", e.id)
	e.setGone(true)
	time.Sleep(leaderCutAfter)
	name, _, _ := strings.Cut(string(w.store.Value("tarragongw/leader/record")), " ")
	leader := paths[name]
	if leader != nil {
		w.record.add("%s leads, and the store turns it away", name)
		leader.setCut(true)
	}
	time.Sleep(time.Until(began.Add(entryLife)))
	w.record.add("the store removes the entry of %s", e.id)
	w.store.Delete(platform.TargetPrefix + e.id)
	for time.Since(began) < cutLength && !e.holdsNothing() {
		time.Sleep(time.Millisecond)
	}
	e.startAgain()
	time.Sleep(time.Until(began.Add(leaderCutAfter + leaderCut)))
	if leader != nil {
		leader.setCut(false)
		w.record.add("the store serves %s again", name)
	}
	time.Sleep(time.Until(began.Add(cutLength)))
	e.setGone(false)
	w.record.add("%s reaches the store again", e.id)
}
