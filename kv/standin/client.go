package standin

import (
	"context"
	"time"

	"tarragongw/kv"
)

// Client is one client of the stand-in. It implements kv.Store and
// kv.VMLister and is safe for concurrent use.
type Client struct {
	p    *Platform
	name string
}

// Client returns a client with the name, by which CutOff refers to it.
func (p *Platform) Client(name string) *Client {
	return &Client{p: p, name: name}
}

// do makes one call: it counts the call, waits for the delay of a slow store, refuses
// the call if the client cannot reach the store, and applies it while holding the lock.
func (c *Client) do(ctx context.Context, kind kv.CallKind, apply func() error) error {
	ctxErr, err := c.startCall(ctx, kind)
	if err != nil {
		return err
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.p.unreachableLocked(c.name) {
		return kv.ErrUnavailable
	}
	err = apply()
	if ctxErr != nil && kind.Writes() {
		return kv.WithCause(kv.ErrUnknown, ctxErr)
	}
	if c.p.takeLostReplyLocked(kind) {
		return lostReplyError(kind)
	}
	return err
}

// startCall counts the call and waits for the delay of a slow store. A write whose context
// ends during the delay is still applied, with the context's error as ctxErr: real slow
// stores also apply writes after the caller's context has ended, and tests must cover that.
func (c *Client) startCall(ctx context.Context, kind kv.CallKind) (ctxErr, err error) {
	c.p.mu.Lock()
	c.p.calls[kind]++
	delay := c.p.faults.delay
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
	ctxErr = c.p.cfg.Sleep(ctx, delay)
	if ctxErr != nil && !kind.Writes() {
		return nil, kv.WithCause(kv.ErrUnavailable, ctxErr)
	}
	return ctxErr, nil
}

// lostReplyError returns the error of a call whose reply was lost; a lost read had no effect.
func lostReplyError(kind kv.CallKind) error {
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

// lease makes a call that returns a lease. Renewed is the time before the call, because
// the store's TTL may start at any moment after it.
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

// VMs implements kv.VMLister.
func (c *Client) VMs(ctx context.Context) (vms []kv.VM, err error) {
	err = c.do(ctx, kv.CallVMs, func() error {
		current := c.p.vms
		if c.p.faults.freezeVMs {
			current = c.p.faults.frozenVMs
		}
		vms = append([]kv.VM(nil), current...)
		return nil
	})
	return vms, err
}
