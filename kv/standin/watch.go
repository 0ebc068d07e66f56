package standin

import (
	"context"
	"time"

	"tarragongw/kv"
)

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, since kv.Revision) ([]kv.Record, kv.Revision, error) {
	return c.Poll(ctx, prefix, since, 0)
}

// Poll is a Watch that ends after wait with no records and the revision to continue
// from; zero means no limit. WatchSilent makes it ignore wait.
func (c *Client) Poll(ctx context.Context, prefix string, since kv.Revision, wait time.Duration) ([]kv.Record, kv.Revision, error) {
	if _, err := c.startCall(ctx, kv.CallWatch); err != nil {
		return nil, since, err
	}
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	expired := false
	for {
		records, revision, changed, err := c.pollOnce(prefix, since, expired)
		if changed == nil {
			return records, revision, err
		}
		select {
		case <-changed:
		case <-timeout:
			expired, timeout = true, nil
		case <-ctx.Done():
			return nil, since, ctx.Err()
		}
	}
}

// pollOnce returns the result of a watch, or the channel to wait on if it has none yet.
func (c *Client) pollOnce(prefix string, since kv.Revision, expired bool) ([]kv.Record, kv.Revision, <-chan struct{}, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.p.unreachableLocked(c.name) || c.p.faults.watch == WatchBroken {
		return nil, since, nil, kv.ErrUnavailable
	}
	if c.p.faults.watch == WatchSilent {
		return nil, since, c.p.changed, nil
	}
	records, err := c.p.changesLocked(prefix, since)
	if err != nil {
		return nil, since, nil, err
	}
	if len(records) > 0 || expired {
		return records, c.p.revision, nil, nil
	}
	return nil, since, c.p.changed, nil
}
