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

// scriptedTarget is a target played by a function, one call for each connection.
type scriptedTarget struct {
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func startTarget(t *testing.T, each func(c net.Conn, br *bufio.Reader)) *scriptedTarget {
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
			s.serve(c, each)
		}
	}()
	t.Cleanup(s.close)
	return s
}

// serve plays one connection.
func (s *scriptedTarget) serve(c net.Conn, each func(c net.Conn, br *bufio.Reader)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	s.wg.Go(func() {
		defer c.Close()
		each(c, bufio.NewReader(c))
	})
}

// withFakeTime runs the test on a time of its own, with a pool whose target is played over
// pipes in memory: their deadlines keep that time, so that no busy machine makes a step
// look like a silence, or a writer late.
func withFakeTime(t *testing.T, change func(*PoolConfig), each func(c net.Conn, br *bufio.Reader), test func(t *testing.T, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		s := new(scriptedTarget)
		t.Cleanup(s.close)
		test(t, newPool(t, "in memory", func(cfg *PoolConfig) {
			cfg.Dial = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				s.serve(far, each)
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

// respondAlways answers each request, read whole, with the same bytes.
func respondAlways(answer string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
}

// readUntilClosed reads until the other end closes and reports whether it did.
func readUntilClosed(br *bufio.Reader, closed chan<- struct{}) {
	_, _ = io.Copy(io.Discard, br)
	close(closed)
}
