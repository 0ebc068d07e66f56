package feed

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/keyspace"
	"tarragongw/peer/feedpb"
)

// Follower follows one leader.
type Follower struct {
	// Router is this router's name.
	Router string
	// Address and Term are the leader's.
	Address string
	Term    uint64
	// Promised is for how long this router still backs another leader.
	Promised time.Duration
	// Update is given what the leader sends, heartbeats included.
	Update func(u *Update)
	// Reports returns what is to be reported since the last call.
	Reports func() []Report
	// Backs says whether this router doesn't reach the store, so that it backs a leader
	// that doesn't either; Backed is called until when it does so.
	Backs  func() bool
	Backed func(until time.Time)

	// mu guards the last beat and when it came.
	mu     sync.Mutex
	beat   uint64
	beatAt time.Time
}

// Run follows until ctx ends or the leader is lost, which the error explains.
func (f *Follower) Run(ctx context.Context) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return errors.Wrap(err, "reach the leader")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	hello := &feedpb.Hello{Router: f.Router, Term: f.Term, PromisedMs: f.Promised.Milliseconds(), Unpacks: true}
	if err := write(conn, hello); err != nil {
		return err
	}
	var reporting sync.WaitGroup
	reporting.Add(1)
	go func() {
		defer reporting.Done()
		f.report(ctx, conn)
	}()
	// No report may leave once Run has returned: another leader may be followed then.
	defer reporting.Wait()
	defer cancel()
	return f.listen(conn)
}

func (f *Follower) listen(conn net.Conn) error {
	reader, tables := newUpdateReader(conn), map[string]*keyspace.Table{}
	for {
		p, err := reader.next()
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.beat, f.beatAt = p.GetBeat(), time.Now()
		f.mu.Unlock()
		u, err := decodeUpdate(p, tables)
		if err != nil {
			return err
		}
		f.Update(u)
	}
}

// report sends the leader which keys were asked for, and whether it is backed. A report
// that can't be written is lost with the connection, whose end Run notices.
func (f *Follower) report(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		p := encodeReports(f.Reports())
		f.back(p)
		if len(p.Heat)+len(p.ServiceTimes) == 0 && !p.Backs {
			continue
		}
		if err := write(conn, p); err != nil {
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

// back puts into a report that this router backs the leader, where it does.
func (f *Follower) back(p *feedpb.Report) {
	if !f.Backs() {
		return
	}
	f.mu.Lock()
	beat, at := f.beat, f.beatAt
	f.mu.Unlock()
	if beat == 0 {
		return
	}
	p.Backs, p.Beat = true, beat
	f.Backed(at.Add(BackedFor))
}
