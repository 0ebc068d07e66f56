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
	acceptShare   = 0.5
	maxAcceptTime = 2900 * time.Millisecond
	// cutShare is the part of the grace that requests in flight have to end. The others are
	// told so in the rest of it; of the usual grace of 6 s that is 0.7 s.
	drainShare = 0.88
)

// Stop ends the router gracefully: it is not ready from now on, gives the lead up, answers
// all that still comes, and closes once what is in flight has ended. While the store doesn't
// answer it leads on until the grace is nearly over. It returns how many requests were cut
// off.
func (g *Gateway) Stop() (cut int) {
	began := time.Now()
	g.stopping.Store(true)
	g.log.Info("stopping", "grace", g.opts.Grace)
	down := &stepDown{finished: make(chan struct{})}
	g.leader.duty.Tell(down)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(fraction(g.opts.Grace, drainShare)))
	defer cancel()
	acceptEnd := time.After(acceptTime(g.opts.Grace))
	select {
	case <-down.finished:
		g.membership.remove(ctx)
		<-acceptEnd
	case <-acceptEnd:
	}
	g.mu.RLock()
	callers := g.callers
	g.mu.RUnlock()
	if callers != nil {
		cut = callers.Shutdown(ctx)
	}
	select {
	case <-down.finished:
	case <-ctx.Done(): // the store didn't answer; this router led on to its end
	}
	g.membership.remove(ctx)
	g.cancel()
	g.pools.closeAll()
	g.log.Info("stopped", "cut", cut, "took", time.Since(began))
	return cut
}

// leaveAfter is how long after the request to stop a router takes nothing on any more.
func acceptTime(grace time.Duration) time.Duration {
	return min(fraction(grace, acceptShare), maxAcceptTime)
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
