package kv

import (
	"context"
	"time"
)

// Condition is the revision that a key must have; zero means that it must not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is a write of one key. If Lease is set, the key is removed when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of writes that take effect together if all conditions hold, or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TxnStore is a store with transactions and with leases that keys can be bound to. Its
// errors are those of Store.
//
// If the store is restored during a call, the response proves nothing. A read then returns
// ErrUnavailable, a watch ErrCompacted, a lease call ErrLeaseLost, and a transaction
// ErrUnknown. A condition with a revision of an earlier era does not hold.
type TxnStore interface {
	// Era returns the latest era that a response has stated, and whether any has.
	Era() (Era, bool)
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records under prefix and a revision to watch from. Records that
	// changed while the list was read may be older or newer than that revision.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Watch is like that of Store, but ends after wait if nothing changed.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Record, Revision, error)
	// Commit executes the transaction. With ErrConflict it returns the current records of
	// the conditions' keys; keys that do not exist have revision zero.
	Commit(ctx context.Context, txn Txn) (Revision, []Record, error)
	// NewLease returns a lease and its TTL, counted from when the store receives the last renewal.
	NewLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// RenewLease renews the lease; ErrLeaseLost means that it has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// EndLease removes the lease and the keys that are bound to it.
	EndLease(ctx context.Context, id LeaseID) error
}
