package gateway

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragongw/kv"
	"tarragongw/peer/feed"
)

// maxContacts is how many routers are named to all others as contacts.
const maxContacts = 8

// contacts are routers that this one asks for the newest configuration and who leads, while neither the store nor a
// leader confirms its configuration: who leads is written in the store, and a router that has lost only its own
// path to the store would otherwise not find the next leader.
type contacts struct {
	g *Gateway

	mu        sync.Mutex
	addresses []string
	// recorded are the routers with a record in the store, and joined those that have followed this one, by name.
	recorded map[string]feed.Router
	joined   map[string]joinedRouter
}

type joinedRouter struct {
	feed.Router
	at time.Time
}

func newContacts(g *Gateway) *contacts { return &contacts{g: g, joined: map[string]joinedRouter{}} }

// set replaces the contacts by those that the leader has told.
func (c *contacts) set(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use(addresses)
}

// use replaces the contacts; the caller holds the lock.
func (c *contacts) use(addresses []string) {
	if slices.Equal(addresses, c.addresses) {
		return
	}
	c.addresses = addresses
	c.g.subscription.source.SetContacts(addresses)
}

// join records that a router follows this one. It stays a contact when it leaves, as it does when this router has
// lost the store.
func (c *contacts) join(router feed.Router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joined[router.Name] = joinedRouter{router, time.Now()}
	c.choose()
}

// setRecorded replaces the routers with a record in the store.
func (c *contacts) setRecorded(routers map[string]feed.Router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded = maps.Clone(routers)
	maps.DeleteFunc(c.joined, func(_ string, r joinedRouter) bool { return time.Since(r.at) > memberTTL })
	c.choose()
}

// choose chooses the contacts among all known routers; the caller holds the lock.
func (c *contacts) choose() {
	known := maps.Clone(c.recorded)
	if known == nil {
		known = map[string]feed.Router{}
	}
	for name, r := range c.joined {
		known[name] = r.Router
	}
	c.use(chooseContacts(known))
}

// others returns the addresses of the contacts and the last known leader, without this router's own.
func (c *contacts) others(leader string) []string {
	c.mu.Lock()
	all := slices.Clone(c.addresses)
	c.mu.Unlock()
	if leader != "" && !slices.Contains(all, leader) {
		all = append(all, leader)
	}
	return slices.DeleteFunc(all, func(address string) bool { return address == c.g.opts.PeerAddress })
}

// ask asks the contacts for their state.
func (c *contacts) ask() {
	for _, address := range c.others(c.g.subscription.leaderAddress()) {
		c.g.goRun(func() { c.askOne(address) })
	}
}

func (c *contacts) askOne(address string) {
	inForce := uint64(0)
	if v := c.g.view.Load(); v != nil {
		inForce = v.config.Version
	}
	asked := c.g.opts.Clock.Now()
	s, err := feed.AskState(c.g.lifetime, c.g.asRouter(), address, inForce)
	if err != nil {
		c.g.log.Info("state request failed", "address", address, "err", err)
		return
	}
	c.g.log.Info("state received from a router", "address", address, "config", s.ConfigVersion, "config_age", s.ConfigAge, "in_force", inForce,
		"leader", s.Leader, "term", s.Term)
	c.g.state.duty.Tell(&peerState{state: s, askedAt: asked})
}

// peerState is what another router knew at askedAt or later, by the clock that goes on during suspension.
type peerState struct {
	state   *feed.State
	askedAt time.Duration
}

// useState takes what another router knows of the configuration and the leader.
func (cs *clusterState) useState(m *peerState) {
	s, a := m.state, &cs.g.opts.Adapter
	if len(s.ConfigValue) > 0 {
		told := &change{records: []kv.Record{{Key: a.ConfigKey, Value: s.ConfigValue}}, at: time.Now()}
		cs.handleChange(&prefixMessage{prefix: a.ConfigPrefix, message: told, toldBy: toldByRouter})
	}
	if s.ConfigVersion > 0 {
		cs.confirm(&stateConfirmed{config: true, version: s.ConfigVersion, at: m.askedAt - s.ConfigAge})
	}
	if s.Evacuations != nil {
		cs.adoptEvacuations(s.Evacuations, toldByRouter)
		if slices.Equal(s.Evacuations.Records, cs.evacuations.Snapshot().Records) {
			cs.confirm(&stateConfirmed{evacuations: true, at: m.askedAt - s.EvacuationsAge})
		}
	}
	leader := &leaderStatus{name: s.Leader, address: s.Address, revision: kv.Revision(s.Term), present: true}
	if leader.revision > cs.g.subscription.leaderRevision() {
		cs.g.leader.duty.Tell(leader)
		cs.g.subscription.setLeader(*leader)
	}
}

// ownState returns the state that this router sends to others that ask for it.
func (g *Gateway) ownState() *feed.State {
	s := &feed.State{ConfigAge: g.configAge.age()}
	s.ConfigVersion, s.ConfigValue = g.subscription.source.Config()
	if g.evacuates() {
		s.Evacuations, s.EvacuationsAge = g.subscription.source.Evacuations(), g.sends.evacuations.age()
	}
	if leader := g.subscription.knownLeader(); leader.present {
		s.Leader, s.Address, s.Term = leader.name, leader.address, uint64(leader.revision)
	}
	return s
}

// chooseContacts chooses from the routers some of each data centre, in turn.
func chooseContacts(routers map[string]feed.Router) []string {
	byDataCentre := map[string][]string{}
	for _, r := range routers {
		if r.Address != "" {
			byDataCentre[r.DataCentre] = append(byDataCentre[r.DataCentre], r.Address)
		}
	}
	groups := make([][]string, 0, len(byDataCentre))
	for _, addresses := range byDataCentre {
		slices.Sort(addresses)
		groups = append(groups, addresses)
	}
	slices.SortFunc(groups, func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	var chosen []string
	for i := 0; len(chosen) < maxContacts && len(groups) > 0; i++ {
		groups = slices.DeleteFunc(groups, func(addresses []string) bool { return i >= len(addresses) })
		for _, addresses := range groups {
			chosen = append(chosen, addresses[i])
		}
	}
	return chosen[:min(len(chosen), maxContacts)]
}

// recordSeparator separates the data centre from the address in a router's record.
const recordSeparator = " "

// ownRecord returns the value of this router's record in the store.
func (g *Gateway) ownRecord() []byte {
	return []byte(g.opts.DataCentre + recordSeparator + g.opts.PeerAddress)
}

// decodeRouter decodes a router's record; the address is empty in a record of an earlier version.
func decodeRouter(name string, value []byte) feed.Router {
	dataCentre, address, _ := strings.Cut(string(value), recordSeparator)
	return feed.Router{Name: name, DataCentre: dataCentre, Address: address}
}
