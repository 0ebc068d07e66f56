package main

import (
	"bytes"
	"context"
	"fmt"

	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/kv"
	"tarragongw/kv/standin"
	"tarragongw/operator"
	"tarragongw/router"
)

// Answers of a target that accepts whatever it is sent.
const (
	grantAnswer = `{"accepted":true,"term":8,"load":0,"draining":false}`
	probeAnswer = `{"ready":true,"draining":false,"load":0,"cold":false}`
)

// readyTarget answers a router's control requests with next to no work of its own, so
// that the CPU measured is the router's but for a read and a write.
type readyTarget struct {
	net.Listener
	requests, moved atomic.Int64
}

func newReadyTarget() *readyTarget {
	t := &readyTarget{Listener: must(net.Listen("tcp", "127.0.0.1:0"))}
	go func() {
		for {
			c, err := t.Accept()
			if err != nil {
				return
			}
			go t.answer(c)
		}
	}()
	return t
}

// answer takes each read for one request: renewals and probes leave in one write, on
// a connection that waits for the answer before the next.
func (t *readyTarget) answer(c net.Conn) {
	defer c.Close()
	grant, probe := httpAnswer(grantAnswer), httpAnswer(probeAnswer)
	b := make([]byte, 64<<10)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		reply := grant
		if bytes.HasPrefix(b[:n], []byte("GET ")) {
			reply = probe
		}
		t.requests.Add(1)
		t.moved.Add(int64(n + len(reply)))
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}

func httpAnswer(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// grantorAlone starts a router that is the grantor of all targets. Its store is in
// this process and costs it no network.
func grantorAlone(targets []*readyTarget) *router.Router {
	store := standin.New(standin.Config{})
	settings := config.Defaults()
	settings.Name, settings.DataCentre = "router", "dc"
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	client := store.Client(settings.Name)
	r := must(router.New(router.Options{
		Settings: &settings, Store: client, Directory: client, Logger: slog.New(slog.DiscardHandler),
	}))
	r.Start()
	a := r.Addresses()
	store.SetVMs([]kv.VM{{Name: settings.Name, DataCentre: settings.DataCentre, PeerAddress: a.Peer}})
	m := &model.Model{Services: []model.Service{{
		Name: "faq", Division: model.ByKey, HashSlots: 1024, PathPrefix: "/faq",
		Key:     model.Extract{From: model.FromPath},
		Caller:  model.Extract{From: model.FromHeader, Name: "X-Caller"},
		Timeout: 10 * time.Second, ProgressTimeout: 10 * time.Second, QueueLength: 512,
		Isolation: model.Isolation{Keep: true},
	}}}
	for i, t := range targets {
		m.Targets = append(m.Targets, model.Target{
			Name: fmt.Sprint("t", i), Service: "faq", DataCentre: settings.DataCentre, Address: t.Addr().String(),
			Slots: 128, Connections: 130, Grants: model.GrantCheck{ChecksTokens: true, Expires: true},
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = must((&operator.Client{Base: "http://" + a.Operator}).Apply(ctx, &operator.ApplyRequest{Author: "capacity", Model: must(config.Encode(m))}))
	return r
}

// grantor measures what renewals, probes and the keeping of targets cost their
// grantor at rest.
func grantor(s *Slopes) {
	var memory, messages, payload, used []Point
	for _, n := range []int{1, 8, 32} {
		var targets []*readyTarget
		for range n {
			targets = append(targets, newReadyTarget())
		}
		before := resident()
		r := grantorAlone(targets)
		awaitGrants(targets)
		requests, moved, began := total(targets)
		cpu := idleCPU()
		requestsAfter, movedAfter, ended := total(targets)
		span := ended.Sub(began).Seconds()
		x := float64(n)
		used = append(used, Point{x, cpu})
		messages = append(messages, Point{x, 2 * float64(requestsAfter-requests) / span})
		payload = append(payload, Point{x, float64(movedAfter-moved) / span})
		memory = append(memory, Point{x, resident() - before})
		r.Abort()
		for _, t := range targets {
			_ = t.Close()
		}
	}
	const x = "targets of one grantor"
	s.add("grantor.memory", x, "bytes of heap and stacks", memory...)
	s.add("grantor.messages", x, "orders, probes and answers a second", messages...)
	s.add("grantor.bytes", x, "bytes a second on the connections, both ways", payload...)
	s.add("grantor.cpu", x, "µs of CPU a second, store without network", used...)
}

// awaitGrants waits until every target was granted for a while.
func awaitGrants(targets []*readyTarget) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, t := range targets {
			if t.requests.Load() > 30 {
				ready++
			}
		}
		if ready == len(targets) {
			return
		}
		if time.Now().After(end) {
			panic(fmt.Sprintf("only %d of %d targets are granted", ready, len(targets)))
		}
	}
}

func total(targets []*readyTarget) (requests, moved int64, at time.Time) {
	for _, t := range targets {
		requests += t.requests.Load()
		moved += t.moved.Load()
	}
	return requests, moved, time.Now()
}
