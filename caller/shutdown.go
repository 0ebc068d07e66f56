package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// unusedGrace is how long a stopping server waits for the first byte on a fresh
	// connection: a request that is on its way must not be cut.
	unusedGrace = 500 * time.Millisecond
	// restGrace is how long a connection has rested before a stopping server closes it. The
	// caller may be sending; its bytes, unread at the close, would have the connection
	// reset, and the reset destroy an answer that it has not read yet.
	restGrace = 100 * time.Millisecond
	// lastWords is how long a stopping server that cuts requests off has to tell their callers.
	// Without it a caller finds its connection reset and knows nothing.
	lastWords = 300 * time.Millisecond
	// earlyPoll is how often a stopping server looks whether answers wait for their turn, and
	// which connections have come to rest.
	earlyPoll = 10 * time.Millisecond
)

// Shutdown accepts no more connections and no more requests, and waits for the requests in
// flight: HTTP/1.1 answers carry "Connection: close" from now on and HTTP/2 connections
// get GOAWAY. When ctx ends first, requests that still wait for their answer are told that
// their time is over, those behind them get the answers that are ready, and what is left
// after lastWords is cut. It returns how many requests were not answered otherwise.
func (s *Server) Shutdown(ctx context.Context) (cut int) {
	s.stopAccepting()
	unused := time.AfterFunc(unusedGrace, s.limits.closeUnused)
	defer unused.Stop()
	s.awaitEarly(ctx)
	s.logStop("closing connections")
	// Not before: net/http would end connections on which answers wait for their turn.
	if ctx.Err() == nil && s.http.Shutdown(ctx) == nil {
		return 0
	}
	cut = int(s.InFlight())
	s.limits.expire()
	s.expire(context.DeadlineExceeded)
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	s.awaitEarly(last)
	if s.http.Shutdown(last) != nil {
		_ = s.http.Close()
	}
	return cut
}

// stopAccepting keeps new work away: no connection is accepted, and a request that still comes on
// an open one is refused as not run. What is passed on so late in a stop may be cut off at
// its end; callers would find the router's own 504 in place of an answer.
func (s *Server) stopAccepting() {
	s.logStop("no more requests accepted")
	s.stopping.Store(true)
	s.mu.Lock()
	listeners := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	for l := range listeners {
		if err := l.Close(); err != nil {
			s.cfg.Logger.Warn("listener for callers not closed", "err", err)
		}
	}
}

// accepting notes a listener that Shutdown closes; after Shutdown it closes it at once and
// reports false.
func (s *Server) accepting(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		// Nobody has been accepted on it, so that nothing is lost by its failure.
		_ = l.Close()
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// logStop logs a step of the shutdown with what is open and under way.
func (s *Server) logStop(step string) {
	s.cfg.Logger.Info(step, "open", s.limits.open(), "in_flight", s.InFlight(), "before_their_turn", s.limits.early())
}

// awaitEarly waits until no answer is left that waits for its turn: net/http closes each
// connection after the answer that is under way, and those behind it would be lost. It
// closes the connections that rest meanwhile, as net/http will only afterwards.
func (s *Server) awaitEarly(ctx context.Context) {
	ticker := time.NewTicker(earlyPoll)
	defer ticker.Stop()
	for s.limits.early() > 0 {
		s.limits.closeRested()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// changed is net/http's ConnState hook.
func (s *Server) changed(conn net.Conn, state http.ConnState) {
	if c := unwrapConn(conn); c != nil {
		c.noteState(state)
		if s.cfg.Accepts != nil {
			s.recheck(c, conn, state)
		}
	}
}

// noteState notes since when the connection rests, if it does.
func (c *callerConn) noteState(state http.ConnState) {
	if state != http.StateIdle {
		c.restsSince.Store(0)
	} else if c.restsSince.Load() == 0 {
		c.restsSince.Store(int64(time.Since(c.opened)))
	}
}

// rested reports whether the connection is one of HTTP/1.1 that has rested for d, with
// nothing under way on it. One of HTTP/2 counts as resting before its last answer has gone
// out, and would lose it.
func (c *callerConn) rested(d time.Duration) bool {
	since := c.restsSince.Load()
	if since == 0 || c.streams.Load() || time.Since(c.opened)-time.Duration(since) < d {
		return false
	}
	return c.ahead == nil || c.ahead.outstanding() == 0
}

// closeRested closes the connections that have rested for restGrace.
func (l *connLimits) closeRested() {
	for _, c := range l.all() {
		if c.rested(restGrace) {
			_ = c.Close()
		}
	}
}
