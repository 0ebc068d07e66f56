package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// unusedGrace is how long a server that shuts down waits for the first byte on a new
	// connection: a request may be on its way and must not be cut off.
	unusedGrace = 500 * time.Millisecond
	// idleGrace is how long a connection must have been idle before a server that shuts down
	// closes it. The caller may be sending a request; if its bytes are unread at the close,
	// the connection is reset, and the reset may destroy an answer that the caller has not
	// read yet.
	idleGrace = 100 * time.Millisecond
	// finalAnswersGrace is how long a server that cuts requests off takes to answer their
	// callers. Without it a caller finds its connection reset and cannot tell what happened to
	// its request.
	finalAnswersGrace = 300 * time.Millisecond
	// pipelinedPoll is the interval at which a server that shuts down checks for answers that
	// wait for their turn and for connections that have become idle.
	pipelinedPoll = 10 * time.Millisecond
)

// Shutdown stops accepting connections and requests and waits for the requests in flight;
// HTTP/1.1 answers carry "Connection: close" from now on, and HTTP/2 connections get GOAWAY.
// When ctx ends first, requests that still wait for their answer fail as if their deadline had
// passed, the requests pipelined behind them get the answers that are ready, and what is still
// in flight after finalAnswersGrace is cut off. It returns the number of requests that were in
// flight when ctx ended.
func (s *Server) Shutdown(ctx context.Context) (cut int) {
	s.stopAccepting()
	unused := time.AfterFunc(unusedGrace, s.limits.closeUnused)
	defer unused.Stop()
	s.awaitPipelined(ctx)
	s.logStop("closing connections")
	// This must not happen earlier: net/http would close connections on which answers wait for
	// their turn.
	if ctx.Err() == nil && s.http.Shutdown(ctx) == nil {
		return 0
	}
	cut = int(s.InFlight())
	s.limits.expireRequests()
	s.cancelBase(context.DeadlineExceeded)
	grace, cancel := context.WithTimeout(context.Background(), finalAnswersGrace)
	defer cancel()
	s.awaitPipelined(grace)
	if s.http.Shutdown(grace) != nil {
		_ = s.http.Close()
	}
	return cut
}

// stopAccepting stops new work: no connection is accepted, and new requests on open
// connections are refused as not run. A request forwarded this late could be cut off at the
// end of the shutdown, and its caller would get a 504 from the router in place of an answer.
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

// addListener registers a listener to be closed by Shutdown. After Shutdown it closes the
// listener at once and returns false.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		// The listener has accepted no connection, so an error of Close does not matter.
		_ = l.Close()
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// logStop logs a step of the shutdown with the number of open connections and of requests in
// flight and pipelined.
func (s *Server) logStop(step string) {
	s.cfg.Logger.Info(step, "open", s.limits.open(), "in_flight", s.InFlight(), "before_their_turn", s.limits.pipelined())
}

// awaitPipelined waits until no answer is left that waits for its turn: net/http closes each
// connection after the answer in flight, and those behind it would be lost. Meanwhile it
// closes idle connections, which net/http does only afterwards.
func (s *Server) awaitPipelined(ctx context.Context) {
	ticker := time.NewTicker(pipelinedPoll)
	defer ticker.Stop()
	for s.limits.pipelined() > 0 {
		s.limits.closeIdle()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// connStateChanged is the ConnState hook of the HTTP server.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	if c := unwrapConn(conn); c != nil {
		c.noteState(state)
		if s.cfg.Accepts != nil {
			s.recheckOnStateChange(c, conn, state)
		}
	}
}

// noteState records since when the connection has been idle, and when the request arrived that is served next.
func (c *callerConn) noteState(state http.ConnState) {
	if c.pipeline != nil {
		if arrivedAt := c.pipeline.setServing(state == http.StateActive); !arrivedAt.IsZero() {
			c.arrivedAt = arrivedAt
		}
	}
	if state != http.StateIdle {
		c.idleSince.Store(0)
	} else if c.idleSince.Load() == 0 {
		c.idleSince.Store(int64(time.Since(c.opened)))
	}
}

// idleFor reports whether the connection is an HTTP/1.1 connection that has been idle for at
// least d and has no request in flight. An HTTP/2 connection is reported as idle before its
// last answer was sent, and would lose it.
func (c *callerConn) idleFor(d time.Duration) bool {
	since := c.idleSince.Load()
	if since == 0 || c.http2.Load() || time.Since(c.opened)-time.Duration(since) < d {
		return false
	}
	return c.pipeline == nil || c.pipeline.outstanding() == 0
}

// closeIdle closes the connections that have been idle for idleGrace.
func (l *connLimits) closeIdle() {
	for _, c := range l.all() {
		if c.idleFor(idleGrace) {
			_ = c.Close()
		}
	}
}
