package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/reqctx"
)

// maxInformational bounds the 1xx answers before the final one.
const maxInformational = 16

var (
	errTooManyInformational = errors.New("target: too many informational answers")
	errSwitchedProtocols    = errors.New("target: the target switched protocols unasked")
	errEarlyResponse        = errors.New("target: an answer came before the request")
)

// exchange is one request and its answer on one connection. It is the answer's
// body as well.
type exchange struct {
	pool             *Pool
	conn             *conn
	ctx              context.Context
	stopContextWatch func() bool
	cut              *Cut
	upload           *upload
	body             io.ReadCloser

	sentBefore int64
	malformed  bool
	unframed   bool
	// staleResponse says that an answer to an earlier request came first: the target's count of
	// answers is off, so that the connection is not used again.
	staleResponse bool
	// keepConn says that the connection may be used again after the whole answer.
	keepConn bool
	ended    atomic.Bool
	// closing says that Close has closed the connection.
	closing atomic.Bool
	// readMu is held by Read and by Close once it has closed the connection, so that
	// the buffers aren't lent on while a Read is still in them.
	readMu  sync.Mutex
	readErr error
}

// Attempt implements Attempter. The request is written as it is, so the caller
// has removed hop-by-hop fields. Attempt reads the request's body, which it never
// closes; a fault of kind other than TargetRefused that says "not run" has read
// nothing of it. After a fault the body may still be in one Read that only its
// owner can end, and no other follows.
//
// The context bounds the whole exchange, the answer's body included. The caller
// must read the body to its end or close it. Informational answers other than
// "100 Continue" go to the context's httptrace.ClientTrace.
func (p *Pool) Attempt(ctx context.Context, r *http.Request) (*http.Response, *fault.Fault) {
	return p.AttemptOn(ctx, r, Terms{})
}

// Terms are what an attempt is made under, beyond its context.
type Terms struct {
	// Allowed is asked once there is a connection and right before the request is
	// written. Where it returns a fault, that fault is the attempt's and the connection
	// stays usable.
	//
	// A check before the attempt isn't enough where sending is a right that lapses:
	// waiting for a connection and opening it may take longer than the right has left,
	// and the target would get work from a router that may no longer send it.
	Allowed func() *fault.Fault
	// Still is asked in the moment in which bytes of the request are handed to the kernel;
	// begun says that some have been already. Where it returns a fault, nothing more is sent,
	// the connection is closed, and the attempt ends with that fault or, once begun, as lost.
	//
	// Allowed isn't enough where the process may be suspended: after it the header is put
	// together, for a request with a body in a goroutine that has to be scheduled first, and
	// the body follows in a write of its own. A process that is suspended in between would
	// act on a right that has lapsed when it goes on; one would notice a request that runs
	// at a key's former owner.
	Still func(begun bool) *fault.Fault
	// Until returns when the right to send ends, by clock.Boot; no byte is handed to the kernel
	// later, also where the process is suspended after Still. It is asked after Still. Nil
	// leaves it at Still.
	Until func(begun bool) time.Duration
	// Cut ends the attempt from outside.
	Cut *Cut
}

// AttemptOn is Attempt under terms.
func (p *Pool) AttemptOn(ctx context.Context, r *http.Request, terms Terms) (*http.Response, *fault.Fault) {
	if ctx.Err() != nil {
		return nil, contextFault(ctx, fault.NotRun)
	}
	c, f := p.acquire(ctx)
	if f != nil {
		return nil, f
	}
	if terms.Allowed != nil {
		if f := terms.Allowed(); f != nil {
			p.release(c)
			return nil, f
		}
	}
	c.attachBuffers()
	c.setOptions(terms)
	x := &exchange{pool: p, conn: c, ctx: ctx, cut: terms.Cut, sentBefore: c.sent.Load()}
	x.watch()
	resp, err := x.roundTrip(r)
	if err != nil {
		return nil, x.fail(err)
	}
	p.observe(resp)
	if f := p.cfg.Dialect.refusal(resp); f != nil {
		x.finishRefused(resp)
		return nil, f
	}
	if err := p.cfg.Dialect.check(resp); err != nil {
		return nil, x.failInvalid(err)
	}
	x.startBody(r, resp)
	return resp, nil
}

// observe notes what an answer's header says of its target.
func (p *Pool) observe(resp *http.Response) {
	if rest := keepAliveTimeout(resp.Header); rest > 0 {
		p.targetIdleTimeout.Store(int64(rest - rest/idleTimeoutMargin))
	}
	if p.cfg.Dialect.Observe != nil {
		p.cfg.Dialect.Observe(resp.Header)
	}
}

// failInvalid ends an exchange whose answer can't be the target's.
func (x *exchange) failInvalid(err error) *fault.Fault {
	f := x.fail(err)
	f.Kind, f.Ran, f.Cause = fault.AnswerInvalid, fault.RanUnknown, err
	return f
}

func (x *exchange) roundTrip(r *http.Request) (*http.Response, error) {
	if hasBody(r) && !(x.pool.inlineSmallBodies && inlineBody(r)) {
		x.upload = startUpload(x.conn, r)
		return x.readResponse(r)
	}
	if err := x.writeRequest(r); err != nil {
		return nil, err
	}
	return x.readResponse(r)
}

// writeRequest writes a request without a body, or with one that is at hand, in the
// caller's goroutine.
func (x *exchange) writeRequest(r *http.Request) error {
	err := r.Write(x.conn.bw)
	if err == nil {
		err = x.conn.bw.Flush()
	}
	x.malformed = err != nil && !x.conn.writeFailed.Load()
	return err
}

// readResponse reads up to the end of the final answer's header.
func (x *exchange) readResponse(r *http.Request) (*http.Response, error) {
	x.conn.headerLeft = x.pool.cfg.MaxHeaderBytes
	defer func() { x.conn.headerLeft = -1 }()
	overdue := 0
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.br, r)
		if err != nil {
			return nil, err
		}
		if !x.conn.wrote(x.sentBefore) {
			return nil, errEarlyResponse
		}
		switch {
		case resp.StatusCode >= http.StatusOK && x.pool.cfg.Dialect.forOtherRequest(r, resp):
			if overdue++; overdue > maxStaleResponses || !skipResponse(resp) {
				return nil, errStaleResponse
			}
			x.staleResponse = true
			x.conn.headerLeft = x.pool.cfg.MaxHeaderBytes
			continue
		case resp.StatusCode >= http.StatusOK:
			x.upload.responseReceived()
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchedProtocols
		case resp.StatusCode == http.StatusContinue:
			x.upload.continueBody()
		}
		if err := x.trace1xx(resp); err != nil {
			return nil, err
		}
	}
	return nil, errTooManyInformational
}

// skipResponse reads an answer that belongs to an earlier request to its end, after which the
// one that is waited for comes; without a length it has no end that could be known.
func skipResponse(resp *http.Response) bool {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
}

// trace1xx hands an informational answer to who asked for it.
func (x *exchange) trace1xx(resp *http.Response) error {
	trace := httptrace.ContextClientTrace(x.ctx)
	if trace == nil || trace.Got1xxResponse == nil {
		return nil
	}
	return trace.Got1xxResponse(resp.StatusCode, textproto.MIMEHeader(resp.Header))
}

// fail ends an exchange whose answer did not begin.
func (x *exchange) fail(err error) *fault.Fault {
	x.conn.closeAndWait()
	x.upload.stop()
	f := x.requestFault(err)
	x.stopWatch()
	x.freeConn(f.Kind)
	return f
}

// finishRefused ends an exchange that the target did not run. The connection is kept
// where the rest of the answer is here already.
func (x *exchange) finishRefused(resp *http.Response) {
	p := x.pool
	p.mu.Lock()
	p.counts.Refused++
	p.mu.Unlock()
	x.keepConn = allowsReuse(resp) && !x.staleResponse && resp.ContentLength >= 0 && int64(x.conn.br.Buffered()) >= resp.ContentLength
	if x.keepConn {
		_, err := io.Copy(io.Discard, resp.Body)
		x.keepConn = err == nil
	}
	x.finish(fault.TargetRefused)
}

// startBody makes the exchange the answer's body, or ends it where there is none.
func (x *exchange) startBody(r *http.Request, resp *http.Response) {
	x.keepConn = allowsReuse(resp) && !r.Close && !x.staleResponse
	if resp.Body == http.NoBody {
		x.finish(fault.Internal)
		return
	}
	x.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	x.body = resp.Body
	resp.Body = x
}

// allowsReuse reports whether the header allows another request on the connection.
func allowsReuse(resp *http.Response) bool {
	if resp.Close {
		return false
	}
	hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return hasLength || resp.Body == http.NoBody
}

// Read implements io.Reader for the answer's body. An answer that breaks off ends
// with a *fault.Fault that wraps io.ErrUnexpectedEOF, never with io.EOF.
func (x *exchange) Read(b []byte) (int, error) {
	x.readMu.Lock()
	defer x.readMu.Unlock()
	if x.readErr != nil {
		return 0, x.readErr
	}
	if x.ended.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := x.body.Read(b)
	if err == nil {
		return n, nil
	}
	x.readErr = x.finishRead(err)
	return n, x.readErr
}

// finishRead ends the exchange at an error or the end of the answer's body and returns
// what the reader is told.
func (x *exchange) finishRead(err error) error {
	if err == io.EOF && x.unframed && x.pool.cfg.RequireFraming {
		err = errUnframed
	}
	if err == io.EOF {
		x.finish(fault.Internal)
		return io.EOF
	}
	f := x.bodyFault(err)
	x.keepConn = false
	x.finish(f.Kind)
	return f
}

// Close implements io.Closer. Before the answer's end it closes the connection,
// and with it whatever of the answer is still to come.
func (x *exchange) Close() error {
	if x.ended.Load() {
		return nil
	}
	x.closing.Store(true)
	x.conn.abort()
	x.readMu.Lock()
	defer x.readMu.Unlock()
	x.finish(fault.CallerGone)
	return nil
}

// finish ends the exchange once: its connection rests or is closed.
func (x *exchange) finish(kind fault.Kind) {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	whole := x.stopWatch() && x.keepConn && !x.closing.Load() && x.upload.waitSent()
	if !whole || x.conn.br.Buffered() > 0 {
		x.conn.abort()
		x.upload.stop()
		x.freeConn(kind)
		return
	}
	x.conn.releaseBuffers()
	x.pool.release(x.conn)
}

// watch ends the exchange with its context or its Cut.
func (x *exchange) watch() {
	x.stopContextWatch = reqctx.AfterFunc(x.ctx, x.conn.abort)
	x.cut.bind(x.conn.abort)
}

// stopWatch stops watching; false means that the context or the Cut has ended the
// exchange and the connection is being closed.
func (x *exchange) stopWatch() bool {
	unharmed := x.cut.unbind()
	return x.stopContextWatch() && unharmed
}

// freeConn frees the place of a closed connection and counts why.
func (x *exchange) freeConn(kind fault.Kind) {
	p := x.pool
	count, cause := &p.counts.Broken, OpenedBroken
	switch {
	case x.conn.timedOut.Load():
		count = &p.counts.Silent
	case kind == fault.CallerGone || kind == fault.DeadlineExceeded:
		count, cause = &p.counts.Cancelled, OpenedCancelled
	case kind == fault.TargetRefused || kind == fault.Internal:
		count, cause = nil, OpenedEnded
	}
	p.recordClose(cause)
	if x.upload.writerDone() {
		x.conn.releaseBuffers()
	}
	p.freeSlot(count)
}
