package standin

import (
	"context"
	"time"

	"tarragongw/kv"
)

// Client is one client's view of the stand-in. It implements kv.Store and
// kv.Directory and is safe for concurrent use.
type Client struct {
	p    *Platform
	name string
}

// Client returns the view of the client with the name; see CutOff.
func (p *Platform) Client(name string) *Client {
	return &Client{p: p, name: name}
}

// do carries out one call: it counts it, waits where the store is slow, refuses
// it where the client cannot reach the store, and applies it under the lock.
func (c *Client) do(ctx context.Context, kind kv.CallKind, apply func() error) error {
	late, err := c.begin(ctx, kind)
	if err != nil {
		return err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.p.unreachableLocked(c.name) {
		return kv.ErrUnavailable
	}
	err = apply()
	if late != nil && kind.Writes() {
		return kv.WithCause(kv.ErrUnknown, late)
	}
	if c.p.losesReplyLocked(kind) {
		return lostReply(kind)
	}
	return err
}

// begin counts the call and waits where the store is slow. A write whose caller
// gives up meanwhile goes on, with the context's error as late: slow stores do
// apply writes after their caller has gone, which tests must meet.
func (c *Client) begin(ctx context.Context, kind kv.CallKind) (late, err error) {
	c.p.mu.Lock()
	c.p.calls[kind]++
	delay := c.p.switches.delay
	unreachable := c.p.unreachableLocked(c.name)
	c.p.mu.Unlock()
	if unreachable {
		return nil, kv.ErrUnavailable
	}
	if ctx.Err() != nil {
		return nil, kv.WithCause(kv.ErrUnavailable, ctx.Err())
	}
	if delay <= 0 {
		return nil, nil
	}
	late = c.p.cfg.Sleep(ctx, delay)
	if late != nil && !kind.Writes() {
		return nil, kv.WithCause(kv.ErrUnavailable, late)
	}
	return late, nil
}

// lostReply is the error of a call whose reply was lost: a read just failed.
func lostReply(kind kv.CallKind) error {
	if kind.Writes() {
		return kv.ErrUnknown
	}
	return kv.ErrUnavailable
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (record kv.Record, err error) {
	err = c.do(ctx, kv.CallGet, func() error {
		record, err = c.p.getLocked(key)
		return err
	})
	if err != nil {
		return kv.Record{}, err
	}
	return record, nil
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) (records []kv.Record, revision kv.Revision, err error) {
	err = c.do(ctx, kv.CallList, func() error {
		records, revision = c.p.listLocked(prefix), c.p.revision
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return records, revision, nil
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (revision kv.Revision, err error) {
	err = c.do(ctx, kv.CallCAS, func() error {
		revision, err = c.p.casLocked(key, expect, value)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Acquire implements kv.Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (kv.Lease, error) {
	return c.lease(ctx, kv.CallAcquire, func() (kv.Lease, error) {
		return c.p.acquireLocked(name, holder, ttl)
	})
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, l kv.Lease) (kv.Lease, error) {
	return c.lease(ctx, kv.CallRenew, func() (kv.Lease, error) {
		return c.p.renewLocked(l)
	})
}

// lease carries out a call that returns a lease. Renewed is read before the
// call: the store may have counted from any moment after it.
func (c *Client) lease(ctx context.Context, kind kv.CallKind, apply func() (kv.Lease, error)) (l kv.Lease, err error) {
	sent := c.p.cfg.Now()
	err = c.do(ctx, kind, func() error {
		l, err = apply()
		return err
	})
	if err != nil {
		return kv.Lease{}, err
	}
	l.Renewed = sent
	return l, nil
}

// Release implements kv.Store.
func (c *Client) Release(ctx context.Context, l kv.Lease) error {
	return c.do(ctx, kv.CallRelease, func() error { return c.p.releaseLocked(l) })
}

// VMs implements kv.Directory.
func (c *Client) VMs(ctx context.Context) (vms []kv.VM, err error) {
	err = c.do(ctx, kv.CallVMs, func() error {
		current := c.p.vms
		if c.p.switches.vmsAreOld {
			current = c.p.switches.staleVMs
		}
		vms = append([]kv.VM(nil), current...)
		return nil
	})
	return vms, err
}
