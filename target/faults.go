package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"tarragongw/core/fault"
)

// errUnframed ends a response that has neither a length nor chunked encoding, if
// PoolConfig.RequireFraming is set.
var errUnframed = errors.New("target: the response has neither a length nor chunked encoding, so its end can't be verified")

// errBrokenEnd ends a response without a length whose connection was not ended by the target.
var errBrokenEnd = errors.New("target: the connection broke, and the response's end can't be told without a length")

// notRun returns a fault for a request that has provably not run.
func notRun(kind fault.Kind, cause error, detail string) *fault.Fault {
	return &fault.Fault{Kind: kind, Ran: fault.NotRun, Detail: detail, Cause: cause}
}

// contextFault returns the fault for a context that has ended: DeadlineExceeded if the
// deadline has passed or the context was cancelled with that cause, otherwise CallerGone.
func contextFault(ctx context.Context, ran fault.Ran) *fault.Fault {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return &fault.Fault{Kind: fault.DeadlineExceeded, Ran: ran, Cause: cause}
	}
	return &fault.Fault{Kind: fault.CallerGone, Ran: ran, Cause: cause}
}

// requestFault returns the fault of an exchange that ended before its response began. The
// connection has been closed by closeAndWait, so the count of sent bytes is final.
func (x *exchange) requestFault(err error) *fault.Fault {
	c := x.conn
	ran := fault.RanUnknown
	if c.sent.Load() == x.sentBefore {
		ran = fault.NotRun
	}
	if f := c.refusedWrite(); f != nil {
		return f
	}
	bodyErr := x.upload.callerBodyError()
	switch {
	case x.ctx.Err() != nil:
		return contextFault(x.ctx, ran)
	case x.aborter.isAborted():
		return x.aborter.fault(ran)
	case bodyErr != nil:
		return &fault.Fault{Kind: fault.CallerGone, Ran: ran, Cause: bodyErr, Detail: "the request's body broke off"}
	case c.timedOut.Load():
		return &fault.Fault{Kind: fault.TargetStalled, Ran: ran, Cause: err, Detail: "no progress for " + c.progressTimeout.String()}
	case x.malformed || x.upload.isMalformed():
		return &fault.Fault{Kind: fault.BadRequest, Ran: ran, Cause: err, Detail: "the request can't be written"}
	case ran == fault.NotRun:
		return notRun(fault.TargetUnreachable, err, "the connection failed before a byte was written")
	}
	return fault.Wrap(fault.TargetLost, notEOF(err), "no whole header of an answer")
}

// bodyFault returns the fault for an error while reading the response body. It never wraps
// io.EOF, and wraps io.ErrUnexpectedEOF if the response was truncated.
func (x *exchange) bodyFault(err error) *fault.Fault {
	switch {
	case x.ctx.Err() != nil:
		return contextFault(x.ctx, fault.RanFully)
	case x.conn.timedOut.Load():
		return &fault.Fault{Kind: fault.AnswerTruncated, Ran: fault.RanFully,
			Cause: fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err), Detail: "no progress for " + x.conn.progressTimeout.String()}
	}
	return fault.Wrap(fault.AnswerTruncated, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, notEOF(err)), "")
}

// notEOF replaces an error that wraps io.EOF, which readers take for a clean end.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// refusalKind returns StaleRoute for a grant that does not match, which resolves itself as
// soon as router and target agree again, and TargetRefused for a target that does not want
// the work.
func refusalKind(cause string) fault.Kind {
	switch cause {
	case CauseUnit, CauseToken, CauseTerm, CauseExpired:
		return fault.StaleRoute
	}
	return fault.TargetRefused
}

// refusal returns a fault if the response states that the request was not run, or nil.
func refusal(resp *http.Response) *fault.Fault {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusConflict {
		return nil
	}
	cause := resp.Header.Get(HeaderNotRun)
	if cause == "" {
		return nil
	}
	f := notRun(refusalKind(cause), nil, cause)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}
