package gateway

import (
	"context"
	"time"
)

const (
	// leaveShare is the part of the grace after which nothing is taken on any more, and
	// maxLeave the longest such time: by then the platform has asked twice whether this router
	// is ready, and sends no more. What is taken on later has less time to end, however long
	// the grace is.
	leaveShare = 0.5
	maxLeave   = 2900 * time.Millisecond
	// cutShare is the part of the grace that requests in flight have to end. The others are
	// told so in the rest of it; of the usual grace of 6 s that is 0.7 s.
	cutShare = 0.88
)

// Stop ends the router gracefully: it is not ready from now on, gives the lead up, answers
// all that still comes, and closes once what is in flight has ended. While the store doesn't
// answer it leads on until the grace is nearly over. It returns how many requests were cut
// off.
func (g *Gateway) Stop() (cut int) {
	began := time.Now()
	g.leaving.Store(true)
	g.log.Info("stopping", "grace", g.opts.Grace)
	down := &stepDown{done: make(chan struct{})}
	g.leader.duty.Tell(down)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(part(g.opts.Grace, cutShare)))
	defer cancel()
	leave := time.After(leaveAfter(g.opts.Grace))
	select {
	case <-down.done:
		g.members.leave(ctx)
		<-leave
	case <-leave:
	}
	g.mu.RLock()
	callers := g.callers
	g.mu.RUnlock()
	if callers != nil {
		cut = callers.Shutdown(ctx)
	}
	select {
	case <-down.done:
	case <-ctx.Done(): // the store didn't answer; this router led on to its end
	}
	g.members.leave(ctx)
	g.cancel()
	g.pools.closeAll()
	g.log.Info("stopped", "cut", cut, "took", time.Since(began))
	return cut
}

// leaveAfter is how long after the request to stop a router takes nothing on any more.
func leaveAfter(grace time.Duration) time.Duration { return min(part(grace, leaveShare), maxLeave) }

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
