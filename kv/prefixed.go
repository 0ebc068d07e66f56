package kv

import (
	"context"
	"strings"
	"time"
)

// Prefixed returns a Store for the keys and leases of store under the prefix. Its callers use
// keys and names of leases without the prefix.
func Prefixed(store Store, prefix string) Store {
	return &prefixedStore{store: store, prefix: prefix}
}

type prefixedStore struct {
	store  Store
	prefix string
}

func (p *prefixedStore) strip(rec Record) Record {
	rec.Key = strings.TrimPrefix(rec.Key, p.prefix)
	return rec
}

func (p *prefixedStore) stripAll(records []Record) []Record {
	out := make([]Record, len(records))
	for i, rec := range records {
		out[i] = p.strip(rec)
	}
	return out
}

// Get implements Store.
func (p *prefixedStore) Get(ctx context.Context, key string) (Record, error) {
	rec, err := p.store.Get(ctx, p.prefix+key)
	return p.strip(rec), err
}

// List implements Store.
func (p *prefixedStore) List(ctx context.Context, prefix string) ([]Record, Revision, error) {
	records, revision, err := p.store.List(ctx, p.prefix+prefix)
	return p.stripAll(records), revision, err
}

// CompareAndSwap implements Store.
func (p *prefixedStore) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error) {
	return p.store.CompareAndSwap(ctx, p.prefix+key, expect, value)
}

// Watch implements Store.
func (p *prefixedStore) Watch(ctx context.Context, prefix string, since Revision) ([]Record, Revision, error) {
	records, revision, err := p.store.Watch(ctx, p.prefix+prefix, since)
	return p.stripAll(records), revision, err
}

// Acquire implements Store.
func (p *prefixedStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	return p.store.Acquire(ctx, p.prefix+name, holder, ttl)
}

// Renew implements Store.
func (p *prefixedStore) Renew(ctx context.Context, lease Lease) (Lease, error) {
	return p.store.Renew(ctx, lease)
}

// Release implements Store.
func (p *prefixedStore) Release(ctx context.Context, lease Lease) error {
	return p.store.Release(ctx, lease)
}
