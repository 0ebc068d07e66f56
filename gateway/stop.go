package gateway

import (
	"context"
	"time"
)

const (
	// acceptShare is the share of the grace during which the router still accepts requests, and
	// maxAcceptTime an upper limit: by then the platform has checked readiness twice, and sends no
	// more requests. However long the grace, a request that is accepted later has less time to end.
	acceptShare   = 0.5
	maxAcceptTime = 2900 * time.Millisecond
	// drainShare is the share of the grace that requests in flight have to end. The rest of the grace,
	// 0.7 s of the usual 6 s, is for answering the ones that have not ended.
	drainShare = 0.88
)

// Stop stops the router gracefully. The router reports that it isn't ready, gives up leadership, still
// serves new requests for a while, and closes when the requests in flight have ended. While the
// store doesn't answer, it continues to lead until the grace is nearly over. Stop returns the number of
// requests that were cut off.
func (g *Gateway) Stop() (cut int) {
	began := time.Now()
	end := began.Add(fraction(g.opts.Grace, drainShare))
	g.stopEnd.set(end)
	g.stopping.Store(true)
	g.log.Info("stopping", "grace", g.opts.Grace)
	g.paths.leave()
	g.relayServer.Leave()
	down := &stepDown{finished: make(chan struct{})}
	g.leader.duty.Tell(down)
	ctx, cancel := context.WithDeadline(context.Background(), end)
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
	case <-ctx.Done(): // the store didn't answer, so this router led until now
	}
	g.relayServer.Wait(ctx)
	g.membership.remove(ctx)
	g.cancel()
	g.pools.closeAll()
	g.log.Info("stopped", "cut", cut, "took", time.Since(began))
	return cut
}

// acceptTime returns for how long a stopping router still accepts requests.
func acceptTime(grace time.Duration) time.Duration {
	return min(fraction(grace, acceptShare), maxAcceptTime)
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
