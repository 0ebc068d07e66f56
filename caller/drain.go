package caller

import (
	"io"
	"net"
	"net/http"
	"time"
)

// keepAliveDrainBytes is the largest unread rest of a body that is worth reading to keep an
// HTTP/1.1 connection open; net/http itself reads no more than this.
const keepAliveDrainBytes = 256 * kibibyte

// unread reports whether the request has a body that was not read to its end.
func (x *exchange) unread() bool {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return false
	}
	if x.body == nil {
		return true
	}
	_, ended, _, _ := x.body.state()
	return !ended
}

// withheld reports whether the caller has not begun to send its body because it waits for a
// 100 Continue that was never sent.
func (x *exchange) withheld() bool {
	if !x.expectsContinue || x.body == nil {
		return x.expectsContinue
	}
	total, _, _, _ := x.body.state()
	return total == 0
}

// closeAfterUnread announces that an HTTP/1.1 connection will be closed if the unread rest of
// a refused body is too large.
func (x *exchange) closeAfterUnread() {
	if x.r.ProtoMajor >= 2 || !x.unread() {
		return
	}
	if x.withheld() || x.r.ContentLength < 0 || x.r.ContentLength > keepAliveDrainBytes {
		x.w.Header().Set("Connection", "close")
	}
}

// drain flushes the answer and then reads and discards the rest of the request's body, within
// bounds.
//
// Without it, a caller that is still sending when the connection closes gets a reset, which
// may destroy the answer before the caller reads it: the caller sees a broken connection in
// place of the refusal. HTTP/2 does not need this, since the server resets only the one
// stream, after the answer.
func (x *exchange) drain() {
	if x.r.ProtoMajor >= 2 || !x.unread() {
		return
	}
	_ = x.ctl.Flush()
	if x.withheld() {
		// The server would wait for this body indefinitely.
		_ = x.ctl.SetReadDeadline(time.Now())
		return
	}
	_ = x.ctl.SetReadDeadline(time.Now().Add(x.handler.cfg.DrainTimeout))
	_, _ = io.CopyN(io.Discard, x.r.Body, x.handler.cfg.DrainBytes)
}

// flushPartial flushes the part of an answer that will be aborted. Without it a short part
// would be discarded, and a client that receives nothing at all may repeat the request by
// itself although it ran. A part that has all declared bytes is not flushed, since it would
// look like the whole answer.
func (x *exchange) flushPartial() {
	if x.writeErr != nil || x.written == 0 {
		return
	}
	if x.declared < 0 || x.written < x.declared {
		_ = x.ctl.Flush()
	}
}

// connKey is the context key of the caller's connection.
type connKey struct{}

// abort aborts the caller's connection (HTTP/1.1) or stream (HTTP/2) by a panic with
// http.ErrAbortHandler.
//
// An HTTP/1.0 answer without a length ends with its connection, so a truncated one would look
// complete after a normal close. Such a connection is reset instead.
func abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			if tcp, ok := conn.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
	}
	panic(http.ErrAbortHandler)
}
