package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Shutdown stops without cutting off a request: it refuses new sessions, retires
// all, and returns when they have ended or ctx is done. Close must follow.
//
// A session that was being dialled when the stop began comes up after the first look
// and has to be retired as well; kept, it would hold the stop up until ctx is done.
func (n *Node) Shutdown(ctx context.Context) error {
	n.lock.Lock()
	n.stopping = true
	n.lock.Unlock()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		left := n.sessions()
		if len(left) == 0 {
			return nil
		}
		for _, s := range left {
			if s.usable() {
				n.spawn(func() { s.retire(true) })
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "peer: %d sessions left", len(left))
		case <-tick.C:
		}
	}
}

// Close ends all sessions at once and waits for the node's goroutines.
func (n *Node) Close() error {
	n.life.Lock()
	n.closed = true
	n.life.Unlock()
	n.cancel()
	err := n.listener.Close()
	n.datagrams.close()
	_ = n.streams.Close()
	for _, s := range n.sessions() {
		s.close(errClosed)
	}
	_ = n.server.Close()
	n.wg.Wait()
	return errors.WithStack(err)
}
