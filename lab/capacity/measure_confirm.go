package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/clock"
	"tarragongw/core/confirm"
	"tarragongw/kv"
	"tarragongw/kv/httpstore"
	"tarragongw/lab/procuse"
	"tarragongw/peer"
	"tarragongw/peer/wire"
)

const (
	// askedTargets is what one router asks about.
	askedTargets = 3
	// grantorRecordBytes is a grantor record with a few writers.
	grantorRecordBytes = 160
	confirmSpan        = 4 * time.Second
	// tickRelay is how late the relay may be with what it has to do.
	tickRelay = 4 * time.Millisecond
)

// confirmNode is a router's part in confirmations over real sessions: the shell of
// router/confirmduty.go without its actor, with a store that answers at once.
type confirmNode struct {
	http.Handler
	node    *peer.Node
	core    *confirm.Core
	records []confirm.Record

	mu                sync.Mutex
	messages, payload atomic.Int64
	confirmed         atomic.Int64
}

func newConfirmNode(name string, records []confirm.Record, perRelay int) *confirmNode {
	n := &confirmNode{Handler: http.NotFoundHandler(), records: records}
	n.node = must(peer.New(peer.Config{
		Self: peer.Identity{Name: name, DataCentre: "dc-00", Incarnation: 1}, Listen: "127.0.0.1:0",
	}))
	n.core = confirm.New(confirm.Config{Self: confirm.Router{Name: name, Incarnation: 1}, DataCentre: "dc-00", PerRelay: perRelay})
	n.node.Start(n)
	return n
}

// Control implements peer.Handler.
func (n *confirmNode) Control(from peer.Identity, _ string, payload []byte) {
	n.step(confirm.Received{
		From:    confirm.Router{Name: from.Name, Incarnation: from.Incarnation},
		Message: must(wire.DecodeConfirm(payload)),
	})
}

func (n *confirmNode) step(e confirm.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, action := range n.core.Step(clock.Boot{}.Now(), e) {
		switch a := action.(type) {
		case confirm.Send:
			payload := must(wire.EncodeConfirm(&a.Message))
			n.messages.Add(1)
			n.payload.Add(int64(len(payload)))
			n.node.Send(a.To, wire.KindConfirm, payload)
		case confirm.List:
			go n.step(confirm.Listed{ID: a.ID, OK: true, Records: n.records})
		case confirm.Confirmed:
			n.confirmed.Add(1)
		}
	}
}

func grantorRecords(n int) []confirm.Record {
	out := make([]confirm.Record, n)
	for i := range out {
		out[i] = confirm.Record{Target: fmt.Sprintf("target-%04d", i), Revision: uint64(1e6 + i), Value: make([]byte, grantorRecordBytes)}
	}
	return out
}

// confirmations measures the questions and answers between a relay and its askers,
// both ends in this process, without the relay's calls to the store.
func confirmations(s *Slopes) {
	var used, messages, payload, lists, alone []Point
	for _, n := range []int{3, 11, 29, 99, 132} {
		fleet := confirmFleet(n, confirm.DefaultPerRelay)
		idle := idleCPU()
		stop := make(chan struct{})
		var done sync.WaitGroup
		done.Go(func() { keepAsking(fleet, stop) })
		time.Sleep(time.Second)
		before, sent, bytes, confirmed := procuse.CPU(), moved(fleet, true), moved(fleet, false), confirmedBy(fleet)
		listed := listsOf(fleet)
		time.Sleep(confirmSpan)
		span := confirmSpan.Seconds()
		x := float64(n)
		used = append(used, Point{x, float64((procuse.CPU()-before).Microseconds())/span - idle})
		messages = append(messages, Point{x, float64(moved(fleet, true)-sent) / span})
		payload = append(payload, Point{x, float64(moved(fleet, false)-bytes) / span})
		if rate := float64(confirmedBy(fleet)-confirmed) / span / x / askedTargets; rate < 11 {
			panic(fmt.Sprintf("only %.1f confirmations a second for each of %d askers", rate, n))
		}
		lists = append(lists, Point{x, float64(listsOf(fleet)-listed) / span})
		close(stop)
		done.Wait()
		closeAll(fleet)
		alone = append(alone, Point{x, listsWithoutRelay(n)})
	}
	const x = "askers of one relay"
	s.add("confirm.cpu", x, "µs of CPU a second, relay and askers together", used...)
	s.add("confirm.messages", x, "questions and answers a second", messages...)
	s.add("confirm.payload", x, "payload bytes of these a second", payload...)
	s.add("confirm.lists", x, "list calls of the relay and its askers a second", lists...)
	s.add("confirm.alone", x, "list calls of the same askers a second where each reads by itself", alone...)
}

func closeAll(fleet []*confirmNode) {
	for _, n := range fleet {
		_ = n.node.Close()
	}
}

func listsOf(fleet []*confirmNode) uint64 {
	var sum uint64
	for _, n := range fleet {
		n.mu.Lock()
		sum += n.core.Stats().Lists
		n.mu.Unlock()
	}
	return sum
}

// listsWithoutRelay counts the list calls of routers that each read by themselves.
func listsWithoutRelay(askers int) float64 {
	fleet := confirmFleet(askers, 1)
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { keepAsking(fleet, stop) })
	time.Sleep(time.Second)
	listed := listsOf(fleet)
	time.Sleep(confirmSpan)
	calls := float64(listsOf(fleet)-listed) / confirmSpan.Seconds()
	close(stop)
	done.Wait()
	closeAll(fleet)
	return calls
}

// confirmFleet returns a relay and its askers, the relay first.
func confirmFleet(askers, perRelay int) []*confirmNode {
	records := grantorRecords(askers * askedTargets)
	var live []string
	for i := range askers + 1 {
		live = append(live, fmt.Sprintf("router-%03d", i))
	}
	fleet := make([]*confirmNode, 0, len(live))
	var all []peer.Identity
	for _, name := range live {
		n := newConfirmNode(name, records, perRelay)
		n.step(confirm.Members{Live: live})
		fleet = append(fleet, n)
		all = append(all, n.node.Self())
	}
	relay := slices.Index(live, fleet[0].core.Relay())
	fleet[0], fleet[relay] = fleet[relay], fleet[0]
	fleet[0].node.SetPeers(all)
	for _, n := range fleet[1:] {
		n.node.SetPeers([]peer.Identity{fleet[0].node.Self()})
	}
	return fleet
}

// keepAsking has each asker ask every 80 ms, evenly spread.
func keepAsking(fleet []*confirmNode, stop chan struct{}) {
	askers := fleet[1:]
	tick := time.NewTicker(min(confirm.DefaultEvery/time.Duration(len(askers)), tickRelay))
	defer tick.Stop()
	began, next := time.Now(), 0
	for {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		// A ticker drops what comes late; those are asked for too.
		due := int(time.Since(began) * time.Duration(len(askers)) / confirm.DefaultEvery)
		for ; next < due; next++ {
			i := next % len(askers)
			now := clock.Boot{}.Now()
			asked := confirm.Asked{}
			for _, rec := range askers[i].records[i*askedTargets : (i+1)*askedTargets] {
				asked.Reads = append(asked.Reads, confirm.Read{Target: rec.Target, SentAt: now})
			}
			askers[i].step(asked)
			if next%len(askers) == 0 {
				fleet[0].step(confirm.Tick{})
			}
		}
		fleet[0].step(confirm.Tick{})
	}
}

func moved(fleet []*confirmNode, messages bool) int64 {
	var sum int64
	for _, n := range fleet {
		if messages {
			sum += n.messages.Load()
		} else {
			sum += n.payload.Load()
		}
	}
	return sum
}

func confirmedBy(fleet []*confirmNode) int64 {
	var sum int64
	for _, n := range fleet[1:] {
		sum += n.confirmed.Load()
	}
	return sum
}

// listCalls measures what one list call of the grantor records costs the router that
// makes it. The other end writes an answer that is made beforehand.
func listCalls(s *Slopes) {
	const calls = 200
	var used, size []Point
	for _, n := range []int{12, 100, 1200} {
		body := listReply(n)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
		})}
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		go func() { _ = server.Serve(l) }()
		client := must(httpstore.New(httpstore.Config{Name: "relay", Addresses: []string{l.Addr().String()}}))
		list := func(times int) {
			for range times {
				records, _, err := client.List(context.Background(), "own/grantor/dc/")
				if err != nil || len(records) != n {
					panic(fmt.Sprint("list call: ", len(records), err))
				}
			}
		}
		list(20)
		before := procuse.CPU()
		list(calls)
		used = append(used, Point{float64(n), float64((procuse.CPU() - before).Microseconds()) / calls})
		size = append(size, Point{float64(n), float64(len(body))})
		_ = server.Close()
	}
	s.add("list.cpu", "grantor records in the answer", "µs of CPU for a list call, both ends of the connection", used...)
	s.add("list.size", "grantor records in the answer", "bytes of the answer", size...)
}

func listReply(n int) []byte {
	records := make([]kv.Record, 0, n)
	for _, rec := range grantorRecords(n) {
		records = append(records, kv.Record{Key: "own/grantor/dc/" + rec.Target, Value: rec.Value, Revision: kv.Revision(rec.Revision)})
	}
	return must(json.Marshal(map[string]any{"code": kv.CodeOK, "records": records, "revision": 5}))
}
