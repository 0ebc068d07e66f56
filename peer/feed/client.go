package feed

import (
	"bufio"
	"context"
	"net"
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
	// Update is told what the leader tells, heartbeats included.
	Update func(u *Update)
	// Reports returns what is to be reported since the last call.
	Reports func() []Report
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
	if err := write(conn, &feedpb.Hello{Router: f.Router, Term: f.Term}); err != nil {
		return err
	}
	go f.report(ctx, conn)
	reader, tables := bufio.NewReader(conn), map[string]*keyspace.Table{}
	for {
		p := &feedpb.Update{}
		if err := read(conn, reader, p, Silence); err != nil {
			return err
		}
		u, err := decodeUpdate(p, tables)
		if err != nil {
			return err
		}
		f.Update(u)
	}
}

// report tells the leader which keys were asked for. A report that can't be written is
// lost with the connection, whose end Run notices.
func (f *Follower) report(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, r := range f.Reports() {
			heat := &feedpb.Heat{Service: r.Service}
			for _, k := range r.Keys {
				heat.Keys = append(heat.Keys, uint32(k))
			}
			if err := write(conn, heat); err != nil {
				return
			}
		}
	}
}
