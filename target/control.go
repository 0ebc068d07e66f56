package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/fault"
	"tarragongw/leasewrite"
)

// Paths of the protocol between router and target.
const (
	PathGrants = "/tarragon/v1/grants"
	PathHealth = "/tarragon/v1/health"
)

// maxControlBytes bounds the body of the response to a grant or a probe.
const maxControlBytes = 1 << 20

// Health is a target's report on itself. It may be out of date or wrong, so it is only a
// hint.
type Health struct {
	// Ready is set if the target takes work.
	Ready bool `json:"ready"`
	// Draining is set if the target is shutting down and takes no new work.
	Draining bool `json:"draining"`
	// Load is the share of the target's slots in use, from 0 to 1.
	Load float64 `json:"load"`
	// Cold is set if the target has just started and is slower than usual.
	Cold bool `json:"cold"`
}

// Control sends grants and probes to one target. It has connections of its own, so that
// work that fills the pool can't delay a renewal until the grants expire; they count towards
// the pool's MaxConns. It is safe for concurrent use.
type Control struct {
	pool *Pool
	host string
}

// NewControl returns the Control of a pool. A pool has at most one, and its ControlConns
// must not be negative.
func NewControl(work *Pool) (*Control, error) {
	reserved := work.cfg.ControlConns
	if reserved == 0 {
		return nil, errors.New("target: the pool reserves no connections for control")
	}
	if !work.hasControl.CompareAndSwap(false, true) {
		return nil, errors.New("target: the pool already has a Control")
	}
	cfg := work.cfg
	cfg.MaxConns = reserved
	cfg.ControlConns = -1
	cfg.Wait = -1
	cfg.MaxHeaderBytes = DefaultMaxHeaderBytes
	pool, err := New(cfg)
	if err != nil {
		return nil, err
	}
	pool.inlineSmallBodies = true
	return &Control{pool: pool, host: work.cfg.Address}, nil
}

// Grant implements Granter. If the exchange failed, the error is a *fault.Fault whose Ran
// says whether the target may have applied the batch. The context must have a deadline.
func (c *Control) Grant(ctx context.Context, batch *GrantBatch, sendBy time.Duration) (*GrantReply, error) {
	body, err := json.Marshal(batch)
	if err != nil {
		return nil, errors.Wrap(err, "target: encoding grants")
	}
	reply := new(GrantReply)
	opts := AttemptOptions{LeaseExpiry: func(bool) time.Duration { return sendBy }}
	if err := c.call(ctx, http.MethodPut, PathGrants, body, opts, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Probe asks the target for its health.
func (c *Control) Probe(ctx context.Context) (*Health, error) {
	health := new(Health)
	if err := c.call(ctx, http.MethodGet, PathHealth, nil, AttemptOptions{}, health); err != nil {
		return nil, err
	}
	return health, nil
}

// Stats returns the state and counters of the control connections.
func (c *Control) Stats() Stats { return c.pool.Stats() }

// Close closes the idle control connections and refuses new calls.
func (c *Control) Close() { c.pool.Close() }

var noUserAgent = []string{""}

func (c *Control) call(ctx context.Context, method, path string, body []byte, opts AttemptOptions, reply any) error {
	r, err := http.NewRequest(method, "http://"+c.host+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "target: building a control request")
	}
	// An empty value keeps net/http from sending its default User-Agent, which renewals would
	// repeat many times a second.
	r.Header["User-Agent"] = noUserAgent
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, f := c.pool.AttemptWithOptions(ctx, r, opts)
	switch {
	case f != nil && leasewrite.IsLeaseError(f):
		return f
	case f != nil:
		// All idle connections may have died together, as when a middlebox has dropped their
		// state. Close them, so that the next call tests the target itself on a new
		// connection: two calls that fail because of old connections would mark a healthy
		// target as unhealthy.
		c.pool.CloseIdle()
		return f
	}
	defer resp.Body.Close()
	return decode(resp, reply)
}

// decode reads a reply with status 200, or with status 409, by which a target refuses a
// batch.
func decode(resp *http.Response, reply any) error {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return fault.New(fault.TargetLost, "control request answered with "+resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxControlBytes {
		return fault.New(fault.TargetLost, "reply to a control request is too large")
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fault.Wrap(fault.TargetLost, err, "reply to a control request can't be read")
	}
	return nil
}
