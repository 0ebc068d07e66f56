package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"tarragongw/peer/peerpb"
)

// known returns the highest incarnation of the router with the name that this one
// knows; zero means none.
func (n *Node) known(name string) uint64 {
	var highest uint64
	if l := n.lookup(name); l != nil {
		l.lock.Lock()
		highest = l.incarnation
		l.lock.Unlock()
	}
	if n.cfg.Incarnation != nil {
		highest = max(highest, n.cfg.Incarnation(name))
	}
	return highest
}

// noteKnown tells the embedding program where the other side knows a newer life of
// this router's name.
func (n *Node) noteKnown(answer *peerpb.Hello) {
	if answer.Known > n.self.Incarnation && n.cfg.OnOutlived != nil {
		n.cfg.OnOutlived(answer.Known)
	}
}

// KnownIncarnation asks the routers, all at once, for the highest incarnation of
// cfg.Self's name that they know, and returns the highest above cfg.Self's; zero means
// that none knows one. answers is how many routers answered. It neither listens nor
// leaves a session behind, and is meant for a router that has not started: what it takes
// for its incarnation must hold for all of its life. ctx and cfg.DialTimeout bound it.
func KnownIncarnation(ctx context.Context, cfg Config, routers []Identity) (highest uint64, answers int) {
	var lock sync.Mutex
	cfg.OnOutlived = func(incarnation uint64) {
		lock.Lock()
		defer lock.Unlock()
		highest = max(highest, incarnation)
	}
	n := &Node{cfg: cfg.withDefaults(), self: cfg.Self, asks: true}
	var answered atomic.Int64
	var asking sync.WaitGroup
	for _, to := range routers {
		asking.Go(func() {
			conn, _, err := n.dial(ctx, to.Address, to.Name)
			if err == nil {
				// An older minor version took it for a session.
				_ = conn.Close()
			}
			if err == nil || errors.Is(err, ErrRefused) {
				answered.Add(1)
			}
		})
	}
	asking.Wait()
	return highest, int(answered.Load())
}
