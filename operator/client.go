package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tarragongw/eventlog"
)

// Client calls the operator endpoint of a router. Its methods mirror Backend.
type Client struct {
	// Base is the URL of the endpoint, for example http://127.0.0.1:9100.
	Base string
	// HTTP is the client that is used; nil means http.DefaultClient.
	HTTP *http.Client
	// Router names the router that answers the calls; empty means the one at Base. The
	// router at Base passes on those calls that PassedOn allows.
	Router string
}

// maxReplyBytes bounds a router's answer; the longest is a whole journal.
const maxReplyBytes = 64 << 20

// Of returns a copy of the client whose calls are answered by the named router.
func (c *Client) Of(router string) *Client {
	other := *c
	other.Router = router
	return &other
}

// Config returns the configuration in the store.
func (c *Client) Config(ctx context.Context) (*Config, error) {
	return call[Config](ctx, c, http.MethodGet, PathConfig, nil, nil)
}

// Apply makes a configuration the present one.
func (c *Client) Apply(ctx context.Context, req *ApplyRequest) (*ApplyReply, error) {
	return call[ApplyReply](ctx, c, http.MethodPut, PathConfig, nil, req)
}

// Drain starts or, with Undo, ends the drain of a target.
func (c *Client) Drain(ctx context.Context, req *DrainRequest) (*ApplyReply, error) {
	return call[ApplyReply](ctx, c, http.MethodPost, PathDrain, nil, req)
}

// ConfirmDead confirms that the routers which may still send to a target are dead.
func (c *Client) ConfirmDead(ctx context.Context, req *ConfirmDeadRequest) (*ConfirmDeadReply, error) {
	return call[ConfirmDeadReply](ctx, c, http.MethodPost, PathConfirmDead, nil, req)
}

// Revisions returns the revision that the router, or every router, has in force.
func (c *Client) Revisions(ctx context.Context, all bool) ([]RouterRevision, error) {
	q := url.Values{"all": {strconv.FormatBool(all)}}
	return deref(call[[]RouterRevision](ctx, c, http.MethodGet, PathRevision, q, nil))
}

// Status returns the status screen.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, http.MethodGet, PathStatus, nil, nil)
}

// Events returns the events from the duration since ago until now.
func (c *Client) Events(ctx context.Context, since time.Duration) ([]eventlog.Event, error) {
	page, err := c.EventPage(ctx, since)
	if err != nil {
		return nil, err
	}
	return page.Events, nil
}

// EventPage returns the events from the duration since ago until now. EventsAfter
// continues from the page.
func (c *Client) EventPage(ctx context.Context, since time.Duration) (*EventPage, error) {
	return call[EventPage](ctx, c, http.MethodGet, PathEvents, url.Values{paramSince: {since.String()}}, nil)
}

// EventsAfter returns the events that follow those of the page.
func (c *Client) EventsAfter(ctx context.Context, page *EventPage) (*EventPage, error) {
	q := url.Values{
		paramAfter: {strconv.FormatUint(page.Next, 10)},
		paramLife:  {strconv.FormatUint(page.Life, 10)},
	}
	return call[EventPage](ctx, c, http.MethodGet, PathEvents, q, nil)
}

// Routers returns the router and all others that it knows of.
func (c *Client) Routers(ctx context.Context) ([]RouterState, error) {
	return deref(call[[]RouterState](ctx, c, http.MethodGet, PathRouters, nil, nil))
}

// Series returns the measurements from the duration since ago until now.
func (c *Client) Series(ctx context.Context, since time.Duration) (*Series, error) {
	return call[Series](ctx, c, http.MethodGet, PathSeries, url.Values{paramSince: {since.String()}}, nil)
}

// ExplainKey returns which target owns the key and why.
func (c *Client) ExplainKey(ctx context.Context, service, key string) (*KeyExplanation, error) {
	q := url.Values{"service": {service}, "key": {key}}
	return call[KeyExplanation](ctx, c, http.MethodGet, PathExplainKey, q, nil)
}

// ExplainRequest returns why the request ended as it did.
func (c *Client) ExplainRequest(ctx context.Context, id string) (*RequestExplanation, error) {
	q := url.Values{"id": {id}}
	return call[RequestExplanation](ctx, c, http.MethodGet, PathExplainRequest, q, nil)
}

// ExplainTarget returns the state of the target.
func (c *Client) ExplainTarget(ctx context.Context, name string) (*TargetExplanation, error) {
	q := url.Values{"name": {name}}
	return call[TargetExplanation](ctx, c, http.MethodGet, PathExplainTarget, q, nil)
}

func deref[T any](p *T, err error) (T, error) {
	if err != nil {
		var zero T
		return zero, err
	}
	return *p, nil
}

func call[T any](ctx context.Context, c *Client, method, path string, q url.Values, body any) (*T, error) {
	if c.Router != "" {
		if q == nil {
			q = url.Values{}
		}
		q.Set(ParamRouter, c.Router)
	}
	req, err := newRequest(ctx, c.Base, method, path, q, body)
	if err != nil {
		return nil, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, Errorf(CodeUnavailable, "the router was not reached: %v", err)
	}
	defer resp.Body.Close()
	answer := io.LimitReader(resp.Body, maxReplyBytes)
	// The decoder does not read the end of the answer. If it stayed unread, the connection
	// would be closed and each call would need a new handshake.
	defer func() { _, _ = io.Copy(io.Discard, answer) }()
	decoder := json.NewDecoder(answer)
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(decoder, resp.Status)
	}
	reply := new(T)
	if err := decoder.Decode(reply); err != nil {
		return nil, errors.Wrap(err, "decode the router's answer")
	}
	return reply, nil
}

func newRequest(ctx context.Context, base, method, path string, q url.Values, body any) (*http.Request, error) {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return nil, errors.Wrap(err, "encode the call")
		}
	}
	address := base + path
	if len(q) > 0 {
		address += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, address, &content)
	return req, errors.Wrap(err, "make the call")
}

func decodeError(decoder *json.Decoder, status string) error {
	e := new(Error)
	if err := decoder.Decode(e); err != nil || e.Code == "" {
		return Errorf(CodeInternal, "the router answered %s", status)
	}
	return e
}
