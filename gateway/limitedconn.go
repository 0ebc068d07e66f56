package gateway

import (
	"net"
	"sync/atomic"

	"tarragongw/core/directory"
)

// limitedConn is a connection to a target that this router opened for another one. It begins no request once the target
// may have left too long ago by what this router knows: the other router has checked that when it sent the request, but
// this process may have been held up with it.
type limitedConn struct {
	net.Conn
	sends  *sendLimits
	target directory.Target
	// inRequest is set from the first byte to the target until the next one from it.
	inRequest atomic.Bool
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.inRequest.Store(false)
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	if !c.inRequest.Swap(true) {
		c.sends.await(c.sends.g.lifetime)
		if f := c.sends.check(&c.target); f != nil {
			c.sends.g.log.Info("relayed request not sent", "target", c.target.ID, "born", c.target.StartUnixMilli, "err", f)
			c.Close()
			return 0, f
		}
	}
	return c.Conn.Write(b)
}
