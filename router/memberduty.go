package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/ownership"
	"tarragongw/core/routing"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/peer"
	"tarragongw/peer/wire"
)

// memberDuty drives the membership core: heartbeats, suspicion and the view of
// live routers. A full mailbox drops what comes: membership sends again anyway,
// and a late heartbeat says nothing.
type memberDuty struct {
	r    *Router
	core *membership.Core
	duty *duty.Duty
	view atomic.Pointer[membership.View]
	// reports are the revisions in force that routers reported.
	reports atomic.Pointer[[]membership.Reported]
	waker   *waker
	// witnessed is when the core was last told of an answer from outside, on the clock.
	witnessed atomic.Int64
	// listed is the platform's latest list; only the duty itself uses it.
	listed []membership.ListedVM
	// noticed is when another router's reading of the list last arrived, on the clock;
	// zero: never. isolated is since when a member of the data centre is isolated.
	noticed  atomic.Int64
	isolated atomic.Int64
	notice   listNotice
}

func newMemberDuty(r *Router) *memberDuty {
	self := membership.Member{
		Name:        r.self.Name,
		DataCentre:  r.self.DataCentre,
		Address:     r.self.Address,
		Incarnation: r.self.Incarnation,
	}
	random := rand.New(rand.NewPCG(r.self.Incarnation, uint64(len(r.self.Name))))
	m := &memberDuty{r: r, core: membership.New(membership.DefaultConfig(), self, random)}
	m.view.Store(m.core.View())
	return m
}

func (m *memberDuty) start() {
	m.waker = m.r.newWaker(func() { m.duty.TellHere(membership.Tick{}) })
	m.duty = m.r.startDuty(true, m.handle)
	m.waker.within(0)
	m.r.run(m.followList)
	// The core of ownership must know this router itself from the start.
	m.publishLive()
}

// witnessEvery is the least time between two reports of an answer from outside.
const witnessEvery = 500 * time.Millisecond

// witness tells the core that the platform answered. In a data centre of two routers
// the survivor of a loss has nobody to ask whether it is the one that is cut off.
func (m *memberDuty) witness() {
	now := int64(m.r.clock.Now())
	last := m.witnessed.Load()
	if now-last < int64(witnessEvery) || !m.witnessed.CompareAndSwap(last, now) {
		return
	}
	m.duty.Tell(membership.ExternalContact{})
}

// receive hands a message of another router to the core.
func (m *memberDuty) receive(from peer.Identity, payload []byte) {
	message, err := wire.DecodeMembership(payload)
	if err != nil {
		m.r.log.Warn("unreadable membership message", "from", from.Name, "error", err)
		return
	}
	if message.Kind == membership.Ping {
		// Who pings did not hear the last heartbeat.
		m.r.peers.DistrustDatagrams(from.Name)
	}
	m.duty.TellHere(membership.Received{From: memberOf(from), Message: message})
}

func memberOf(id peer.Identity) membership.Member {
	return membership.Member{
		Name:        id.Name,
		DataCentre:  id.DataCentre,
		Address:     id.Address,
		Incarnation: id.Incarnation,
	}
}

// outlived tells the core that another router knows a newer life of this one's name.
func (m *memberDuty) outlived(incarnation uint64) {
	m.duty.Tell(membership.NewerInstance{Incarnation: incarnation})
}

// inForce tells the core which revision this router has in force.
func (m *memberDuty) inForce(revision uint64) {
	m.duty.Tell(membership.RevisionInForce{Revision: revision})
}

// reported returns the revisions in force that routers reported.
func (m *memberDuty) reported() []membership.Reported {
	if reports := m.reports.Load(); reports != nil {
		return *reports
	}
	return nil
}

// handle takes one event through the core.
func (m *memberDuty) handle(message any) {
	if read, ok := message.(listRead); ok {
		m.announce(read)
		return
	}
	event, ok := message.(membership.Event)
	if !ok {
		return
	}
	if _, tick := event.(membership.Tick); tick {
		m.waker.handled()
	}
	if list, ok := event.(membership.Listed); ok {
		m.listed = list.VMs
		m.publishPeers()
	}
	now := time.Unix(0, int64(m.r.clock.Now()))
	for _, action := range m.core.Step(now, event) {
		m.do(action)
	}
	if view := m.core.View(); view != m.view.Load() {
		m.view.Store(view)
		m.noteIsolated(view)
		m.publishLive()
		m.publishPeers()
	}
	reports := m.core.Reports()
	m.reports.Store(&reports)
	m.waker.next(m.core.Wake(now))
}

func (m *memberDuty) do(action membership.Action) {
	switch a := action.(type) {
	case membership.Send:
		m.send(a)
	case membership.Changed:
		m.changed(a)
	case membership.IsolationChanged:
		m.doubted(a)
	case membership.LinkChanged:
		m.linkChanged(a)
	}
}

func (m *memberDuty) doubted(a membership.IsolationChanged) {
	if a.On && a.Cause == membership.CauseSuperseded {
		m.r.noteOutlived()
	}
	if a.On {
		m.r.log.Warn("this router doubts its own view and declares nobody lost", "cause", string(a.Cause))
		return
	}
	m.r.log.Info("this router trusts its own view again", "cause", string(a.Cause))
}

func (m *memberDuty) send(a membership.Send) {
	payload, err := wire.EncodeMembership(&a.Message)
	if err != nil {
		m.r.log.Error("membership message not encoded", "error", err)
		return
	}
	send := m.r.peers.Send
	if a.Message.Kind == membership.Heartbeat {
		// A lost one is followed by the next, and a silent member is pinged over its session.
		send = m.r.peers.SendLossy
	}
	if !send(a.To, kindMembership, payload) {
		go m.duty.Tell(membership.SendFailed{To: a.To})
	}
}

// changedKinds maps a member's new state to the kind of event.
var changedKinds = map[membership.State]eventlog.Kind{
	membership.Alive:    eventlog.MemberJoined,
	membership.Suspect:  eventlog.MemberSuspected,
	membership.Isolated: eventlog.MemberSuspected,
	membership.Lost:     eventlog.MemberLost,
	membership.Left:     eventlog.MemberLeft,
}

func (m *memberDuty) changed(a membership.Changed) {
	m.r.journal.Record(eventlog.Event{
		Kind:   changedKinds[a.To],
		Cause:  string(a.Cause),
		Router: a.Member.Name,
		Fields: []eventlog.Field{eventlog.F("from", a.From.String()), eventlog.F("to", a.To.String()), eventlog.F("by", a.By)},
	})
	if a.To == membership.Lost {
		m.r.peers.Drop(a.Member.Name)
		m.r.past.available.silent(func(g *routing.Grantor) bool {
			return g.Router == a.Member.Name && g.Incarnation == a.Member.Incarnation
		}, membership.DefaultConfig().LostAfter)
	}
}

func (m *memberDuty) linkChanged(a membership.LinkChanged) {
	kind := eventlog.DataCentreCutOff
	if a.Up {
		kind = eventlog.DataCentreBack
	} else {
		m.r.isolation.suspect(a.DataCentre)
		m.silentDataCentre(a.DataCentre)
	}
	m.r.journal.Record(eventlog.Event{Kind: kind, Fields: []eventlog.Field{eventlog.F("data_centre", a.DataCentre)}})
}

// silentDataCentre counts the units of a data centre that is cut off as not served, from
// the begin of its silence.
func (m *memberDuty) silentDataCentre(dc string) {
	members := m.view.Load()
	m.r.past.available.silent(func(g *routing.Grantor) bool {
		status, known := members.Status(g.Router)
		return known && status.DataCentre == dc
	}, membership.DefaultConfig().RemoteTimeout)
}

// publishLive tells the core of ownership which routers of the data centre live and which
// other data centres are cut off.
func (m *memberDuty) publishLive() {
	owners := ownersOf(m.view.Load(), m.r.self.DataCentre)
	owners.OtherDataCentres = elsewhereOf(m.view.Load(), m.r.self.DataCentre)
	m.r.owner.duty.Tell(owners)
	m.r.confirms.membersChanged(owners)
	m.r.records.membersChanged(m.view.Load())
}

// ownersOf returns the routers of the data centre that may be grantors.
func ownersOf(view *membership.View, dc string) ownership.Members {
	leaving := make(map[string]bool)
	for _, status := range view.Members(dc) {
		leaving[status.Name] = status.Leaving
	}
	var e ownership.Members
	for _, member := range view.Live(dc) {
		router := ownership.Router{Name: member.Name, Incarnation: member.Incarnation}
		e.Live = append(e.Live, router)
		if leaving[member.Name] {
			e.Leaving = append(e.Leaving, router)
		}
	}
	return e
}

// elsewhereOf returns the other data centres. Of a router that doubts itself none is cut
// off: it may be the one.
func elsewhereOf(view *membership.View, dc string) []ownership.RemoteDataCentre {
	doubts, _ := view.Isolated()
	var out []ownership.RemoteDataCentre
	for _, name := range view.DataCentres() {
		if name != dc {
			out = append(out, ownership.RemoteDataCentre{Name: name, CutOff: !doubts && !view.Up(name)})
		}
	}
	return out
}

// publishPeers tells the transport whom it may talk to: the members of the view,
// and those of the platform's list that nobody has heard of yet, since a first
// message must reach them before they can be members.
func (m *memberDuty) publishPeers() {
	view := m.view.Load()
	peers := make(map[string]peer.Identity)
	for _, vm := range m.listed {
		peers[vm.Name] = peer.Identity{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address}
	}
	for _, dc := range view.DataCentres() {
		for _, status := range view.Members(dc) {
			if status.State == membership.Left {
				delete(peers, status.Name)
				continue
			}
			peers[status.Name] = identityOf(&status.Member)
		}
	}
	delete(peers, m.r.self.Name)
	m.r.peers.SetPeers(slices.Collect(maps.Values(peers)))
}

func identityOf(member *membership.Member) peer.Identity {
	return peer.Identity{
		Name:        member.Name,
		DataCentre:  member.DataCentre,
		Incarnation: member.Incarnation,
		Address:     member.Address,
	}
}

// live returns the live routers of all data centres, this one included.
func (m *memberDuty) live() []membership.Member {
	view := m.view.Load()
	var all []membership.Member
	for _, dc := range view.DataCentres() {
		all = append(all, view.Live(dc)...)
	}
	return all
}

// count is the number of live routers of all data centres, this one included.
func (m *memberDuty) count() int {
	view := m.view.Load()
	n := 0
	for _, dc := range view.DataCentres() {
		n += len(view.Live(dc))
	}
	return n
}

// broadcast sends a control message to all other live routers.
func (m *memberDuty) broadcast(kind string, payload []byte) {
	for _, member := range m.live() {
		if member.Name != m.r.self.Name {
			m.r.peers.Send(member.Name, kind, payload)
		}
	}
}
