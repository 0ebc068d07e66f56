package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/spread"
	"tarragongw/internal/simnet"
	"tarragongw/peer/wire"
)

// Frame is a message of either protocol.
type Frame struct {
	Member *membership.Message
	Spread *spread.Message
}

// Full is one data centre whose routers run membership and dissemination
// together, with a store that watchers see after StoreDelay.
type Full struct {
	Net   *simnet.Net[Frame]
	Names []string
	// StoreDelay bounds the time from a write to the watcher's sight of it.
	StoreDelay time.Duration
	// Arrived is when each router first held each revision.
	Arrived map[uint64]map[string]time.Time
	// Frames and Bytes count messages and payload bytes by protocol: membership,
	// spread.
	Frames, Bytes [2]int
	// Sent and Received count payload bytes for each router where Size is set.
	Sent, Received map[string]int
	Size           bool
	// Losses are the verdicts "lost" since the last Reset, and Links the statements that
	// a data centre is cut off or back.
	Losses []Change
	Links  []LinkChange
	// StoreFar, if set, is added to each router's way to the store, and StoreCut says who
	// cannot reach it.
	StoreFar func(name string) time.Duration
	StoreCut func(name string) bool
	// QuietFrames are the spread messages that the span of Quiet held.
	QuietFrames float64

	nodes   map[string]*fullNode
	records map[string]spread.Entry
	rev     uint64
}

type fullNode struct {
	f        *Full
	name     string
	self     membership.Member
	member   *membership.Core
	spread   *spread.Core
	view     *membership.View
	watching bool
}

// NewFull starts size routers and lets them settle. values is the number of
// records that the store holds at first, each of valueSize bytes.
func NewFull(mcfg membership.Config, scfg spread.Config, loss float64, seed uint64, size, values, valueSize int) *Full {
	f := newFull(mcfg, loss, seed, values, valueSize)
	f.startAll(mcfg, scfg, seed, []string{"dc-00"}, size)
	f.Net.Run(5 * time.Second)
	f.Reset()
	return f
}

// newFull returns a fleet without routers.
func newFull(mcfg membership.Config, loss float64, seed uint64, values, valueSize int) *Full {
	f := &Full{
		Net:        simnet.New[Frame](Network(mcfg.Tick, loss), Epoch, seed),
		StoreDelay: 5 * time.Millisecond,
		Arrived:    map[uint64]map[string]time.Time{},
		Sent:       map[string]int{},
		Received:   map[string]int{},
		nodes:      map[string]*fullNode{},
		records:    map[string]spread.Entry{},
	}
	for i := range values {
		f.rev++
		key := fmt.Sprintf("ownership/listing-svc/%04d", i)
		f.records[key] = spread.Entry{Key: key, Revision: f.rev, Class: spread.Ownership, Value: make([]byte, valueSize)}
	}
	return f
}

// startAll starts size routers in each data centre.
func (f *Full) startAll(mcfg membership.Config, scfg spread.Config, seed uint64, dcs []string, size int) {
	var vms []membership.ListedVM
	for d, dc := range dcs {
		for i := range size {
			name := fmt.Sprintf("%s-r%03d", dc, i)
			f.Names = append(f.Names, name)
			vms = append(vms, membership.ListedVM{Name: name, DataCentre: dc, Address: fmt.Sprintf("10.%d.%d.%d:7400", d, i/250, i%250+1)})
		}
	}
	for i, vm := range vms {
		f.start(mcfg, scfg, vm, vms, seed, uint64(i))
	}
}

func (f *Full) start(mcfg membership.Config, scfg spread.Config, vm membership.ListedVM, vms []membership.ListedVM, seed, i uint64) {
	n := &fullNode{f: f, name: vm.Name}
	n.self = membership.Member{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address, Incarnation: uint64(Epoch.UnixMilli()) + i}
	n.member = membership.New(mcfg, n.self, rand.New(rand.NewPCG(seed, i)))
	n.spread = spread.New(scfg, vm.Name, vm.DataCentre, n.self.Incarnation, rand.New(rand.NewPCG(seed+1, i)))
	f.nodes[vm.Name] = n
	f.Net.Add(vm.Name, n)
	n.stepMember(Epoch, membership.Listed{VMs: vms})
}

// Tick implements simnet.Node.
func (n *fullNode) Tick(now time.Time) {
	n.stepMember(now, membership.Tick{})
	n.stepSpread(now, spread.Tick{})
}

// Deliver implements simnet.Node.
func (n *fullNode) Deliver(now time.Time, from string, m Frame) {
	if m.Member != nil {
		n.stepMember(now, membership.Received{From: n.f.nodes[from].self, Message: *m.Member})
		return
	}
	n.stepSpread(now, spread.Received{From: from, Message: *m.Spread})
}

func (n *fullNode) stepMember(now time.Time, e membership.Event) {
	for _, a := range n.member.Step(now, e) {
		switch a := a.(type) {
		case membership.Send:
			m := a.Message
			n.f.count(n.name, a.To, 0, func() ([]byte, error) { return wire.EncodeMembership(&m) })
			n.f.Net.Send(n.name, a.To, Frame{Member: &m})
		case membership.Changed:
			n.f.noteChange(now, n.name, a)
		case membership.LinkChanged:
			n.f.Links = append(n.f.Links, LinkChange{now, n.name, a})
		}
	}
	if v := n.member.View(); v != n.view {
		n.view = v
		n.stepSpread(now, n.members(v))
	}
}

// members is the view as the dissemination core takes it.
func (n *fullNode) members(v *membership.View) spread.Members {
	m := spread.Members{Local: names(v.Live(n.self.DataCentre))}
	for _, dc := range v.DataCentres() {
		if dc != n.self.DataCentre {
			m.Remote = append(m.Remote, spread.DataCentre{Name: dc, Live: names(v.Live(dc))})
		}
	}
	return m
}

func names(members []membership.Member) []string {
	list := make([]string, len(members))
	for i := range members {
		list[i] = members[i].Name
	}
	return list
}

func (n *fullNode) stepSpread(now time.Time, e spread.Event) {
	for _, a := range n.spread.Step(now, e) {
		switch a := a.(type) {
		case spread.Send:
			m := a.Message
			n.f.count(n.name, a.To, 1, func() ([]byte, error) { return wire.EncodeSpread(&m) })
			n.f.Net.Send(n.name, a.To, Frame{Spread: &m})
		case spread.Deliver:
			n.f.arrived(n.name, now, a.Entries)
		case spread.Watch:
			n.watching = a.On
			if a.On {
				n.f.Net.After(n.f.delay()+n.f.storeFar(n.name), n.readStore)
			}
		}
	}
}

// readStore hands the watcher all that the store holds.
func (n *fullNode) readStore() {
	if n.f.nodes[n.name] != n || n.f.cutFromStore(n.name) {
		return
	}
	list := make([]spread.Entry, 0, len(n.f.records))
	for _, e := range n.f.records {
		list = append(list, e)
	}
	n.stepSpread(n.f.Net.Now(), spread.FromStore{Entries: list, Complete: true, Revision: n.f.rev})
}

func (f *Full) count(from, to string, protocol int, encode func() ([]byte, error)) {
	f.Frames[protocol]++
	if !f.Size {
		return
	}
	b, err := encode()
	if err != nil {
		panic(err)
	}
	f.Bytes[protocol] += len(b)
	f.Sent[from] += len(b)
	f.Received[to] += len(b)
}

func (f *Full) arrived(name string, now time.Time, entries []spread.Entry) {
	for i := range entries {
		at := f.Arrived[entries[i].Revision]
		if at == nil {
			continue
		}
		if _, ok := at[name]; !ok {
			at[name] = now
		}
	}
}

func (f *Full) delay() time.Duration {
	return time.Millisecond + time.Duration(f.Net.Rand().Int64N(int64(f.StoreDelay)))
}

// Write changes a record in the store and returns its revision. The change
// counts as acknowledged at once.
func (f *Full) Write(key string, class spread.Class, size int) uint64 {
	f.rev++
	e := spread.Entry{Key: key, Revision: f.rev, Class: class, Value: make([]byte, size)}
	f.records[key] = e
	f.Arrived[f.rev] = map[string]time.Time{}
	for _, name := range f.Names {
		n := f.nodes[name]
		if n == nil || !n.watching {
			continue
		}
		f.Net.After(f.delay()+f.storeFar(name), func() {
			if f.nodes[name] == n && !f.cutFromStore(name) {
				n.stepSpread(f.Net.Now(), spread.FromStore{Entries: []spread.Entry{e}, Revision: e.Revision})
			}
		})
	}
	return f.rev
}

// Kill stops routers without a word.
func (f *Full) Kill(names ...string) {
	for _, name := range names {
		f.Net.Kill(name)
	}
}

// Alive says whether the router still runs.
func (f *Full) Alive(dead map[string]bool) []string {
	var list []string
	for _, name := range f.Names {
		if !dead[name] {
			list = append(list, name)
		}
	}
	return list
}

// Quiet lets time pass without changes and returns the bytes in and out of each
// router, to be taken off those of a span of the same length with changes.
func (f *Full) Quiet(span time.Duration) map[string]float64 {
	f.Reset()
	f.Net.Run(span)
	f.QuietFrames = float64(f.Frames[1])
	bytes := make(map[string]float64, len(f.Names))
	for _, name := range f.Names {
		bytes[name] = float64(f.Sent[name] + f.Received[name])
	}
	return bytes
}

// Reset forgets counts.
func (f *Full) Reset() {
	f.Frames, f.Bytes = [2]int{}, [2]int{}
	clear(f.Sent)
	clear(f.Received)
	f.Losses, f.Links = nil, nil
}
