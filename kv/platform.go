// Package kv is the side of the router that the platform meets: the
// key-value store that holds what must last, and the list of VMs.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the store's version of a key; it grows with each write to the
// store. Zero means that the key does not exist.
type Revision uint64

// Errors of the store. They are matched with errors.Is.
var (
	// ErrConflict means that the key was not at the expected revision; the write did not happen.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the store refused or was not reached; the call did not happen.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the reply was lost; a write may have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrLeaseLost means that the lease lapsed or is held by another.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrOverBudget means that the router's own budget of store calls refused the call.
	ErrOverBudget = errors.New("store: call budget exhausted")
	// ErrCompacted means that a watch asked for a revision that the store has no history
	// for, older than it kept or newer than it has; the caller lists again.
	ErrCompacted = errors.New("store: revision compacted, list again")
	// ErrTooLarge means that the value exceeds MaxValue; the write did not happen.
	ErrTooLarge = errors.New("store: value too large")
	// ErrInvalid means that the store does not accept the call's arguments; it did not happen.
	ErrInvalid = errors.New("store: invalid argument")
)

// MaxValue is the size of the largest value that the store holds, in bytes.
const MaxValue = 1 << 20

// Record is a key with its value.
type Record struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Deleted marks the end of a key in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// Lease is a store's lease: a hint about who should act, never a proof.
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
	// List returns the records under prefix in order of key and the store's revision
	// at which they were read.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// CompareAndSwap writes value if the key is at expect (zero: absent).
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error)
	// Watch waits until a key under prefix changes after since, or until ctx ends, and
	// returns the changes and the revision to go on from. Of several writes to one key
	// only the last is returned. A store may end the wait early with no record and a
	// revision to go on from. Where it has no history since that revision the error is
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

// Directory is the platform's list of VMs. It lags: it is a hint to join and to
// leave, never a proof of life or death.
type Directory interface {
	VMs(ctx context.Context) ([]VM, error)
}
