package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

// Guards against requests that reach a target that has left, because the router on their way was held up with them.
func TestRouterOnTheWayPassesNoRequestToATargetThatHasLeft(t *testing.T) {
	g, _ := idleGateway(t)
	held := &clock.Manual{}
	g.opts.Clock = held
	g.sends = newSendLimits(g)
	target := directory.Target{ID: "a", StartUnixMilli: 1}
	near, far := net.Pipe()
	defer far.Close()
	conn := &limitedConn{Conn: near, g: g, target: target}
	received := make(chan string, 8)
	go func() {
		buffer := make([]byte, 16)
		for {
			n, err := far.Read(buffer)
			if err != nil {
				close(received)
				return
			}
			received <- string(buffer[:n])
		}
	}()
	send := func(text string) error {
		_, err := conn.Write([]byte(text))
		return err
	}
	assert.NilError(t, send("first"))
	assert.Equal(t, <-received, "first")
	g.sends.setLeaving(map[keyspace.Holder]time.Time{target.Holder(): time.Now()})
	held.Advance(drainLimit)
	g.sends.confirm(held.Now())
	assert.NilError(t, send("its rest"), "a request that has begun is cut off")
	assert.Equal(t, <-received, "its rest")
	go func() { _, _ = io.WriteString(far, "answer") }()
	_, err := conn.Read(make([]byte, 16))
	assert.NilError(t, err)
	assert.ErrorContains(t, send("second"), errMayHaveLeft.Error())
	text, open := <-received
	assert.Assert(t, !open, "received %q", text)
}
