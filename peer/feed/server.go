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
	"tarragongw/peer/feedpb"
)

// Server feeds those who follow this router.
type Server struct {
	// Lead returns what this router publishes as the leader of the term, and a context that
	// ends with the term; nil where it doesn't lead then.
	Lead func(term uint64) (context.Context, *Source)
	// Fresh says whether this router has had an answer of the store of late. Without that it says
	// that it doesn't know, and its followers ask the store themselves.
	Fresh func() bool
	// Joined is given who follows, and for how long that router still backs another leader.
	Joined func(router string, term uint64, promised time.Duration)
	// Backed is called that a router backs this leader until a time of Clock: until then it
	// follows no other.
	Backed func(router string, term uint64, until time.Duration)
	// Reported is given what a follower reports.
	Reported func(r Report)
	Clock    clock.Clock
	Log      *slog.Logger
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

// follower is one connection of a router that follows this one.
type follower struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	hello  *feedpb.Hello

	// mu guards sent, the times at which the last beats left.
	mu   sync.Mutex
	beat uint64
	sent [keptBeats]time.Duration
}

// keptBeats is how many beats an answer may be behind: those of more than BackedFor.
const keptBeats = 64

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	f := &follower{server: s, conn: conn, reader: bufio.NewReader(conn), hello: &feedpb.Hello{}}
	if err := read(conn, f.reader, f.hello, Silence); err != nil {
		s.Log.Info("follower not understood", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	term := f.hello.GetTerm()
	leads, source := s.Lead(term)
	if source == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(leads, cancel)()
	s.Joined(f.hello.GetRouter(), term, time.Duration(f.hello.GetPromisedMs())*time.Millisecond)
	go func() {
		defer cancel()
		f.listen()
	}()
	s.Log.Info("follower fed", "follower", f.hello.GetRouter(), "term", term)
	err := f.send(ctx, source)
	s.Log.Info("follower lost", "follower", f.hello.GetRouter(), "err", err)
}

// send writes what changes, and a beat at least every HeartbeatEvery.
func (f *follower) send(ctx context.Context, source *Source) error {
	heartbeat := time.NewTicker(HeartbeatEvery)
	defer heartbeat.Stop()
	var known sentState
	for {
		frame, changed, err := source.frameSince(known, f.hello.GetUnpacks(), !f.server.Fresh())
		if err != nil {
			return err
		}
		known = frame.after
		data, err := frame.withBeat(f.nextBeat())
		if err != nil {
			return err
		}
		if err := writeAll(f.conn, data); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// nextBeat counts an update that leaves now.
func (f *follower) nextBeat() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beat++
	f.sent[f.beat%keptBeats] = f.server.Clock.Now()
	return f.beat
}

// listen takes a follower's reports until it is gone.
func (f *follower) listen() {
	for {
		p := &feedpb.Report{}
		if err := read(f.conn, f.reader, p, 0); err != nil {
			return // the feed's own end is logged
		}
		for _, h := range p.GetHeat() {
			r := Report{Service: h.GetService()}
			for _, k := range h.GetKeys() {
				r.Keys = append(r.Keys, keyspace.Key(k))
			}
			f.server.Reported(r)
		}
		for _, serviceTimes := range p.GetServiceTimes() {
			decoded := decodeServiceTimes(serviceTimes)
			f.server.Reported(Report{Service: decoded.Service, ServiceTimes: decoded.Targets})
		}
		if p.GetBacks() {
			f.backed(p.GetBeat())
		}
	}
}

// backed notes that the follower backs this leader, from when the beat left that it
// answers: an answer that was held up on its way is worth no more than its beat.
func (f *follower) backed(beat uint64) {
	f.mu.Lock()
	known := beat > 0 && beat <= f.beat && f.beat-beat < keptBeats
	sent := f.sent[beat%keptBeats]
	f.mu.Unlock()
	if known {
		f.server.Backed(f.hello.GetRouter(), f.hello.GetTerm(), sent+BackedFor)
	}
}

func write(conn net.Conn, m proto.Message) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "write to a router")
	}
	_, err := protodelim.MarshalTo(conn, m)
	return errors.Wrap(err, "write to a router")
}

// read reads a frame; a timeout of zero waits for ever.
func read(conn net.Conn, reader *bufio.Reader, m proto.Message, timeout time.Duration) error {
	var until time.Time
	if timeout > 0 {
		until = time.Now().Add(timeout)
	}
	if err := conn.SetReadDeadline(until); err != nil {
		return errors.Wrap(err, "read from a router")
	}
	return errors.Wrap(unmarshalFrom(reader, m), "read from a router")
}

func unmarshalFrom(reader *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(reader, m)
}
