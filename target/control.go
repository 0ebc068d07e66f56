package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"tarragongw/core/fault"
)

// Paths of the protocol between router and target.
const (
	PathGrants = "/tarragon/v1/grants"
	PathHealth = "/tarragon/v1/health"
)

// maxControlBytes bounds the body of an answer to a grant or a probe.
const maxControlBytes = 1 << 20

// Health is what a target says about itself. It lags or misleads, so it is a hint.
type Health struct {
	// Ready says that the target takes work.
	Ready bool `json:"ready"`
	// Draining says that it is leaving and wants no new work.
	Draining bool `json:"draining"`
	// Load is the share of its slots in use, from 0 to 1.
	Load float64 `json:"load"`
	// Cold says that it has just started and is slower than usual.
	Cold bool `json:"cold"`
}

// Control sends grants and probes to one target. Its connections are apart from
// those for work, so that work which fills the pool can't delay a renewal until
// the grants lapse, yet they are part of the pool's MaxConns. It is safe for
// concurrent use.
type Control struct {
	pool *Pool
	host string
}

// NewControl returns the control side of a pool. A pool has one at most, and its
// ControlConns must not be negative.
func NewControl(work *Pool) (*Control, error) {
	share := work.cfg.ControlConns
	if share == 0 {
		return nil, errors.New("target: the pool keeps no connection for control")
	}
	if !work.hasControl.CompareAndSwap(false, true) {
		return nil, errors.New("target: the pool has a control side already")
	}
	cfg := work.cfg
	cfg.MaxConns = share
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

// Grant implements Granter. An error is a *fault.Fault where the exchange failed;
// its Ran says whether the target may have taken the batch. The context must have
// a deadline.
func (c *Control) Grant(ctx context.Context, batch *GrantBatch) (*GrantReply, error) {
	body, err := json.Marshal(batch)
	if err != nil {
		return nil, errors.Wrap(err, "target: encoding grants")
	}
	reply := new(GrantReply)
	if err := c.call(ctx, http.MethodPut, PathGrants, body, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Probe asks the target for its health.
func (c *Control) Probe(ctx context.Context) (*Health, error) {
	health := new(Health)
	if err := c.call(ctx, http.MethodGet, PathHealth, nil, health); err != nil {
		return nil, err
	}
	return health, nil
}

// Stats returns the counters of the control connections.
func (c *Control) Stats() Stats { return c.pool.Stats() }

// Close closes the control connections at rest and lets no new call in.
func (c *Control) Close() { c.pool.Close() }

var noUserAgent = []string{""}

func (c *Control) call(ctx context.Context, method, path string, body []byte, reply any) error {
	r, err := http.NewRequest(method, "http://"+c.host+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "target: building a control request")
	}
	// An empty value keeps net/http from naming itself, which a renewal would repeat
	// many times a second.
	r.Header["User-Agent"] = noUserAgent
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, f := c.pool.Attempt(ctx, r)
	if f != nil {
		// The connections at rest may have gone silent together, as when something between
		// the ends forgot them. The next call must meet the target itself on a new one:
		// two calls that fail for old connections would condemn a target that is well.
		c.pool.CloseIdle()
		return f
	}
	defer resp.Body.Close()
	return decode(resp, reply)
}

// decode reads the reply of status 200, or of 409, which refuses a batch.
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
