package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/internal/wellformed"
	"tarragongw/reqctx"
)

// maxInformational bounds the number of 1xx responses before the final one.
const maxInformational = 16

var (
	errTooManyInformational = &boundError{"target: too many informational responses", "interim_answers"}
	errSwitchedProtocols    = errors.New("target: the target switched protocols without being asked")
	errEarlyResponse        = errors.New("target: a response arrived before the request was sent")
)

// exchange is one request and its response on one connection. It also serves as the response
// body.
type exchange struct {
	pool             *Pool
	conn             *conn
	ctx              context.Context
	stopContextWatch func() bool
	aborter          *Aborter
	upload           *upload
	resp             *http.Response
	body             io.ReadCloser

	// sentBefore is the connection's count of sent bytes before the request, which is its first one if first is set.
	sentBefore int64
	first      bool
	// malformed is set if net/http refused to write the request.
	malformed bool
	// unframed is set if the response has neither a length nor chunked encoding.
	unframed bool
	// staleResponse is set if a response to an earlier request arrived first. The target's
	// responses are then out of step with the requests, so the connection is not reused.
	staleResponse bool
	// keepConn is set if the connection may be reused after a complete response.
	keepConn bool
	ended    atomic.Bool
	// closing is set when Close has closed the connection.
	closing atomic.Bool
	// readMu is held by Read, and by Close after it has closed the connection, so that the
	// buffers aren't released while a Read still uses them.
	readMu  sync.Mutex
	readErr error
}

// Attempt implements Attempter. The request is written as it is, so the caller must have
// removed hop-by-hop fields. Attempt reads the request's body but never closes it. If it
// returns a fault with Ran NotRun and a Kind other than TargetRefused, it has read nothing of
// the body. After a fault, one Read of the body may still be in progress, which only the
// body's owner can end; no other follows.
//
// The context bounds the whole exchange, including the response body. The caller must read
// the response body to its end or close it. Informational responses are reported to the
// context's httptrace.ClientTrace.
func (p *Pool) Attempt(ctx context.Context, r *http.Request) (*http.Response, *fault.Fault) {
	return p.AttemptWithOptions(ctx, r, AttemptOptions{})
}

// AttemptOptions are the options of an attempt. All fields are optional.
type AttemptOptions struct {
	// BeforeRequest is called when the connection is ready, right before the request is written. If
	// it returns a fault, nothing is written, the attempt returns that fault, and the connection
	// is released for reuse.
	//
	// If sending requires a lease, a check before the attempt is not enough: the lease may
	// expire while the attempt waits for a connection or opens one, and the target would get
	// work from a router that may no longer send it.
	BeforeRequest func() *fault.Fault
	// BeforeWrite is called right before each write of request bytes to the kernel; started is true if
	// bytes of the request have been written before. If it returns a fault, nothing more is
	// sent, the connection is closed, and the attempt ends with that fault or, if started, with
	// TargetLost.
	//
	// The check before the request is not enough if the process may be suspended: after it, the
	// header is still to be built, for a request with a body by a goroutine that must be
	// scheduled first, and the body is sent in a write of its own. A process that is suspended
	// in between would resume and write after its lease has expired, and the request would run
	// at the key's former holder.
	BeforeWrite func(started bool) *fault.Fault
	// LeaseExpiry returns when the lease to send expires, by clock.Boot. It is called after the check
	// above, right before each system call that writes. No byte is handed to the kernel after that time, even if
	// the process is suspended between the two. Nil means that there is no such time.
	LeaseExpiry func(started bool) time.Duration
	// Aborter aborts the attempt from outside.
	Aborter *Aborter
	// Fresh opens a new connection although one may be idle, because those that are open may be dead.
	// If every connection is in use, the attempt still waits for one of them.
	Fresh bool
	// Sends are the attempts at the same request before this one, which uses none of their connections.
	Sends *Sends
	// GotConn is called with the connection that the attempt uses, before anything is written to it.
	GotConn func(raw net.Conn)
}

// AttemptWithOptions is Attempt with options.
func (p *Pool) AttemptWithOptions(ctx context.Context, r *http.Request, opts AttemptOptions) (*http.Response, *fault.Fault) {
	if ctx.Err() != nil {
		return nil, contextFault(ctx, fault.NotRun)
	}
	needs := acquireOptions{fresh: opts.Fresh, sends: opts.Sends, requestID: p.cfg.Dialect.requestID(r)}
	c, f := p.acquire(ctx, &needs)
	if f != nil {
		return nil, f
	}
	if opts.GotConn != nil {
		opts.GotConn(c.raw)
	}
	if opts.BeforeRequest != nil {
		if f := opts.BeforeRequest(); f != nil {
			p.release(c)
			return nil, f
		}
	}
	opts.Sends.add(c)
	c.attachBuffers()
	c.setOptions(opts)
	x := &exchange{pool: p, conn: c, ctx: ctx, aborter: opts.Aborter, sentBefore: c.sent.Load(), first: !c.carried}
	c.carried = true
	sentAt := time.Now()
	x.watch()
	resp, err := x.roundTrip(r)
	if errors.Is(err, errUnidentified) {
		return nil, x.failInvalid(err)
	}
	if err != nil {
		return nil, x.fail(err)
	}
	p.observe(resp, sentAt)
	if f := p.cfg.Dialect.refusal(resp); f != nil {
		c.refused.add(needs.requestID)
		x.finishRefused(resp)
		return nil, f
	}
	if err := p.cfg.Dialect.Check(resp); err != nil {
		return nil, x.failInvalid(err)
	}
	x.startBody(r, resp)
	return resp, nil
}

// observe evaluates what a response header says about the target.
func (p *Pool) observe(resp *http.Response, sentAt time.Time) {
	if idleLimit := keepAliveTimeout(resp.Header); idleLimit > 0 {
		p.idleLimit.Store(int64(idleLimit - idleLimit/idleTimeoutMargin))
	}
	p.cfg.Dialect.observe(resp, sentAt)
}

// failInvalid ends an exchange whose response can't come from the target itself.
func (x *exchange) failInvalid(err error) *fault.Fault {
	f := x.fail(err)
	f.Kind, f.Ran, f.Cause = fault.AnswerInvalid, fault.RanUnknown, err
	return f
}

// roundTrip sends the request and reads the response up to the end of its header.
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

// writeRequest writes a request without a body, or with an inline body, in the caller's
// goroutine.
func (x *exchange) writeRequest(r *http.Request) error {
	err := writeRequest(x.conn.bw, r)
	if err == nil {
		err = x.conn.bw.Flush()
	}
	x.malformed = err != nil && !x.conn.writeFailed.Load()
	return err
}

// readResponse reads up to the end of the final response's header.
func (x *exchange) readResponse(r *http.Request) (*http.Response, error) {
	x.conn.headerLeft = x.pool.cfg.MaxHeaderBytes
	defer func() { x.conn.headerLeft = -1 }()
	staleResponses := 0
	for range maxInformational {
		resp, err := wellformed.ReadResponse(x.conn.br, r)
		if err != nil && x.conn.headerLeft == 0 {
			return nil, errHeadTooLong // net/http may take the line that was cut off for a malformed one
		}
		if err != nil {
			return nil, err
		}
		if !x.conn.wrote(x.sentBefore) {
			return nil, errEarlyResponse
		}
		owner := ownAnswer
		if resp.StatusCode >= http.StatusOK {
			owner = x.pool.cfg.Dialect.ownerOf(r, resp, x.first)
		}
		switch {
		case owner == unknownAnswer:
			return nil, errUnidentified
		case owner == othersAnswer:
			if staleResponses++; staleResponses > maxStaleResponses || !skipResponse(resp) {
				return nil, errStaleResponses
			}
			x.staleResponse = true
			x.pool.cfg.Dialect.observe(resp, time.Time{})
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

// maxSkippedBytes bounds the body of a response that is skipped.
const maxSkippedBytes = 1 << 20

// skipResponse reads a response to an earlier request to its end, so that the expected one can
// be read next. It reports false if that fails, if the body is longer than maxSkippedBytes or if the end can't be
// determined, because the response has neither a length nor chunked encoding.
func skipResponse(resp *http.Response) bool {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	return err == nil && n <= maxSkippedBytes
}

// trace1xx reports an informational response to the context's httptrace.ClientTrace.
func (x *exchange) trace1xx(resp *http.Response) error {
	trace := httptrace.ContextClientTrace(x.ctx)
	if trace == nil || trace.Got1xxResponse == nil {
		return nil
	}
	return trace.Got1xxResponse(resp.StatusCode, textproto.MIMEHeader(resp.Header))
}

// fail ends an exchange that failed before its response began.
func (x *exchange) fail(err error) *fault.Fault {
	x.conn.closeAndWait()
	x.upload.stop()
	f := x.requestFault(err)
	x.stopWatch()
	x.freeConn(f.Kind)
	return f
}

// finishRefused ends an exchange whose request the target did not run. The connection is kept
// if the rest of the response has been received already.
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

// startBody makes the exchange the response body, or ends it if there is no body.
func (x *exchange) startBody(r *http.Request, resp *http.Response) {
	x.keepConn = allowsReuse(resp) && !r.Close && !x.staleResponse
	if resp.Body == http.NoBody {
		x.finish(fault.Internal)
		return
	}
	x.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	x.resp, x.body = resp, resp.Body
	resp.Body = x
}

// allowsReuse reports whether the response header allows another request on the connection.
func allowsReuse(resp *http.Response) bool {
	if resp.Close {
		return false
	}
	hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return hasLength || resp.Body == http.NoBody
}

// Read implements io.Reader for the response body. If the response is truncated, it returns a
// *fault.Fault that wraps io.ErrUnexpectedEOF, never io.EOF.
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

// finishRead ends the exchange at an error or at the end of the response body. It returns the
// error for the reader.
func (x *exchange) finishRead(err error) error {
	if err == io.EOF {
		err = x.checkEnd()
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

// checkEnd returns io.EOF if the response is whole at the end of its body.
func (x *exchange) checkEnd() error {
	if err := wellformed.CheckFields(x.resp.Trailer); err != nil {
		return err
	}
	switch {
	case !x.unframed:
		return io.EOF
	case x.pool.cfg.RequireFraming:
		return errUnframed
	case !x.conn.endedByTarget():
		return errBrokenEnd
	}
	return io.EOF
}

// Close implements io.Closer. If the response has not been read to its end, Close closes the
// connection.
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

// finish ends the exchange, once, and releases its connection for reuse or closes it.
func (x *exchange) finish(kind fault.Kind) {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	reuse := x.stopWatch() && x.keepConn && !x.closing.Load() && x.upload.waitSent()
	if !reuse || x.conn.br.Buffered() > 0 {
		x.conn.raw.Close()
		x.upload.stop()
		x.freeConn(kind)
		return
	}
	x.conn.releaseBuffers()
	x.pool.release(x.conn)
}

// watch aborts the exchange when its context ends or its aborter is used.
func (x *exchange) watch() {
	x.stopContextWatch = reqctx.AfterFunc(x.ctx, x.conn.abort)
	x.aborter.bind(x.conn.abort)
}

// stopWatch ends watch. It reports false if the context or the aborter has aborted the exchange;
// the connection is then being closed.
func (x *exchange) stopWatch() bool {
	notAborted := x.aborter.unbind()
	return x.stopContextWatch() && notAborted
}

// freeConn frees the slot of a closed connection and counts the reason.
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
