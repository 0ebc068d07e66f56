package feed

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"tarragongw/clock"
	"tarragongw/core/keyspace"
	"tarragongw/core/quarantine"
	"tarragongw/peer/feedpb"
)

// Server streams this router's state to its followers while it is the leader.
type Server struct {
	// LeaderSource returns what this router publishes as the leader of the term, and a context that
	// ends with the term; nil if it is not the leader of that term.
	LeaderSource func(term uint64) (context.Context, *Source)
	// StoreReachable says whether the store has answered this router recently. If it has not, updates
	// are marked as stale, and followers read the store themselves.
	StoreReachable func() bool
	// ConfigAge returns how long ago this router's configuration was last known to be the newest. It may be nil.
	ConfigAge func() time.Duration
	// OnJoin is called when a router begins to follow, with the time for which that router is
	// still bound by having backed another leader.
	OnJoin func(router Router, term uint64, promised time.Duration)
	// OnLeave is called when a router that began to follow no longer does. It may be nil.
	OnLeave func(router string, term uint64)
	// OnCandidacy is called after OnJoin with what the router could do as the leader. It may be nil.
	OnCandidacy func(router string, term uint64, c Candidacy)
	// OnReach is called when a router tells what it reaches. It may be nil.
	OnReach func(router string, term uint64, r Reach)
	// OnRelay serves a connection of a router that asks for one to a target, and closes it. Without it,
	// such connections are closed.
	OnRelay func(conn net.Conn, reader *bufio.Reader, hello *feedpb.Hello)
	// State returns the state that is sent to routers that ask for it, whether this one leads or not. Without it, such
	// connections are closed.
	State func() *State
	// OnBacked is called when a router backs this leader, with the time of Clock until which it
	// follows no other.
	OnBacked func(router string, term uint64, until time.Duration)
	// OnReport is called with each report of a follower.
	OnReport func(r Report)
	// OnObservations is called with what a router observed of suspected requests. It may be nil.
	OnObservations func(router string, o *quarantine.Observations)
	// OnTargetNews is called with what a router tells and asks about the limits of targets, and returns the answers. It may be
	// nil.
	OnTargetNews func(router string, news *TargetNews) []Permits
	// OnBytes is called with the bytes of each part that are sent to a follower, and of the reports that one sent. It
	// may be nil.
	OnBytes func(part Part, bytes int)
	// Line spaces what is sent to all followers together; nil if it need not be.
	Line  *Line
	Clock clock.Clock
	Log   *slog.Logger
}

// Serve accepts followers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept followers")
		}
		go s.serve(ctx, conn)
	}
}

// follower is the connection of one router that follows this one.
type follower struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	hello  *feedpb.Hello

	// mu guards heartbeat, the number of the last heartbeat, and heartbeatSentAt, the times at
	// which the last ones were sent, by their number modulo keptHeartbeats.
	mu              sync.Mutex
	heartbeat       uint64
	heartbeatSentAt [keptHeartbeats]time.Duration
	// permits have not been sent yet; permitsReady has a value once there are some.
	permits      []Permits
	permitsReady chan struct{}
}

// keptHeartbeats is how many heartbeats a follower's answer may be behind. They cover more
// than BackedFor; an older answer has no effect anyway.
const keptHeartbeats = 64

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	f := &follower{server: s, conn: conn, reader: bufio.NewReader(conn), hello: &feedpb.Hello{}, permitsReady: make(chan struct{}, 1)}
	if err := readMessage(conn, f.reader, f.hello, silenceTimeout); err != nil {
		s.Log.Info("invalid hello from a router", "from", conn.RemoteAddr().String(), "err", err)
		conn.Close()
		return
	}
	if f.hello.GetRelay() != nil && s.OnRelay != nil {
		s.OnRelay(conn, f.reader, f.hello)
		return
	}
	defer conn.Close()
	if f.hello.GetState() != nil && s.State != nil {
		s.serveState(conn, f.hello)
		return
	}
	s.serveFollower(ctx, f)
}

func (s *Server) serveFollower(ctx context.Context, f *follower) {
	term := f.hello.GetTerm()
	termCtx, source := s.LeaderSource(term)
	if source == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(termCtx, cancel)()
	router := Router{Name: f.hello.GetRouter(), Address: f.hello.GetAddress(), DataCentre: f.hello.GetDataCentre()}
	s.OnJoin(router, term, time.Duration(f.hello.GetPromisedMs())*time.Millisecond)
	if p := f.hello.GetCandidacy(); p != nil && s.OnCandidacy != nil {
		s.OnCandidacy(router.Name, term, decodeCandidacy(p))
	}
	if s.OnLeave != nil {
		defer s.OnLeave(router.Name, term)
	}
	go func() {
		defer cancel()
		f.receiveReports()
	}()
	s.Log.Info("follower connected", "follower", f.hello.GetRouter(), "term", term)
	err := f.sendUpdates(ctx, source)
	s.Log.Info("follower disconnected", "follower", f.hello.GetRouter(), "err", err)
}

// sendUpdates writes an update at each change, and at least every HeartbeatEvery.
func (f *follower) sendUpdates(ctx context.Context, source *Source) error {
	ticker := time.NewTicker(HeartbeatEvery)
	defer ticker.Stop()
	var state sentState
	for {
		frame, heartbeat, changed, err := f.nextFrame(source, state)
		if err != nil {
			return err
		}
		if f.server.Line.wait(ctx, len(frame.data)) {
			// What has changed meanwhile replaces what is out of date.
			if frame, heartbeat, changed, err = f.nextFrame(source, state); err != nil {
				return err
			}
		}
		state = frame.after
		heartbeat.Permits = encodePermits(f.takePermits())
		data, err := frame.withHeartbeat(heartbeat)
		if err != nil {
			return err
		}
		f.countSent(frame, len(data))
		if err := writeInChunks(f.conn, data); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-f.permitsReady:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// answer has permits sent with the next update, at once.
func (f *follower) answer(permits []Permits) {
	if len(permits) == 0 {
		return
	}
	f.mu.Lock()
	f.permits = append(f.permits, permits...)
	f.mu.Unlock()
	select {
	case f.permitsReady <- struct{}{}:
	default: // the next update has them too
	}
}

// takePermits returns the permits that have not been sent.
func (f *follower) takePermits() []Permits {
	f.mu.Lock()
	defer f.mu.Unlock()
	permits := f.permits
	f.permits = nil
	return permits
}

// nextFrame returns the frame for the follower in the state and the heartbeat that goes with it.
func (f *follower) nextFrame(source *Source, state sentState) (*frame, *feedpb.Update, <-chan struct{}, error) {
	// The age comes before the frame, which may have more than was confirmed then, but not less.
	heartbeat := f.nextHeartbeat()
	frame, changed, err := source.frameSince(state, f.hello.GetUnpacks(), !f.server.StoreReachable())
	return frame, heartbeat, changed, err
}

// countSent counts a frame that is written as this many bytes.
func (f *follower) countSent(sent *frame, written int) {
	for part, bytes := range sent.sizes {
		f.count(Part(part), bytes)
	}
	f.count(PartHeartbeat, written-len(sent.data))
}

func (f *follower) count(part Part, bytes int) {
	if bytes > 0 && f.server.OnBytes != nil {
		f.server.OnBytes(part, bytes)
	}
}

// nextHeartbeat returns the heartbeat of the update that is sent next and records the time.
func (f *follower) nextHeartbeat() *feedpb.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.server.Clock.Now()
	f.heartbeat++
	f.heartbeatSentAt[f.heartbeat%keptHeartbeats] = now
	heartbeat := &feedpb.Update{Beat: f.heartbeat}
	if f.server.ConfigAge != nil {
		heartbeat.SentMs = uint64(now.Milliseconds())
		heartbeat.ConfigConfirmedMs = uint64(max((now - f.server.ConfigAge()).Milliseconds(), 0))
	}
	return heartbeat
}

// receiveReports handles the follower's reports until the connection ends.
func (f *follower) receiveReports() {
	for {
		p := &feedpb.Report{}
		if err := readMessage(f.conn, f.reader, p, 0); err != nil {
			return // serve logs the end of the feed
		}
		f.count(PartReports, proto.Size(p))
		for _, h := range p.GetHeat() {
			r := Report{Service: h.GetService()}
			for _, k := range h.GetKeys() {
				r.Keys = append(r.Keys, keyspace.Key(k))
			}
			f.server.OnReport(r)
		}
		for _, serviceTimes := range p.GetServiceTimes() {
			decoded := decodeServiceTimes(serviceTimes)
			f.server.OnReport(Report{Service: decoded.Service, ServiceTimes: decoded.Targets})
		}
		if p.GetObservations() != nil && f.server.OnObservations != nil {
			f.server.OnObservations(f.hello.GetRouter(), decodeObservations(p.GetObservations()))
		}
		if p.GetReach() != nil && f.server.OnReach != nil {
			f.server.OnReach(f.hello.GetRouter(), f.hello.GetTerm(), Reach{decodeUnreached(p.GetReach().GetUnreached()), p.GetReach().GetUnavailable()})
		}
		if news := decodeTargetNews(p, time.Now()); news != nil && f.server.OnTargetNews != nil {
			f.answer(f.server.OnTargetNews(f.hello.GetRouter(), news))
		}
		if p.GetBacks() {
			f.recordBacking(p.GetBeat())
		}
	}
}

// recordBacking records that the follower backs this leader, counted from when the heartbeat
// that it answers was sent: an answer that was delayed on its way must not extend the time.
func (f *follower) recordBacking(heartbeat uint64) {
	f.mu.Lock()
	known := heartbeat > 0 && heartbeat <= f.heartbeat && f.heartbeat-heartbeat < keptHeartbeats
	heartbeatSentAt := f.heartbeatSentAt[heartbeat%keptHeartbeats]
	f.mu.Unlock()
	if known {
		f.server.OnBacked(f.hello.GetRouter(), f.hello.GetTerm(), heartbeatSentAt+BackedFor)
	}
}

func writeMessage(conn net.Conn, m proto.Message) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "write to a router")
	}
	_, err := protodelim.MarshalTo(conn, m)
	return errors.Wrap(err, "write to a router")
}

// readMessage reads a frame; with a timeout of zero it waits without a limit.
func readMessage(conn net.Conn, reader *bufio.Reader, m proto.Message, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "read from a router")
	}
	return errors.Wrap(unmarshalFrom(reader, m), "read from a router")
}

func unmarshalFrom(reader *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(reader, m)
}
