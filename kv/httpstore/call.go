package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"tarragongw/kv"
)

var (
	errIncomplete      = errors.New("httpstore: incomplete answer")
	errNotFromPlatform = errors.New("httpstore: answer is not the platform's")
)

// call makes one call. It tries the next address only if no connection could be opened,
// because only then the call was certainly not sent. A call that may have reached the
// platform is never repeated.
func (c *Client) call(ctx context.Context, kind kv.CallKind, body *callBody) (*replyBody, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return nil, kv.WithCause(kv.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout(kind))
	defer cancel()
	var lastErr error
	for range c.cfg.Addresses {
		preferred := c.preferred.Load()
		reply, sent, err := c.attempt(ctx, c.address(preferred), kind, payload)
		if err == nil {
			return reply, errorForCode(reply.Code)
		}
		c.preferred.CompareAndSwap(preferred, preferred+1)
		if sent {
			return nil, c.unansweredError(kind, err)
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, kv.WithCause(kv.ErrUnavailable, lastErr)
}

// errorForCode returns the store's error for the code, or nil for success.
func errorForCode(code string) error {
	if code == kv.CodeOK {
		return nil
	}
	return kv.ErrorForCode(code)
}

func (c *Client) timeout(kind kv.CallKind) time.Duration {
	if kind == kv.CallWatch {
		return c.cfg.WatchWait + c.cfg.WatchGrace
	}
	return c.cfg.Timeout
}

func (c *Client) address(n uint32) string {
	return c.cfg.Addresses[int(n%uint32(len(c.cfg.Addresses)))]
}

// unansweredError returns the error of a call that was sent and got no answer. It also
// closes idle connections: an intermediary that has lost the state of one connection has often
// lost all of them, and each would make a call wait for its full timeout.
func (c *Client) unansweredError(kind kv.CallKind, cause error) error {
	c.transport.CloseIdleConnections()
	if kind.Writes() {
		return kv.WithCause(kv.ErrUnknown, cause)
	}
	return kv.WithCause(kv.ErrUnavailable, cause)
}

// attempt sends the call to one address. If it fails, sent reports whether a
// connection was open, in which case the platform may have executed the call.
func (c *Client) attempt(ctx context.Context, address string, kind kv.CallKind, payload []byte) (reply *replyBody, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), address, kind, payload)
	if err != nil {
		return nil, false, err
	}
	// The transport is used without http.Client, which would follow redirects and so
	// send a write twice.
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, sent, err
	}
	defer response.Body.Close()
	reply, err = readReply(response, c.cfg.MaxReply)
	return reply, true, err
}

func (c *Client) newRequest(ctx context.Context, address string, kind kv.CallKind, payload []byte) (*http.Request, error) {
	url := c.scheme + "://" + address + pathPrefix + string(kind)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	// net/http replays a request on another connection only if it can rewind the body.
	// Without GetBody it cannot, so that only this package decides on replays.
	request.GetBody = nil
	request.Header.Set("Content-Type", contentType)
	request.Header.Set(headerClient, c.cfg.Name)
	return request, nil
}

// readReply decodes an answer. An answer without a code of the protocol, such as
// the error page of an intermediary, does not show whether the call was executed.
func readReply(response *http.Response, limit int64) (*replyBody, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "httpstore: read answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("httpstore: answer exceeds %d bytes", limit)
	}
	var reply replyBody
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, errors.Wrapf(errNotFromPlatform, "status %d", response.StatusCode)
	}
	status, known := statuses[reply.Code]
	if !known || status != response.StatusCode {
		return nil, errors.Wrapf(errNotFromPlatform, "status %d, code %q", response.StatusCode, reply.Code)
	}
	return &reply, nil
}
