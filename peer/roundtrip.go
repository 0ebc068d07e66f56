package peer

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/fault"
	"tarragongw/internal/wellformed"
	"tarragongw/peer/peerpb"
	"tarragongw/reqctx"
)

// exchange is one forwarded request on one stream.
type exchange struct {
	ctx     context.Context
	to      string
	session *session
	stream  *clientStream
	reader  *bufio.Reader
	// stop ends the watch on ctx; false means that the stream was aborted.
	stop func() bool
	// writeErr is the outcome of the write, which is set once written is.
	writeErr error
	written  atomic.Bool
	// broken says that the request's body broke off on the caller's side.
	broken atomic.Bool
	// began is when the request was about to be written; see session.proof.
	began int64
}

// RoundTrip implements Transport. It puts the envelope into the header of a request
// without a body while it writes it, so nobody else may use that header meanwhile.
// It does not close r.Body, which belongs to the
// caller of RoundTrip, and may still read it after it returned while the answer's
// body is open. Nothing is ever sent twice. After a fault with NotRun no byte of
// the request's body was sent.
func (n *Node) RoundTrip(ctx context.Context, to string, r *http.Request, e *Envelope) (*http.Response, *fault.Fault) {
	value, err := encodeEnvelope(e)
	if err != nil {
		return nil, fault.Wrap(fault.TooLarge, err, "")
	}
	s, stream, err := n.open(ctx, to)
	if err != nil {
		return nil, unreachable(ctx, to, err)
	}
	n.count.forwarded.Add(1)
	x := &exchange{
		ctx:     ctx,
		to:      to,
		session: s,
		stream:  stream,
		began:   n.elapsed(),
	}
	out := outgoing(r, value)
	if hasBody(out) {
		out.Body = &callerBody{Reader: r.Body, broken: &x.broken}
	}
	x.stop = reqctx.AfterFunc(ctx, func() { x.cancel(hasBody(out)) })
	return x.run(out)
}

// maxOpens bounds the sessions that are tried where each was retired in between,
// as when two routers dial each other at once. Nothing was sent on any of them.
// Between tries passes a random time of up to openPause, so that the two don't go on
// retiring each other's session in step; with four tries in a row a request was refused
// as unreachable once, between two routers that were well.
const (
	maxOpens  = 16
	openPause = 8 * time.Millisecond
)

// open returns a stream on a session that was proved alive a moment ago. An error
// is proof that nothing was sent.
func (n *Node) open(ctx context.Context, to string) (s *session, stream *clientStream, err error) {
	l := n.lookup(to)
	if l == nil {
		return nil, nil, errUnknownPeer
	}
	for try := range maxOpens {
		if try > 1 && !sleep(ctx, rand.N(openPause)) {
			break
		}
		s, err = l.session(ctx)
		if err == nil {
			err = s.verify(ctx)
		}
		if err == nil {
			stream, err = s.acquire()
		}
		if !errors.Is(err, errRetired) {
			break
		}
	}
	return s, stream, err
}

// unreachable is the fault for a request of which nothing was sent.
func unreachable(ctx context.Context, to string, cause error) *fault.Fault {
	f := fault.Wrap(fault.OwnerUnreachable, cause, "router "+to)
	if ctx.Err() != nil {
		f = gone(ctx)
	}
	f.Ran = fault.NotRun
	return f
}

// gone is the fault for a context that ended.
func gone(ctx context.Context) *fault.Fault {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "")
	}
	return fault.Wrap(fault.CallerGone, ctx.Err(), "")
}

// cancel ends the exchange because its context ended. The other side notices the
// end of the stream by itself only where the request has no body; see giveUp.
func (x *exchange) cancel(tell bool) {
	x.stream.abort()
	if !tell {
		return
	}
	payload, err := proto.Marshal(&peerpb.Cancel{Stream: x.stream.StreamID()})
	if err == nil {
		_ = x.session.send(kindCancel, payload)
	}
}

func (x *exchange) run(out *http.Request) (*http.Response, *fault.Fault) {
	if !hasBody(out) {
		x.write(out)
		takeBack(out)
	} else if !x.session.node.spawn(func() { x.write(out) }) {
		return nil, x.fail(errClosed)
	}
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(x.stream)
	resp, err := x.readHeader(out)
	if err != nil {
		return nil, x.fail(err)
	}
	if x.broken.Load() {
		// The answer is to half a request; the handler may have taken it for one.
		return nil, x.fail(errBroken)
	}
	x.session.proved(x.began)
	if f := ReadFault(resp.Header); f != nil {
		_, err := io.Copy(io.Discard, resp.Body)
		x.finish(err == nil && !resp.Close)
		return nil, f
	}
	if resp.Body == http.NoBody {
		x.finish(!resp.Close)
		return resp, nil
	}
	resp.Body = &answerBody{body: resp.Body, exchange: x, keep: !resp.Close}
	return resp, nil
}

// write sends the request and keeps the outcome.
func (x *exchange) write(out *http.Request) {
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.stream)
	var err error
	if x.stream.fresh {
		err = w.WriteByte(streamData)
		x.stream.fresh = false
	}
	if err == nil {
		err = out.Write(w)
	}
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	x.writeErr = err
	x.written.Store(true)
	if err != nil {
		// The other side must see the request cut short, and the reader must not wait.
		x.stream.abort()
	}
}

// readHeader returns the final header, skipping informational ones.
func (x *exchange) readHeader(out *http.Request) (*http.Response, error) {
	for {
		resp, err := wellformed.ReadResponse(x.reader, out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("peer: protocol switch is not supported")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if unframed(resp) {
			return nil, errors.New("peer: answer without length or chunks")
		}
		return resp, nil
	}
}

// unframed tells an answer that ends with its stream, which could not be told from
// a truncated one.
func unframed(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// fail ends the exchange before its answer began.
func (x *exchange) fail(cause error) *fault.Fault {
	// A write that is still under way may be in a read of the caller's body.
	if x.written.Load() && x.writeErr != nil {
		cause = x.writeErr
	}
	unsent := x.stream.seal()
	x.finish(false)
	if unsent {
		return unreachable(x.ctx, x.to, cause)
	}
	if x.ctx.Err() != nil {
		f := gone(x.ctx)
		f.Ran = fault.RanUnknown
		return f
	}
	if x.broken.Load() {
		f := fault.Wrap(fault.CallerGone, cause, "the request's body broke off")
		f.Ran = fault.RanUnknown
		return f
	}
	return fault.Wrap(fault.PeerLost, cause, "router "+x.to)
}

// finish gives the stream back, for reuse only if both directions are at rest.
func (x *exchange) finish(keep bool) {
	if !x.stop() {
		keep = false
	}
	keep = keep && x.written.Load() && x.writeErr == nil
	if x.reader != nil {
		keep = keep && x.reader.Buffered() == 0
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader = nil
	}
	if !keep {
		x.stream.abort()
	}
	x.session.release(x.stream, keep)
}
