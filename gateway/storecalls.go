package gateway

import (
	"context"
	"log/slog"
	"time"

	"tarragongw/kv"
)

// The purposes of store calls; part of the label kind of the metric store_calls_total.
const (
	purposeLead       = "lead"
	purposeKeys       = "keys"
	purposeConfig     = "config"
	purposeTargets    = "targets"
	purposeRouters    = "routers"
	purposeOwnRecord  = "own_record"
	purposeQuarantine = "quarantine"
)

// storeFor returns the store, with its calls counted under the purpose.
func (g *Gateway) storeFor(purpose string) kv.TxnStore {
	if g.opts.Telemetry == nil {
		return g.opts.Store
	}
	return &countedStore{store: g.opts.Store, observer: g.opts.Telemetry, log: g.log, purpose: purpose}
}

// purposeOf returns the purpose of a watch of the prefix.
func (g *Gateway) purposeOf(prefix string) string {
	switch prefix {
	case leaderPrefix:
		return purposeLead
	case routerPrefix:
		return purposeRouters
	case tablePrefix:
		return purposeKeys
	case g.opts.Adapter.TargetPrefix:
		return purposeTargets
	default:
		return purposeConfig
	}
}

// lateStoreCall is how long a call of the store that doesn't wait for changes may take before it is logged.
const lateStoreCall = 500 * time.Millisecond

// countedStore counts the calls to a store, and logs the late ones.
type countedStore struct {
	store    kv.TxnStore
	observer kv.Observer
	log      *slog.Logger
	purpose  string
}

var _ kv.TxnStore = (*countedStore)(nil)

func (s *countedStore) count(call string, began time.Time, err error) {
	took := time.Since(began)
	s.observer.StoreCall(call+"_"+s.purpose, kv.Code(err), took)
	if call != "watch" && took >= lateStoreCall {
		s.log.Warn("late store call", "call", call, "for", s.purpose, "took", took, "err", err)
	}
}

// Era implements kv.TxnStore.
func (s *countedStore) Era() (kv.Era, bool) { return s.store.Era() }

// Get implements kv.TxnStore.
func (s *countedStore) Get(ctx context.Context, key string) (kv.Record, error) {
	began := time.Now()
	r, err := s.store.Get(ctx, key)
	s.count("get", began, err)
	return r, err
}

// List implements kv.TxnStore.
func (s *countedStore) List(ctx context.Context, prefix string) ([]kv.Record, kv.Revision, error) {
	began := time.Now()
	records, at, err := s.store.List(ctx, prefix)
	s.count("list", began, err)
	return records, at, err
}

// Watch implements kv.TxnStore.
func (s *countedStore) Watch(ctx context.Context, prefix string, since kv.Revision, wait time.Duration) ([]kv.Record, kv.Revision, error) {
	began := time.Now()
	records, at, err := s.store.Watch(ctx, prefix, since, wait)
	s.count("watch", began, err)
	return records, at, err
}

// Commit implements kv.TxnStore.
func (s *countedStore) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, []kv.Record, error) {
	began := time.Now()
	revision, conflict, err := s.store.Commit(ctx, txn)
	s.count("commit", began, err)
	return revision, conflict, err
}

// NewLease implements kv.TxnStore.
func (s *countedStore) NewLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	began := time.Now()
	id, granted, err := s.store.NewLease(ctx, ttl)
	s.count("lease", began, err)
	return id, granted, err
}

// RenewLease implements kv.TxnStore.
func (s *countedStore) RenewLease(ctx context.Context, id kv.LeaseID) error {
	began := time.Now()
	err := s.store.RenewLease(ctx, id)
	s.count("renew", began, err)
	return err
}

// EndLease implements kv.TxnStore.
func (s *countedStore) EndLease(ctx context.Context, id kv.LeaseID) error {
	began := time.Now()
	err := s.store.EndLease(ctx, id)
	s.count("release", began, err)
	return err
}
