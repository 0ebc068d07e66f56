package gateway

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/lead"
	"tarragongw/core/linkbudget"
	"tarragongw/peer/feed"
	"tarragongw/peer/relay"
)

const (
	// maxRelays bounds the routers that are named to others as relays.
	maxRelays = 64
	// relaysInterval is the least time between two lists of relays.
	relaysInterval = 50 * time.Millisecond
	// relaysLinkShare is the part of the link that the lists may take, and maxRelaysInterval the longest time between two
	// for its sake. While targets are lost, each router finds that out by itself, and each of these changes the list.
	relaysLinkShare   = 0.06
	maxRelaysInterval = 2 * time.Second
)

// relayDirectory is what the leader knows of what each router reaches. While any router lacks a target,
// all are told through which routers they may reach it.
type relayDirectory struct {
	g *Gateway

	mu sync.Mutex
	// own is what this router reaches, and followers what those that follow it in the term do.
	own       feed.Reach
	term      uint64
	followers map[string]*followerReach
	// published are the relays that were last published, and scheduled is set while a list is due.
	published []feed.Relay
	scheduled bool
	// pace spaces the lists.
	pace linkbudget.Pace
}

// followerReach is a follower with what it reaches. conns counts its connections: one may begin before
// the other has ended.
type followerReach struct {
	router feed.Router
	reach  feed.Reach
	conns  int
	// candidate is set if the follower has told what it could do as the leader: its machine, and until when
	// it does not want to lead.
	candidate     bool
	machine       lead.Machine
	declinesUntil time.Time
}

func newRelayDirectory(g *Gateway) *relayDirectory {
	pace := linkbudget.Pace{BytesPerSecond: relaysLinkShare * g.opts.LinkBytesPerSecond, Longest: maxRelaysInterval}
	return &relayDirectory{g: g, followers: map[string]*followerReach{}, pace: pace}
}

// join records that a router follows this one in a term.
func (d *relayDirectory) join(router feed.Router, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term != d.term {
		d.term, d.followers = term, map[string]*followerReach{}
	}
	f := d.followers[router.Name]
	if f == nil {
		f = &followerReach{}
		d.followers[router.Name] = f
	}
	f.router, f.reach = router, feed.Reach{} // it tells again what it doesn't reach
	f.conns++
	d.g.contacts.join(router)
	d.schedule()
}

// leave records that a connection of a follower has ended.
func (d *relayDirectory) leave(router string, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.followers[router]
	if term != d.term || f == nil {
		return
	}
	if f.conns--; f.conns == 0 {
		delete(d.followers, router)
	}
	d.schedule()
}

// setReach records what a follower reaches.
func (d *relayDirectory) setReach(router string, term uint64, r feed.Reach) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.followers[router]; term == d.term && f != nil {
		f.reach = r
		d.g.log.Info("router told what it doesn't reach", "follower", router, "services", r.Unreached.Services, "targets", r.Unreached.Targets, "unavailable", r.Unavailable)
		d.schedule()
	}
}

// setOwn records what this router reaches.
func (d *relayDirectory) setOwn(r feed.Reach) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = r
	d.schedule()
}

// schedule publishes the relays soon if they may have changed; the caller holds the lock.
func (d *relayDirectory) schedule() {
	if d.scheduled || len(d.published) == 0 && !d.needed() {
		return
	}
	d.scheduled = true
	due := d.pace.Due(d.g.leadCost.feed[feed.PartRelays].Load())
	time.AfterFunc(max(relaysInterval, time.Until(due)), d.publish)
}

// needed reports whether any router lacks a target; the caller holds the lock.
func (d *relayDirectory) needed() bool {
	if !d.own.Unreached.Empty() {
		return true
	}
	for _, f := range d.followers {
		if !f.reach.Unreached.Empty() {
			return true
		}
	}
	return false
}

// publish tells all routers the relays if these have changed.
func (d *relayDirectory) publish() {
	services := d.g.targetServices()
	d.mu.Lock()
	if due := d.pace.Due(d.g.leadCost.feed[feed.PartRelays].Load()); time.Now().Before(due) { // the last list was still being sent
		time.AfterFunc(time.Until(due), d.publish)
		d.mu.Unlock()
		return
	}
	d.scheduled = false
	relays := d.relays(services)
	if !d.g.subscription.leads() || slices.EqualFunc(relays, d.published, equalRelays) {
		d.mu.Unlock()
		return
	}
	d.published = relays
	d.pace.Sent(time.Now(), d.g.leadCost.feed[feed.PartRelays].Load())
	d.mu.Unlock()
	names := make([]string, 0, len(relays))
	for i := range relays {
		names = append(names, relays[i].Name)
	}
	d.g.log.Info("relays changed", "relays", names)
	d.g.subscription.source.SetRelays(&feed.Relays{Relays: relays})
	d.g.paths.setRelays(relays)
}

func equalRelays(a, b feed.Relay) bool {
	return a.Router == b.Router && a.Unreached.Equal(&b.Unreached)
}

// relays returns the routers through which others may reach targets, which are of that many services; none
// if that is not needed. The caller holds the lock.
func (d *relayDirectory) relays(services int) []feed.Relay {
	if !d.needed() {
		return nil
	}
	var relays []feed.Relay
	add := func(router feed.Router, r *feed.Reach) {
		if router.Address != "" && !r.Unavailable && len(r.Unreached.Services) < services {
			relays = append(relays, feed.Relay{Router: router, Unreached: r.Unreached})
		}
	}
	add(d.g.asRouter(), &d.own)
	for _, f := range d.followers {
		add(f.router, &f.reach)
	}
	slices.SortFunc(relays, func(a, b feed.Relay) int { return cmp.Compare(a.Name, b.Name) })
	return relays[:min(len(relays), maxRelays)]
}

// asRouter returns this router as the others know it.
func (g *Gateway) asRouter() feed.Router {
	return feed.Router{Name: g.opts.Name, Address: g.opts.PeerAddress, DataCentre: g.opts.DataCentre}
}

// targetServices returns the number of services that have targets.
func (g *Gateway) targetServices() int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	services := map[string]bool{}
	for i := range g.targets {
		services[g.targets[i].Service] = true
	}
	return len(services)
}

// newRelayServer returns what passes on connections for other routers.
func (g *Gateway) newRelayServer() *relay.Server {
	return &relay.Server{Lifetime: g.lifetime, Log: g.log, Open: g.openForRouter}
}

// openForRouter opens a direct connection to a target for another router.
func (g *Gateway) openForRouter(ctx context.Context, r *relay.Request) (net.Conn, error) {
	t, known := g.findTarget(r)
	if !known {
		return nil, relay.ErrTargetUnreached
	}
	conn, err := g.paths.directDialer(&t)(ctx, "tcp", t.Address)
	if err != nil && g.paths.isLost(t.ID) {
		return nil, errors.Wrap(relay.ErrTargetUnreached, err.Error()) // a refusal may be the cut's
	}
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, g: g, target: t}, nil
}

func (g *Gateway) findTarget(r *relay.Request) (directory.Target, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for i := range g.targets {
		if t := &g.targets[i]; t.ID == r.Target && t.StartUnixMilli == r.StartUnixMilli && t.Service == r.Service {
			return *t, true
		}
	}
	return directory.Target{}, false
}
