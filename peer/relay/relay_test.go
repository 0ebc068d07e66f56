package relay

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/peer/feedpb"
)

// testRelay is a router that passes on connections to one target.
type testRelay struct {
	server  *Server
	address string
	// target accepts the connections to the target.
	target net.Listener
	end    context.CancelFunc
}

func newTestRelay(t *testing.T) *testRelay {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	routers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lifetime, end := context.WithCancel(context.Background())
	s := &Server{Lifetime: lifetime, Log: slog.New(slog.DiscardHandler), Open: func(ctx context.Context, r *Request) (net.Conn, error) {
		if r.Target != "t" {
			return nil, ErrTargetUnreached
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", target.Addr().String())
	}}
	go func() {
		for {
			conn, err := routers.Accept()
			if err != nil {
				return
			}
			go func() {
				reader, hello := bufio.NewReader(conn), &feedpb.Hello{}
				if err := (protodelim.UnmarshalOptions{}).UnmarshalFrom(reader, hello); err != nil {
					conn.Close()
					return
				}
				s.Serve(conn, reader, hello)
			}()
		}
	}()
	t.Cleanup(func() {
		end()
		target.Close()
		routers.Close()
	})
	return &testRelay{s, routers.Addr().String(), target, end}
}

// connect returns both ends of a connection to the target.
func (r *testRelay) connect(t *testing.T) (router *Conn, target net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := r.target.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	router, err := Dial(t.Context(), r.address, &Request{Router: "r", Connection: "r/1", Service: "s", Target: "t"})
	assert.NilError(t, err)
	target = <-accepted
	t.Cleanup(func() {
		router.Close()
		target.Close()
	})
	return router, target
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

func read(t *testing.T, conn net.Conn, n int) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	b := make([]byte, n)
	_, err := io.ReadFull(conn, b)
	assert.NilError(t, err)
	return string(b)
}

func TestBytesPassInBothDirections(t *testing.T) {
	router, target := newTestRelay(t).connect(t)
	for range 3 {
		write(t, router, "question")
		assert.Equal(t, read(t, target, 8), "question")
		write(t, target, "answer")
		assert.Equal(t, read(t, router, 6), "answer")
	}
	long := make([]byte, 3*maxFrameData)
	go func() { _, _ = target.Write(long) }()
	assert.Equal(t, len(read(t, router, len(long))), len(long))
}

// Guards against an answer that ends with its connection and looks complete although the router on the
// way was lost, or although the target reset the connection.
func TestOnlyTheEndOfTheTargetsConnectionIsAnEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(r *testRelay, target net.Conn)
		wanted bool
	}{
		"the target ends":   {func(_ *testRelay, target net.Conn) { target.Close() }, true},
		"the target resets": {func(_ *testRelay, target net.Conn) { _ = target.(*net.TCPConn).SetLinger(0); target.Close() }, false},
		"the router ends":   {func(r *testRelay, _ net.Conn) { r.end() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			router, target := r.connect(t)
			write(t, target, "part")
			assert.Equal(t, read(t, router, 4), "part")
			test.end(r, target)
			_, err := router.Read(make([]byte, 1))
			assert.Equal(t, err == io.EOF, test.wanted, "%v", err)
			assert.Assert(t, err != nil)
			waittest.Until(t, "the connection is forgotten", func() bool { return r.server.Conns() == 0 })
		})
	}
}

// Guards against a part of an answer that passes for a whole one: the write of the upload is told of the target's reset.
func TestResetBesideAnUploadIsNoEnd(t *testing.T) {
	for range 20 {
		router, target := newTestRelay(t).connect(t)
		write(t, target, "part")
		assert.Equal(t, read(t, router, 4), "part")
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			for {
				if _, err := router.Conn.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}()
		_, err := io.CopyN(io.Discard, target, 1<<20)
		assert.NilError(t, err)
		_ = target.(*net.TCPConn).SetLinger(0)
		target.Close()
		_, err = router.Read(make([]byte, 1))
		assert.Assert(t, err != nil && err != io.EOF, "%v", err)
		router.Close()
		<-stop
	}
}

// Guards against an answer of a target that ends before it has read a whole upload, and that the
// router on the way loses with the rest of the upload.
func TestAnswerBeforeTheWholeRequestArrives(t *testing.T) {
	router, target := newTestRelay(t).connect(t)
	write(t, router, "start")
	assert.Equal(t, read(t, target, 5), "start")
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for range 200 {
			if _, err := router.Conn.Write(make([]byte, 4096)); err != nil {
				return
			}
		}
	}()
	write(t, target, "answer")
	assert.Equal(t, read(t, router, 6), "answer")
	target.Close()
	<-stop
}

// Guards against work that goes on at a target after the caller has left.
func TestTargetSeesThatTheRouterHasClosed(t *testing.T) {
	r := newTestRelay(t)
	router, target := r.connect(t)
	router.Close()
	assert.NilError(t, target.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := target.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	waittest.Until(t, "the connection is forgotten", func() bool { return r.server.Conns() == 0 })
}

func TestErrorsSayWhatWasNotReached(t *testing.T) {
	r := newTestRelay(t)
	dial := func(address, target string) error {
		_, err := Dial(t.Context(), address, &Request{Router: "r", Target: target})
		return err
	}
	assert.Assert(t, errors.Is(dial(r.address, "unknown"), ErrTargetUnreached))
	assert.Assert(t, errors.Is(dial("127.0.0.1:1", "t"), ErrRouterUnreached))
	r.target.Close()
	assert.Assert(t, errors.Is(dial(r.address, "t"), syscall.ECONNREFUSED))
	r.server.Leave()
	assert.Assert(t, errors.Is(dial(r.address, "t"), ErrUnavailable))
}

// Guards against requests that a planned stop of the router on the way cuts off: the one that is under way
// ends, and no other is sent on its connection.
func TestLeavingRouterEndsWhatIsUnderWay(t *testing.T) {
	r := newTestRelay(t)
	router, target := r.connect(t)
	sock, err := router.SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, sock.Control(func(uintptr) {}), "usable before")
	write(t, router, "question")
	assert.Equal(t, read(t, target, 8), "question")
	r.server.Leave()
	waited := make(chan struct{})
	go func() {
		r.server.Wait(t.Context())
		close(waited)
	}()
	write(t, target, "answer")
	assert.Equal(t, read(t, router, 6), "answer")
	assert.ErrorContains(t, sock.Control(func(uintptr) {}), "closed")
	select {
	case <-waited:
		t.Fatal("the router did not wait")
	case <-time.After(50 * time.Millisecond):
	}
	router.Close()
	<-waited
}
