package feed

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/keyspace"
	"tarragongw/core/quarantine"
	"tarragongw/peer/feedpb"
)

// Follower is the end of a feed at a router that follows one leader.
//
// A follower that can't reach the store backs its leader if that can't reach it either: it
// promises to follow no other leader until BackedFor after the heartbeat that it answers.
type Follower struct {
	// Router is this router.
	Router Router
	// Address is the leader's address for followers, and Term its term.
	Address string
	Term    uint64
	// Promised is for how long this router is still bound by having backed another leader.
	Promised time.Duration
	// OnUpdate is called with each update from the leader, heartbeats included.
	OnUpdate func(u *Update)
	// Reports returns what has to be reported since the last call.
	Reports func() []Report
	// Observations returns what was observed of suspected requests since the last call. Wake makes
	// the follower send it at once. Both may be nil.
	Observations func() *quarantine.Observations
	Wake         <-chan struct{}
	// Reach returns what this router reaches if that has changed since the last call, else nil. WakeReach
	// makes the follower send it at once. Both may be nil.
	Reach     func() *Reach
	WakeReach <-chan struct{}
	// TargetNews returns what there is to tell and to ask about statements of targets since the last call. WakeNews makes
	// the follower send it. Both may be nil.
	TargetNews func() *TargetNews
	WakeNews   <-chan struct{}
	// Backs says whether this router can't reach the store, so that it backs the leader;
	// Backed is called with the time until which it does.
	Backs    func() bool
	OnBacked func(until time.Time)
	// Candidacy returns what this router could do as the leader. It may be nil.
	Candidacy func() Candidacy
	// Clock measures how long updates are on their way. The default is clock.Boot.
	Clock clock.Clock

	// mu guards the number of the last heartbeat and when it arrived.
	mu          sync.Mutex
	heartbeat   uint64
	heartbeatAt time.Time
}

// Run follows the leader until ctx ends or the feed fails; the error says why.
func (f *Follower) Run(ctx context.Context) error {
	if f.Clock == nil {
		f.Clock = clock.Boot{}
	}
	began := f.Clock.Now()
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return errors.Wrap(err, "connect to the leader")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	hello := &feedpb.Hello{
		Router: f.Router.Name, Term: f.Term, PromisedMs: f.Promised.Milliseconds(), Unpacks: true,
		Address: f.Router.Address, DataCentre: f.Router.DataCentre,
	}
	if f.Candidacy != nil {
		hello.Candidacy = encodeCandidacy(f.Candidacy())
	}
	if err := writeMessage(conn, hello); err != nil {
		return err
	}
	var reporting sync.WaitGroup
	reporting.Add(1)
	go func() {
		defer reporting.Done()
		f.sendReports(ctx, conn)
	}()
	// No report may be sent after Run has returned: this router may follow another leader by
	// then.
	defer reporting.Wait()
	defer cancel()
	return f.receiveUpdates(conn, &ageEstimator{began: began})
}

func (f *Follower) receiveUpdates(conn net.Conn, ages *ageEstimator) error {
	reader, tables := newUpdateReader(conn), map[string]*keyspace.Table{}
	for {
		p, err := reader.next()
		if err != nil {
			return err
		}
		arrived := f.Clock.Now()
		f.mu.Lock()
		f.heartbeat, f.heartbeatAt = p.GetBeat(), time.Now()
		f.mu.Unlock()
		u, err := decodeUpdate(p, tables)
		if err != nil {
			return err
		}
		if age, known := ages.age(arrived, p); known {
			u.ConfirmedAt, u.Confirmed = arrived-age, true
		}
		if err := ages.errIfUncertain(); err != nil {
			return err
		}
		f.OnUpdate(u)
	}
}

// sendReports regularly reports to the leader the requested keys, the service times, and
// whether this router backs it. A report that can't be written ends the loop; Run notices
// the broken connection itself.
func (f *Follower) sendReports(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-f.Wake:
		case <-f.WakeReach:
		case <-f.WakeNews:
			if err := writeMessage(conn, encodeTargetNews(f.TargetNews(), time.Now())); err != nil {
				return
			}
			continue
		case <-ctx.Done():
			return
		}
		p := encodeReports(f.Reports())
		if f.Observations != nil {
			p.Observations = encodeObservations(f.Observations())
		}
		if f.Reach != nil {
			p.Reach = encodeReach(f.Reach())
		}
		f.addBacking(p)
		if len(p.Heat)+len(p.ServiceTimes) == 0 && !p.Backs && p.Observations == nil && p.Reach == nil {
			continue
		}
		if err := writeMessage(conn, p); err != nil {
			return
		}
	}
}

func encodeReports(reports []Report) *feedpb.Report {
	p := &feedpb.Report{}
	for _, r := range reports {
		if len(r.Keys) > 0 {
			heat := &feedpb.Heat{Service: r.Service}
			for _, k := range r.Keys {
				heat.Keys = append(heat.Keys, uint32(k))
			}
			p.Heat = append(p.Heat, heat)
		}
		if len(r.ServiceTimes) > 0 {
			p.ServiceTimes = append(p.ServiceTimes, encodeServiceTimes(r.Service, r.ServiceTimes))
		}
	}
	return p
}

// addBacking adds to a report that this router backs the leader, if it does.
func (f *Follower) addBacking(p *feedpb.Report) {
	if !f.Backs() {
		return
	}
	f.mu.Lock()
	heartbeat, at := f.heartbeat, f.heartbeatAt
	f.mu.Unlock()
	if heartbeat == 0 {
		return
	}
	p.Backs, p.Beat = true, heartbeat
	f.OnBacked(at.Add(BackedFor))
}
