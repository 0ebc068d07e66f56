package kv

import (
	"context"
	"time"
)

// Budgeted is a client of the platform whose calls have one priority and count against a Budget.
type Budgeted struct {
	budget   *Budget
	priority Priority
}

func (s *Budgeted) call(ctx context.Context, kind CallKind, run func() error) error {
	return s.budget.call(ctx, kind, s.priority, run)
}

// Get implements Store.
func (s *Budgeted) Get(ctx context.Context, key string) (record Record, err error) {
	err = s.call(ctx, CallGet, func() error {
		record, err = s.budget.store.Get(ctx, key)
		return err
	})
	return record, err
}

// List implements Store.
func (s *Budgeted) List(ctx context.Context, prefix string) (records []Record, revision Revision, err error) {
	err = s.call(ctx, CallList, func() error {
		records, revision, err = s.budget.store.List(ctx, prefix)
		return err
	})
	return records, revision, err
}

// CompareAndSwap implements Store.
func (s *Budgeted) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (revision Revision, err error) {
	err = s.call(ctx, CallCAS, func() error {
		revision, err = s.budget.store.CompareAndSwap(ctx, key, expect, value)
		return err
	})
	return revision, err
}

// Watch implements Store.
func (s *Budgeted) Watch(ctx context.Context, prefix string, since Revision) (records []Record, revision Revision, err error) {
	revision = since
	err = s.call(ctx, CallWatch, func() error {
		records, revision, err = s.budget.store.Watch(ctx, prefix, since)
		return err
	})
	return records, revision, err
}

// Acquire implements Store.
func (s *Budgeted) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (lease Lease, err error) {
	err = s.call(ctx, CallAcquire, func() error {
		lease, err = s.budget.store.Acquire(ctx, name, holder, ttl)
		return err
	})
	return lease, err
}

// Renew implements Store.
func (s *Budgeted) Renew(ctx context.Context, lease Lease) (renewed Lease, err error) {
	err = s.call(ctx, CallRenew, func() error {
		renewed, err = s.budget.store.Renew(ctx, lease)
		return err
	})
	return renewed, err
}

// Release implements Store.
func (s *Budgeted) Release(ctx context.Context, lease Lease) error {
	return s.call(ctx, CallRelease, func() error {
		return s.budget.store.Release(ctx, lease)
	})
}

// VMs implements VMLister.
func (s *Budgeted) VMs(ctx context.Context) (vms []VM, err error) {
	err = s.call(ctx, CallVMs, func() error {
		vms, err = s.budget.directory.VMs(ctx)
		return err
	})
	return vms, err
}
