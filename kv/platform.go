// Package kv has the router's interfaces to the platform: the key-value store for
// durable state, and the list of VMs.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the version of a key in the store. Each write to the store increases the
// store's revision. Zero means that the key does not exist.
type Revision uint64

// Errors of the store. They are matched with errors.Is.
var (
	// ErrConflict means that the key did not have the expected revision; the write had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the store refused the call or was unreachable; the call had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the reply was lost; a write may have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrUnreadable means that the reply to a read has come and can't be read. The same read may fail in the same way again.
	ErrUnreadable = errors.New("store: reply not readable")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrLeaseLost means that the lease has expired or is held by another client.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrOverBudget means that the router's own Budget refused the call; it was not sent.
	ErrOverBudget = errors.New("store: call budget exhausted")
	// ErrCompacted means that the store has no history for the revision of a watch, because
	// it is older than the history or newer than the store's revision. The caller must list again.
	ErrCompacted = errors.New("store: revision compacted, list again")
	// ErrTooLarge means that the value exceeds MaxValue; the write had no effect.
	ErrTooLarge = errors.New("store: value too large")
	// ErrInvalid means that the store rejected the call's arguments; the call had no effect.
	ErrInvalid = errors.New("store: invalid argument")
)

// MaxValue is the largest size of a value in the store, in bytes.
const MaxValue = 1 << 20

// Record is a key with its value.
type Record struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Created is the revision in which the key was created, which is another one if it was deleted since; zero if unknown.
	Created Revision `json:"-"`
	// Deleted is true for a key that a watch returns because it was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// Lease is a lease of the store: a hint about who should act, not a proof that no other client acts.
type Lease struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	ID      uint64        `json:"id"`
	TTL     time.Duration `json:"ttl"`
	Renewed time.Time     `json:"-"`
}

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records under prefix, sorted by key, and the store's revision at which
	// they were read.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// CompareAndSwap writes value if the key has the revision expect (zero: does not exist).
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error)
	// Watch waits until a key under prefix changes after since, or until ctx ends, and
	// returns the changes and the revision to continue from. Of several writes to one key
	// only the last is returned. A store may end the wait early with no records and a
	// revision to continue from. If it has no history since that revision, the error is
	// ErrCompacted.
	Watch(ctx context.Context, prefix string, since Revision) ([]Record, Revision, error)
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	Renew(ctx context.Context, lease Lease) (Lease, error)
	Release(ctx context.Context, lease Lease) error
}

// VM is one entry of the platform's list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// PeerAddress is host:port for router-to-router traffic.
	PeerAddress string `json:"peer_address"`
	// Leaving marks a VM that the platform is about to remove.
	Leaving bool `json:"leaving,omitempty"`
}

// VMLister is the platform's list of VMs. The list lags behind: it is a hint that a VM
// joins or leaves, not a proof that it runs or has stopped.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
