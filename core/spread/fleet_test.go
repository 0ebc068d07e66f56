package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tarragongw/internal/simnet"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a number of cores on a simulated network with one store.
type fleet struct {
	net   *simnet.Net[Message]
	cfg   Config
	nodes map[string]*node
	dcs   map[string][]string
	store map[string]Entry
	rev   uint64
	seed  uint64
	// stale is an old listing of the store, and staleAt its revision.
	stale   []Entry
	staleAt uint64
	// trace, if set, is called with all actions.
	trace func(name string, now time.Time, actions []Action)
}

type node struct {
	f        *fleet
	core     *Core
	name, dc string
	// cutFromStore keeps the store's changes from the node.
	cutFromStore bool
	watching     bool
	ready        []Ready
	refused      []Refused
	answered     []Answered
	announced    []Announced
	// regressions counts deliveries that took a key back to a lower revision.
	regressions  int
	lastRevision map[string]uint64
	// deliveredAt is when each revision was delivered.
	deliveredAt map[uint64]time.Time
	// legacyQuestions makes the node handle questions like the version before answers were
	// merged.
	legacyQuestions bool
	// noPatches makes the others treat the node as one of the version before patches.
	noPatches bool
	// due is when the next Tick is due.
	due time.Time
}

func (n *node) Tick(now time.Time) {
	if !now.Before(n.due) {
		n.due = time.Time{}
		n.step(now, Tick{})
	}
}

func (n *node) Deliver(now time.Time, from string, m Message) {
	if n.legacyQuestions && m.Kind == Ask {
		for _, child := range n.core.children(m.Root) {
			n.f.net.Send(n.name, child, m)
		}
		n.f.net.Send(n.name, m.ReplyTo, Message{Kind: Rows, Seq: m.Seq, Rows: []Row{{Router: n.name, Reporter: n.name}}})
		return
	}
	n.step(now, Received{From: from, Message: m})
}

func (n *node) step(now time.Time, e Event) {
	actions := n.core.Step(now, e)
	if n.f.trace != nil {
		n.f.trace(n.name, now, actions)
	}
	for _, a := range actions {
		n.do(now, a)
	}
	due := now.Add(n.core.Wake(now))
	if n.due.IsZero() || due.Before(n.due) {
		n.due = due
	}
}

func (n *node) do(now time.Time, action Action) {
	switch a := action.(type) {
	case Send:
		if to := n.f.nodes[a.To]; to != nil && to.noPatches && a.Message.Kind == Patched {
			n.step(now, PatchesUnsupported(a))
			return
		}
		n.f.net.Send(n.name, a.To, a.Message)
	case Deliver:
		n.deliver(now, a.Entries)
	case Watch:
		n.watching = a.On
		if a.On && !n.cutFromStore {
			n.f.net.After(2*time.Millisecond, func() { n.readStore() })
		}
	case Ready:
		n.ready = append(n.ready, a)
	case Refused:
		n.refused = append(n.refused, a)
	case Announced:
		n.announced = append(n.announced, a)
	case Answered:
		n.answered = append(n.answered, a)
	case Asked:
		n.step(now, Answer{To: a.To, ID: a.ID, Rows: []Row{{Router: n.name, Revision: n.core.Revision(), Reporter: n.name}}})
	}
}

func (n *node) deliver(now time.Time, entries []Entry) {
	for _, e := range entries {
		if e.Revision < n.lastRevision[e.Key] {
			n.regressions++
		}
		n.lastRevision[e.Key] = e.Revision
		n.deliveredAt[e.Revision] = now
	}
}

// readStore gives the node all records of the store.
func (n *node) readStore() {
	if n.f.nodes[n.name] != n {
		return
	}
	n.step(n.f.net.Now(), FromStore{Entries: n.f.storeEntries(), Complete: true, Revision: n.f.rev})
}

func (f *fleet) storeEntries() []Entry {
	list := make([]Entry, 0, len(f.store))
	for _, e := range f.store {
		list = append(list, e)
	}
	sortByUrgency(list)
	return list
}

func reliable() simnet.Config {
	return simnet.Config{Tick: 10 * time.Millisecond, MinDelay: 300 * time.Microsecond, MaxDelay: time.Millisecond}
}

func newFleet(cfg Config, net simnet.Config, seed uint64, size int, dcs ...string) *fleet {
	f := &fleet{cfg: cfg, nodes: map[string]*node{}, dcs: map[string][]string{}, store: map[string]Entry{}, seed: seed}
	f.net = simnet.New[Message](net, epoch, seed)
	for _, dc := range dcs {
		for i := range size {
			f.dcs[dc] = append(f.dcs[dc], fmt.Sprintf("%s-%03d", dc, i))
		}
	}
	for _, dc := range dcs {
		for _, name := range f.dcs[dc] {
			f.start(name, dc, 1)
		}
	}
	f.sendMembersToAll()
	f.net.Run(3 * time.Second)
	return f
}

func (f *fleet) start(name, dc string, incarnation uint64) *node {
	n := &node{f: f, name: name, dc: dc, lastRevision: map[string]uint64{}, deliveredAt: map[uint64]time.Time{}}
	n.core = New(f.cfg, name, dc, incarnation, rand.New(rand.NewPCG(f.seed, uint64(len(f.nodes))+incarnation<<32)))
	f.nodes[name] = n
	f.net.Add(name, n)
	return n
}

func (f *fleet) names() []string {
	var all []string
	for _, dc := range f.dcNames() {
		all = append(all, f.dcs[dc]...)
	}
	return all
}

func (f *fleet) dcNames() []string {
	var names []string
	for dc := range f.dcs {
		names = append(names, dc)
	}
	slices.Sort(names)
	return names
}

func (f *fleet) sendMembersToAll() {
	for _, name := range f.names() {
		if n := f.nodes[name]; n != nil {
			f.sendMembers(n)
		}
	}
}

func (f *fleet) sendMembers(n *node) {
	m := Members{Local: slices.Clone(f.dcs[n.dc])}
	for _, dc := range f.dcNames() {
		if dc != n.dc {
			m.Remote = append(m.Remote, DataCentre{Name: dc, Live: slices.Clone(f.dcs[dc])})
		}
	}
	n.step(f.net.Now(), m)
}

// kill ends a router. The member view changes only with removeMembers.
func (f *fleet) kill(name string) {
	f.net.Kill(name)
	delete(f.nodes, name)
}

// removeMembers removes killed routers from the member view.
func (f *fleet) removeMembers(names ...string) {
	for dc, list := range f.dcs {
		f.dcs[dc] = slices.DeleteFunc(list, func(n string) bool { return slices.Contains(names, n) })
	}
	f.sendMembersToAll()
}

// write changes a key in the store. The watchers see the change a little later.
func (f *fleet) write(key string, class Class, value string) uint64 {
	f.rev++
	e := Entry{Key: key, Revision: f.rev, Class: class, Value: []byte(value)}
	f.store[key] = e
	for _, name := range f.names() {
		n := f.nodes[name]
		if n == nil || !n.watching || n.cutFromStore {
			continue
		}
		f.net.After(time.Duration(1+f.net.Rand().IntN(3))*time.Millisecond, func() {
			if f.nodes[name] == n {
				n.step(f.net.Now(), FromStore{Entries: []Entry{e}, Revision: e.Revision})
			}
		})
	}
	return f.rev
}

// behind returns the routers whose records differ from the store's.
func (f *fleet) behind() []string {
	reference := New(f.cfg, "reference", "none", 1, rand.New(rand.NewPCG(1, 1)))
	reference.Step(epoch, FromStore{Entries: f.storeEntries()})
	var list []string
	for _, name := range f.names() {
		if n := f.nodes[name]; n != nil && n.core.Digest() != reference.Digest() {
			list = append(list, name)
		}
	}
	return list
}

// fixedRand returns a source of randomness for cores whose choices do not matter.
func fixedRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
