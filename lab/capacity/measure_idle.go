package main

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"

	"tarragongw/kv/standin"
	"tarragongw/router"
	"tarragongw/target"
)

// idleSizes are numbers of connections that rest.
var idleSizes = []int{100, 400, 1600}

// idleCallers measures the memory of callers' connections that rest.
func idleCallers(s *Slopes) {
	store := standin.New(standin.Config{})
	r := startRouter(store, routerName)
	listVMs(store, map[string]*router.Router{routerName: r})
	apply(r, modelOf(1, 1, 0))
	var memory []Point
	var loads []*load
	before, open := atRest(), 0
	for _, n := range idleSizes {
		l := newLoad(r.Addresses().Caller, n-open, []string{"/nothing"})
		l.once()
		loads, open = append(loads, l), n
		memory = append(memory, Point{float64(n), atRest() - before})
	}
	for _, l := range loads {
		l.close()
	}
	r.Abort()
	s.add("caller.idle.memory", "callers' connections that rest", "bytes of heap and stacks, the callers' ends included", memory...)
}

// meeting answers requests only once so many are there that each has a connection of
// its own, and keeps the connections without a goroutine afterwards.
type meeting struct {
	net.Listener
	arrived sync.WaitGroup
	open    []net.Conn
}

func newMeeting(n int) *meeting {
	m := &meeting{Listener: must(net.Listen("tcp", "127.0.0.1:0"))}
	m.arrived.Add(n)
	go func() {
		for range n {
			c, err := m.Accept()
			if err != nil {
				return
			}
			m.open = append(m.open, c)
			go m.answer(c)
		}
	}()
	return m
}

func (m *meeting) answer(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		panic(err)
	}
	m.arrived.Done()
	m.arrived.Wait()
	must(c.Write(httpAnswer(probeAnswer)))
}

func (m *meeting) end() {
	_ = m.Close()
	for _, c := range m.open {
		_ = c.Close()
	}
}

// idleTargets measures the memory of connections to a target that rest.
func idleTargets(s *Slopes) {
	warm := openIdle(idleSizes[0]) // what the first use leaves in pools is not a connection's
	before, open := atRest(), 0
	var memory []Point
	ends := []func(){warm}
	for _, n := range idleSizes {
		ends = append(ends, openIdle(n-open))
		open = n
		memory = append(memory, Point{float64(n), atRest() - before})
	}
	for _, end := range ends {
		end()
	}
	s.add("target.idle.memory", "connections to targets that rest", "bytes of heap and stacks, the target's ends included", memory...)
}

// openIdle opens connections to a target, lets them rest, and returns what ends them.
func openIdle(n int) (end func()) {
	m := newMeeting(n)
	pool := must(target.New(target.PoolConfig{Address: m.Addr().String(), MaxConns: 2 * n}))
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() { attempt(pool, m.Addr().String()) })
	}
	wait.Wait()
	return func() {
		pool.Close()
		m.end()
	}
}

func attempt(pool *target.Pool, address string) {
	req := must(http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil))
	resp, f := pool.Attempt(context.Background(), req)
	if f != nil {
		panic(f)
	}
	drainAnswer(resp)
}
