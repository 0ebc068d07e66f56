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

// Put is a write of one key, which goes with its lease where there is one.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of writes that happen together, if every condition holds, or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Ledger is a store with transactions and with leases that keys can be bound to. Its
// errors are those of Store.
//
// A call that is asked in one era and answered in another proves nothing: a read is then
// ErrUnavailable, a watch ErrCompacted, a lease ErrLeaseLost and a transaction ErrUnknown. A
// condition of an earlier era doesn't hold.
type Ledger interface {
	// Era returns the latest era that an answer has named, and whether one has named any.
	Era() (Era, bool)
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records under prefix and a revision to watch from. Records that
	// changed meanwhile may be older or newer than that.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Watch is that of Store, but ends after wait where nothing changed.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Record, Revision, error)
	// Commit carries the transaction out. With ErrConflict it returns the conditions' keys
	// as they are, those that don't exist with revision zero.
	Commit(ctx context.Context, txn Txn) (Revision, []Record, error)
	// NewLease returns a lease and the time that it lasts from its last renewal's arrival.
	NewLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepLease renews; ErrLeaseLost means that the lease has ended.
	KeepLease(ctx context.Context, id LeaseID) error
	// EndLease removes the lease and the keys that are bound to it.
	EndLease(ctx context.Context, id LeaseID) error
}
