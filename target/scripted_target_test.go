package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedTarget is a target that serves each connection by a call of a test's function.
type scriptedTarget struct {
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// startTarget starts a scriptedTarget that listens on a local port. It is closed when the test
// ends.
func startTarget(t *testing.T, handle func(c net.Conn, br *bufio.Reader)) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{listener: listener}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.serve(c, handle)
		}
	}()
	t.Cleanup(s.close)
	return s
}

// serve serves one connection.
func (s *scriptedTarget) serve(c net.Conn, handle func(c net.Conn, br *bufio.Reader)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	s.wg.Go(func() {
		defer c.Close()
		handle(c, bufio.NewReader(c))
	})
}

// withFakeTime runs the test in a synctest bubble, with a pool whose target is served over
// in-memory pipes. Their deadlines follow the bubble's fake clock, so that a busy machine can't
// cause a progress timeout or a late write.
func withFakeTime(t *testing.T, change func(*PoolConfig), handle func(c net.Conn, br *bufio.Reader), test func(t *testing.T, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		s := new(scriptedTarget)
		t.Cleanup(s.close)
		test(t, newPool(t, "in memory", func(cfg *PoolConfig) {
			cfg.Dial = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				s.serve(far, handle)
				return near, nil
			}
			if change != nil {
				change(cfg)
			}
		}))
	})
}

func progressTimeout(d time.Duration) func(*PoolConfig) {
	return func(cfg *PoolConfig) { cfg.ProgressTimeout = d }
}

func (s *scriptedTarget) addr() string { return s.listener.Addr().String() }

func (s *scriptedTarget) close() {
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Lock()
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// respondAlways returns a handler that reads each request to its end and responds with the
// same bytes.
func respondAlways(response string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

// readUntilClosed reads until the other end closes the connection, and then closes the channel.
func readUntilClosed(br *bufio.Reader, closed chan<- struct{}) {
	_, _ = io.Copy(io.Discard, br)
	close(closed)
}
