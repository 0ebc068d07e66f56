package peer

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"tarragongw/peer/peerpb"
)

const (
	// acceptBacklog bounds the streams of a session that wait to be accepted.
	acceptBacklog = 256
	// checkAfter is the rest after which a stream is checked before its next use. The
	// check costs a timer and two wakings; a stream that the other side ended within
	// this time of a whole answer is found at the request instead, as before when the
	// end was still on its way.
	checkAfter = time.Millisecond
)

var (
	errRetired = errors.New("peer: session is being retired")
	errSilent  = errors.New("peer: session is silent")
	errClosed  = errors.New("peer: node is closed")
)

// session is one yamux session to one life of another router.
type session struct {
	node    *Node
	link    *link
	remote  Identity
	dialled bool
	since   time.Time
	mux     *yamux.Session
	batch   *batchConn

	controlLock sync.Mutex
	control     *yamux.Stream
	// ended is set when "drained" was written: no more messages of the handler.
	ended bool

	lock        sync.Mutex
	idle        []*clientStream
	inFlight    int
	retired     bool
	drainedSent bool
	drainedGot  bool
	doneSent    bool
	// conns are the data streams that the other side opened, by stream id.
	conns map[uint32]*serverConn

	outbound outbound

	// proof is the latest time at which something was sent that got an answer, in
	// nanoseconds since the node's start.
	proof atomic.Int64
	// lastUse is when a request or message last passed, on the same scale.
	lastUse atomic.Int64
	// unproven is set by what was sent after the last proof.
	unproven atomic.Bool
	// pingSince is when the ping that waits for its answer was sent, on the same scale;
	// zero where none waits.
	pingSince atomic.Int64
	// waiting counts this session's messages in the mailbox.
	waiting atomic.Int32
	// guard, refused and barUntil are of the other side's certificate. guard is changed by
	// the sweep alone; refused is set once the certificate was, and barUntil, on the scale
	// of proof, once it does no new work.
	guard    guard
	refused  atomic.Bool
	barUntil atomic.Int64
	// closing is set before the connection is closed.
	closing atomic.Bool
	// pinging lets one goroutine ping at a time.
	pinging chan struct{}
}

func newSession(n *Node, conn net.Conn, remote Identity, dialled bool) (*session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	// The node keeps sessions alive (see sweeper): pings of yamux's own go on
	// without need, and at 400 routers would cost more than the control budget.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = n.cfg.PingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.LogOutput = nil
	cfg.Logger = muxLog{n.cfg.Logger.With("peer", remote.Name)}

	s := &session{
		node:    n,
		remote:  remote,
		dialled: dialled,
		since:   time.Now(),
		pinging: make(chan struct{}, 1),
		conns:   make(map[uint32]*serverConn),
	}
	s.guard = n.newGuard(tlsState(conn))
	s.batch = newBatchConn(conn)
	var err error
	if dialled {
		s.mux, err = yamux.Client(s.batch, cfg)
	} else {
		s.mux, err = yamux.Server(s.batch, cfg)
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if !n.spawn(s.batch.flush) {
		_ = s.mux.Close()
		return nil, errClosed
	}
	s.proof.Store(n.elapsed())
	s.touch()
	return s, nil
}

// muxLog hands yamux's own lines to the logger.
type muxLog struct{ log *slog.Logger }

func (m muxLog) Print(v ...any)                 { m.log.Debug("yamux", "args", v) }
func (m muxLog) Println(v ...any)               { m.log.Debug("yamux", "args", v) }
func (m muxLog) Printf(format string, v ...any) { m.log.Debug("yamux", "format", format, "args", v) }

func (s *session) touch()      { s.lastUse.Store(s.node.elapsed()) }
func (s *session) alive() bool { return !s.closing.Load() && !s.mux.IsClosed() }

// usable says whether new requests may go over the session.
func (s *session) usable() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return !s.retired && s.alive()
}

func (s *session) close(cause error) {
	if !s.closing.Swap(true) && !s.mux.IsClosed() {
		s.node.cfg.Logger.Info("peer session closed", "peer", s.remote.Name,
			"incarnation", s.remote.Incarnation, "cause", cause)
	}
	s.end()
}

// end closes the connection first and lets yamux find that out.
//
// What goes wrong if yamux is told first: from then until the connection's reader has
// ended, each goroutine that waits for an answer on one of the session's streams looks
// for it without a pause. With a few dozen of them no processor is left for the reader,
// nor for anything else: heartbeats to other routers are late, and those are declared
// lost because one session went silent.
func (s *session) end() {
	_ = s.batch.Close()
	timer := time.NewTimer(s.node.cfg.PingTimeout)
	defer timer.Stop()
	select {
	case <-s.mux.CloseChan():
	case <-timer.C:
	}
	_ = s.mux.Close()
}

// send writes one control frame. errRetired is proof that it was not written; any
// other error means that it may be lost, and closes the session.
func (s *session) send(kind string, payload []byte) error {
	frame := &peerpb.ControlFrame{Kind: kind, Payload: payload}
	buf, err := appendFrame(nil, frame, s.node.cfg.MaxMessage+frameSlack)
	if err != nil {
		return err
	}
	s.controlLock.Lock()
	defer s.controlLock.Unlock()
	if s.ended && !strings.HasPrefix(kind, kindPrefix) {
		return errRetired
	}
	s.ended = s.ended || kind == kindDrained
	if s.control == nil {
		if s.control, err = s.mux.OpenStream(); err != nil {
			return errors.WithStack(err)
		}
		buf = append([]byte{streamControl}, buf...)
	}
	s.unproven.Store(true)
	_ = s.control.SetWriteDeadline(time.Now().Add(s.node.cfg.PingTimeout))
	if _, err := writeSliced(s.control, buf); err != nil {
		// A frame that was written in part leaves the stream out of step.
		s.close(errors.Wrap(err, "control stream"))
		return errors.WithStack(err)
	}
	return nil
}

// verify returns nil if something sent within the last KeepAlive was answered, or
// a ping is answered now.
//
// What would go wrong: something between two routers forgot an open connection.
// A request written to it vanishes and its outcome stays unknown. Asking first
// keeps it unwritten, with a true "not run".
func (s *session) verify(ctx context.Context) error {
	if s.fresh() {
		return nil
	}
	select {
	case s.pinging <- struct{}{}:
		defer func() { <-s.pinging }()
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if s.fresh() {
		return nil
	}
	return s.ping()
}

func (s *session) fresh() bool {
	return s.node.elapsed()-s.proof.Load() <= int64(s.node.cfg.KeepAlive)
}

// ping needs the pinging token.
func (s *session) ping() error {
	start := s.node.elapsed()
	s.unproven.Store(false)
	s.pingSince.Store(start)
	_, err := s.mux.Ping()
	s.pingSince.Store(0)
	if err == nil {
		s.proved(start)
		return nil
	}
	if s.alive() {
		s.node.count.silent.Add(1)
	}
	err = errors.Wrap(errSilent, err.Error())
	s.close(err)
	return err
}

// proved records that something sent at the given time was answered.
func (s *session) proved(sent int64) {
	for {
		old := s.proof.Load()
		if sent <= old || s.proof.CompareAndSwap(old, sent) {
			return
		}
	}
}

// acquire returns a stream for one request. An error is proof that nothing was sent.
func (s *session) acquire() (*clientStream, error) {
	s.touch()
	s.lock.Lock()
	if s.retired {
		s.lock.Unlock()
		return nil, errRetired
	}
	s.inFlight++
	s.lock.Unlock()
	for st := s.takeIdle(); st != nil; st = s.takeIdle() {
		if s.node.elapsed()-st.rested < int64(checkAfter) || st.open() {
			return st, nil
		}
		_ = st.Close()
	}
	st, err := s.mux.OpenStream()
	if err != nil {
		s.release(nil, false)
		return nil, errors.WithStack(err)
	}
	return &clientStream{Stream: st, fresh: true}, nil
}

func (s *session) takeIdle() *clientStream {
	s.lock.Lock()
	defer s.lock.Unlock()
	last := len(s.idle) - 1
	if last < 0 {
		return nil
	}
	st := s.idle[last]
	s.idle = s.idle[:last]
	return st
}

// release ends a request. A stream that cannot be reused is closed.
func (s *session) release(st *clientStream, reusable bool) {
	s.touch()
	s.lock.Lock()
	s.inFlight--
	keep := reusable && !s.retired && len(s.idle) < s.node.cfg.IdleStreams
	if keep {
		st.state.Store(stateUnsent)
		st.rest(s.node.elapsed())
		s.idle = append(s.idle, st)
	}
	s.lock.Unlock()
	if !keep && st != nil {
		_ = st.Close()
	}
	s.drain()
}

func (s *session) closeIdle() {
	s.lock.Lock()
	idle := s.idle
	s.idle = nil
	s.lock.Unlock()
	for _, st := range idle {
		_ = st.Close()
	}
}
