package gateway

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragongw/core/directory"
	"tarragongw/internal/wellformed"
)

// limitedConn is a connection to a target that this router opened for another one. It begins no request once the target
// may have left too long ago by what this router knows: the other router has checked that when it sent the request, but
// this process may have been held up with it. While the target rests, requests are answered in its place: it has asked for
// that by answers to this router, or by answers that passed through it.
type limitedConn struct {
	net.Conn
	g      *Gateway
	target directory.Target

	mu sync.Mutex
	// inRequest is set from the first byte to the target until the next one from it.
	inRequest bool
	// head is the beginning of the answer, as far as it has been read; nil once it was whole.
	head *answerHead
	// refusal is what is left to be read of an answer in the target's place; nil for none. The connection ends with it.
	refusal *bytes.Reader
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.isRefused() {
		return c.refusal.Read(b)
	}
	n, err := c.Conn.Read(b)
	if c.isRefused() {
		return c.refusal.Read(b)
	}
	if n > 0 {
		c.observe(b[:n])
	}
	return n, err
}

// observe reads what the target states of itself from bytes of its answer.
func (c *limitedConn) observe(answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	if c.head == nil {
		return
	}
	resp := c.head.add(answer)
	if resp == nil {
		return
	}
	c.head = nil
	if c.g.opts.Adapter.Dialect.Check(resp) == nil {
		said := c.g.opts.Adapter.DecodeAnswer(resp)
		c.g.statements.observe(&c.target, &said)
	}
}

// SetReadDeadline implements net.Conn. A refusal is read at once, whatever the deadline.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil {
		t = time.Now()
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	if c.beginRequest() {
		c.g.sends.await(c.g.lifetime)
		if f := c.g.sends.check(&c.target); f != nil {
			c.log(f)
			c.Close()
			return 0, f
		}
		if f := c.g.rests.check(&c.target); f != nil {
			c.log(f)
			c.refuse(b)
		}
	}
	if c.isRefused() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *limitedConn) log(err error) {
	c.g.log.Info("relayed request not sent", "target", c.target.ID, "born", c.target.StartUnixMilli, "err", err)
}

// beginRequest reports whether the next bytes to the target are the first of a request.
func (c *limitedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := !c.inRequest && c.refusal == nil
	if begins {
		c.inRequest, c.head = true, &answerHead{}
	}
	return begins
}

// refuse answers the request with the head in the target's place. The target gets nothing of it.
func (c *limitedConn) refuse(head []byte) {
	left, _ := c.g.rests.left(c.target.Holder())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = bytes.NewReader(c.g.opts.Adapter.EncodeRefusal(head, left))
	// The one who reads goes on at once, and finds the refusal.
	_ = c.Conn.SetReadDeadline(time.Now())
}

func (c *limitedConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal != nil
}

// maxAnswerHead bounds how many bytes of an answer are kept until its header is whole.
const maxAnswerHead = 16 << 10

// answerHead gathers the header of an answer that passes through this router.
type answerHead struct{ read []byte }

// add adds bytes of the answer. It returns the header once it is whole, and nil before that and if it can't be read.
func (h *answerHead) add(b []byte) *http.Response {
	h.read = append(h.read, b[:min(len(b), maxAnswerHead-len(h.read))]...)
	reader := bufio.NewReader(bytes.NewReader(h.read))
	for {
		resp, err := wellformed.ReadResponse(reader, nil)
		if err != nil {
			return nil
		}
		if resp.StatusCode >= http.StatusOK {
			return resp
		}
	}
}
