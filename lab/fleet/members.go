// Package fleet runs many cores of the pure packages on a simulated network, to
// measure what they send, how long they take and how they judge. Everything is
// drawn from one seed; time is injected.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tarragongw/core/membership"
	"tarragongw/internal/simnet"
	"tarragongw/peer/wire"
)

// Epoch is when simulated time begins.
var Epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Network is the usual network within a data centre: 0.5 ms one way.
func Network(tick time.Duration, loss float64) simnet.Config {
	return simnet.Config{Tick: tick, MinDelay: 400 * time.Microsecond, MaxDelay: 600 * time.Microsecond, Loss: loss}
}

// Change is a change of state that one router reported.
type Change struct {
	At  time.Time
	By  string
	Got membership.Changed
}

// Traffic counts messages and the bytes of their payloads by kind.
type Traffic struct {
	Messages, Bytes map[membership.Kind]int
}

// Total returns the counts over all kinds.
func (t *Traffic) Total() (messages, bytes int) {
	for _, n := range t.Messages {
		messages += n
	}
	for _, n := range t.Bytes {
		bytes += n
	}
	return messages, bytes
}

// Members is a fleet of membership cores.
type Members struct {
	Net   *simnet.Net[membership.Message]
	Names []string
	Cores map[string]*membership.Core
	// Changes are those since the last Reset.
	Changes []Change
	// Doubts counts beginnings of self-doubt by cause.
	Doubts map[membership.Cause]int
	// Sent counts what all routers sent; Size makes it count bytes, which costs time.
	Sent Traffic
	Size bool
	// beatsCut are the pairs of sender and receiver whose heartbeats are dropped; see
	// CutBeats.
	beatsCut map[[2]string]bool
	// Witnessed has something outside of the data centre answer each router every
	// witnessEvery, as the platform does; two routers alone can't judge each other without.
	Witnessed bool
	// OnSend, if set, sees each message with its size, where Size is set.
	OnSend func(from string, m *membership.Message, size int)

	self map[string]membership.Member
}

// witnessEvery is how often a router tells its core of an answer from outside.
const witnessEvery = 500 * time.Millisecond

type memberNode struct {
	f         *Members
	core      *membership.Core
	name      string
	witnessed time.Time
}

func (n *memberNode) Tick(now time.Time) {
	n.carryOut(now, n.core.Step(now, membership.Tick{}))
	if n.f.Witnessed && now.Sub(n.witnessed) >= witnessEvery {
		n.witnessed = now
		n.carryOut(now, n.core.Step(now, membership.ExternalContact{}))
	}
}

func (n *memberNode) Deliver(now time.Time, from string, m membership.Message) {
	if m.Kind == membership.Ping {
		delete(n.f.beatsCut, [2]string{n.name, from})
	}
	n.carryOut(now, n.core.Step(now, membership.Received{From: n.f.self[from], Message: m}))
}

func (n *memberNode) carryOut(now time.Time, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.f.send(n.name, a)
		case membership.Changed:
			n.f.Changes = append(n.f.Changes, Change{now, n.name, a})
		case membership.IsolationChanged:
			if a.On {
				n.f.Doubts[a.Cause]++
			}
		}
	}
}

func (f *Members) send(from string, s membership.Send) {
	f.Sent.Messages[s.Message.Kind]++
	if f.Size {
		b, err := wire.EncodeMembership(&s.Message)
		if err != nil {
			panic(err)
		}
		f.Sent.Bytes[s.Message.Kind] += len(b)
		if f.OnSend != nil {
			f.OnSend(from, &s.Message, len(b))
		}
	}
	if s.Message.Kind == membership.Heartbeat && f.beatsCut[[2]string{from, s.To}] {
		return
	}
	f.Net.Send(from, s.To, s.Message)
}

// CutBeats drops the heartbeats from each router to each other until the one is pinged by
// the other: they go as datagrams, these no longer pass, and a router that is pinged
// goes back to its session.
func (f *Members) CutBeats() {
	f.beatsCut = make(map[[2]string]bool, len(f.Names)*len(f.Names))
	for _, from := range f.Names {
		for _, to := range f.Names {
			f.beatsCut[[2]string{from, to}] = true
		}
	}
}

// NewMembers starts size routers in each of dcs data centres and lets them find
// each other for settle.
func NewMembers(cfg membership.Config, net simnet.Config, seed uint64, dcs, size int, settle time.Duration) *Members {
	f := &Members{
		Net:    simnet.New[membership.Message](net, Epoch, seed),
		Cores:  map[string]*membership.Core{},
		Doubts: map[membership.Cause]int{},
		self:   map[string]membership.Member{},
	}
	f.Reset()
	var vms []membership.ListedVM
	for d := range dcs {
		for i := range size {
			dc := fmt.Sprintf("dc-%02d", d)
			name := fmt.Sprintf("%s-r%03d", dc, i)
			vms = append(vms, membership.ListedVM{Name: name, DataCentre: dc, Address: fmt.Sprintf("10.%d.%d.%d:7400", d, i/250, i%250+1)})
		}
	}
	for i, vm := range vms {
		self := membership.Member{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address, Incarnation: uint64(Epoch.UnixMilli()) + uint64(i)}
		core := membership.New(cfg, self, rand.New(rand.NewPCG(seed, uint64(i))))
		f.self[vm.Name] = self
		f.Cores[vm.Name] = core
		f.Names = append(f.Names, vm.Name)
		node := &memberNode{f: f, core: core, name: vm.Name}
		f.Net.Add(vm.Name, node)
		node.carryOut(Epoch, core.Step(Epoch, membership.RevisionInForce{Revision: 1 << 20}))
		node.carryOut(Epoch, core.Step(Epoch, membership.Listed{VMs: vms}))
	}
	f.Net.Run(settle)
	f.Reset()
	return f
}

// Reset forgets changes, doubts and counts of traffic.
func (f *Members) Reset() {
	f.Changes = nil
	clear(f.Doubts)
	f.Sent = Traffic{Messages: map[membership.Kind]int{}, Bytes: map[membership.Kind]int{}}
}

// Kill stops routers without a word.
func (f *Members) Kill(names ...string) {
	for _, name := range names {
		f.Net.Kill(name)
		delete(f.Cores, name)
	}
}

// Pauses suspends each router for d at random, on average once every interval.
func (f *Members) Pauses(d, interval time.Duration) {
	for _, name := range f.Names {
		f.nextPause(name, d, interval)
	}
}

func (f *Members) nextPause(name string, d, interval time.Duration) {
	wait := min(time.Duration(f.Net.Rand().ExpFloat64()*float64(interval)), 10*time.Second)
	f.Net.After(d+wait, func() {
		f.Net.Pause(name, d)
		f.nextPause(name, d, interval)
	})
}
