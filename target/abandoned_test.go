package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an abandoned request that the kernel delivers seconds later, when a lost path is back: its connection has to
// be reset, so that nothing of it is sent any more.
func TestAbandonedRequestIsNotSentOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		buffer := make([]byte, 4096)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", http.NoBody)
	assert.NilError(t, err)
	_, f := newPool(t, listener.Addr().String(), nil).Attempt(ctx, r)
	assert.Assert(t, f != nil)
	select {
	case err := <-ended:
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	case <-time.After(3 * time.Second):
		t.Fatal("the connection is still open")
	}
}
