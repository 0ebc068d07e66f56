package feed

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/keyspace"
	"tarragongw/peer/feedpb"
)

// Server feeds those who follow this router.
type Server struct {
	// Lead returns what this router tells as the leader of the term, and a context that
	// ends with the term; nil where it doesn't lead then.
	Lead func(term uint64) (context.Context, *Source)
	// Fresh says whether this router has heard from the store of late. Without that it says
	// nothing, and its followers ask the store themselves.
	Fresh func() bool
	// Heat is told what a follower reports.
	Heat func(r Report)
	Log  *slog.Logger
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

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	hello := &feedpb.Hello{}
	if err := read(conn, reader, hello, Silence); err != nil {
		s.Log.Info("follower not understood", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	leads, source := s.Lead(hello.GetTerm())
	if source == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(leads, cancel)()
	go func() {
		defer cancel()
		s.listen(conn, reader)
	}()
	s.Log.Info("follower fed", "router", hello.GetRouter(), "term", hello.GetTerm())
	err := s.tell(ctx, conn, source)
	s.Log.Info("follower lost", "router", hello.GetRouter(), "err", err)
}

// tell writes what changes, and heartbeats in between, as long as the store is heard from.
func (s *Server) tell(ctx context.Context, conn net.Conn, source *Source) error {
	heartbeat := time.NewTicker(HeartbeatEvery)
	defer heartbeat.Stop()
	version := uint64(0)
	for {
		update, at, changed := source.since(version)
		if at > 0 && s.Fresh() {
			version = at
			if err := write(conn, update); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// listen takes a follower's reports until it is gone.
func (s *Server) listen(conn net.Conn, reader *bufio.Reader) {
	for {
		heat := &feedpb.Heat{}
		if err := read(conn, reader, heat, 0); err != nil {
			return // the feed's own end is logged
		}
		r := Report{Service: heat.GetService()}
		for _, k := range heat.GetKeys() {
			r.Keys = append(r.Keys, keyspace.Key(k))
		}
		s.Heat(r)
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
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(reader, m)
	return errors.Wrap(err, "read from a router")
}
