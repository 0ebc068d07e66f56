package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragongw/core/digest"
	"tarragongw/internal/simnet"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of cores on a simulated network.
type fleet struct {
	t       testing.TB
	net     *simnet.Net[Message]
	cfg     Config
	nodes   map[string]*node
	names   []string
	vms     []ListedVM
	changes []change
	// trace, if set, is called with all actions.
	trace func(name string, now time.Time, actions []Action)
	// droppedHeartbeats holds the pairs of sender and receiver whose heartbeats are
	// dropped, until the receiver pings the sender. This simulates datagrams that are lost.
	droppedHeartbeats map[[2]string]bool
}

type change struct {
	at  time.Time
	by  string
	got Changed
}

type node struct {
	f    *fleet
	core *Core
	name string
	// skew is added to the time that the node sees.
	skew time.Duration
	// isolationCauses holds the causes for which the node considered itself isolated.
	isolationCauses []Cause
	links           []LinkChanged
	// nextTick is when the core asked for the next tick. The test sends it at the first
	// simulated tick from then on.
	nextTick time.Time
}

func (n *node) Tick(now time.Time) {
	if !now.Before(n.nextTick) {
		n.nextTick = time.Time{}
		n.step(now, Tick{})
	}
}

func (n *node) Deliver(now time.Time, from string, m Message) {
	if m.Kind == Ping {
		delete(n.f.droppedHeartbeats, [2]string{n.name, from})
	}
	if sender := n.f.nodes[from]; sender != nil {
		n.step(now, Received{From: sender.core.self.Member, Message: m})
	}
}

func (n *node) step(now time.Time, e Event) {
	actions := n.core.Step(now.Add(n.skew), e)
	if n.f.trace != nil {
		n.f.trace(n.name, now, actions)
	}
	n.execute(now, actions)
	due := now.Add(n.core.Wake(now.Add(n.skew)))
	if n.nextTick.IsZero() || due.Before(n.nextTick) {
		n.nextTick = due
	}
}

func (n *node) execute(now time.Time, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if a.Message.Kind == Heartbeat && n.f.droppedHeartbeats[[2]string{n.name, a.To}] {
				continue
			}
			n.f.net.Send(n.name, a.To, a.Message)
		case Changed:
			n.f.changes = append(n.f.changes, change{now, n.name, a})
		case IsolationChanged:
			if a.On {
				n.isolationCauses = append(n.isolationCauses, a.Cause)
			}
		case LinkChanged:
			n.links = append(n.links, a)
		}
	}
}

// dropAllHeartbeats drops the heartbeats between all routers.
func (f *fleet) dropAllHeartbeats() {
	f.droppedHeartbeats = map[[2]string]bool{}
	for _, from := range f.names {
		for _, to := range f.names {
			f.droppedHeartbeats[[2]string{from, to}] = true
		}
	}
}

func losslessNet() simnet.Config {
	return simnet.Config{Tick: 10 * time.Millisecond, MinDelay: 300 * time.Microsecond, MaxDelay: time.Millisecond}
}

// newFleet starts size routers in each data centre and waits until they have joined.
func newFleet(t testing.TB, cfg Config, net simnet.Config, seed uint64, size int, dcs ...string) *fleet {
	f := &fleet{t: t, cfg: cfg, nodes: map[string]*node{}}
	f.net = simnet.New[Message](net, epoch, seed)
	for _, dc := range dcs {
		for i := range size {
			name := fmt.Sprintf("%s-%03d", dc, i)
			f.names = append(f.names, name)
			f.vms = append(f.vms, ListedVM{Name: name, DataCentre: dc, Address: name + ":7000"})
		}
	}
	for _, vm := range f.vms {
		f.start(vm, 1, seed)
	}
	f.net.Run(6 * time.Second)
	f.changes = nil
	return f
}

func (f *fleet) start(vm ListedVM, incarnation, seed uint64) *node {
	self := Member{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address, Incarnation: incarnation}
	n := &node{f: f, name: vm.Name}
	n.core = New(f.cfg, self, rand.New(rand.NewPCG(seed, digest.Mix(uint64(len(f.nodes))+incarnation<<32))))
	f.nodes[vm.Name] = n
	f.net.Add(vm.Name, n)
	n.step(f.net.Now(), Listed{VMs: f.vms})
	return n
}

// kill stops a router without an announcement.
func (f *fleet) kill(name string) {
	f.net.Kill(name)
	delete(f.nodes, name)
}

// verdicts returns the recorded changes to the state.
func (f *fleet) verdicts(to State) []change {
	var list []change
	for _, c := range f.changes {
		if c.got.To == to {
			list = append(list, c)
		}
	}
	return list
}

// live returns the number of members of a data centre that a node considers live.
func (f *fleet) live(name, dc string) int { return len(f.nodes[name].core.View().Live(dc)) }
