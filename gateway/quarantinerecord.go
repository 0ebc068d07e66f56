package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/quarantine"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
)

const (
	// quarantineKey is the key of the list of suspected requests. It lies beside the leader record,
	// which a router that starts reads first.
	quarantineKey = leaderPrefix + "quarantine"
	// quarantineWriteInterval is the least time between two writes of the list.
	quarantineWriteInterval = time.Second
)

// quarantineRecord is the list of suspected requests that is to be written to the store.
type quarantineRecord struct {
	mu sync.Mutex
	// unwritten is nil if the store has the list.
	unwritten *quarantine.List
	// revision is the record's; zero if there is none. It is unknown after a write has failed.
	revision kv.Revision
	unknown  bool
	// leadership is the one under which the list was last written.
	leadership *leadership
	last       *quarantine.List
}

// set sets the list.
func (r *quarantineRecord) set(l *quarantine.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unwritten = l
}

// observe records the revision of the record as read by a watch.
func (r *quarantineRecord) observe(revision kv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// writeQuarantine writes the list of suspected requests during a term.
func (l *leader) writeQuarantine(t *term) {
	record := &l.g.quarantineRecord
	for duty.Sleep(t.ctx, quarantineWriteInterval) {
		if err := record.write(l, t); err != nil {
			l.g.log.Warn("list of suspected requests not written", "err", err)
		}
	}
}

// next returns what is to be written, or nil. A list is written again after the store was restored
// from an older copy; an empty one only where there is a record.
func (r *quarantineRecord) next(current *leadership) (list *quarantine.List, revision kv.Revision, unknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unwritten == nil && r.leadership != nil && r.leadership != current {
		r.unwritten, r.unknown = r.last, true
	}
	r.leadership = current
	if r.unwritten == nil || len(r.unwritten.Entries) == 0 && r.revision == 0 && !r.unknown {
		return nil, 0, false
	}
	return r.unwritten, r.revision, r.unknown
}

func (r *quarantineRecord) write(l *leader, t *term) error {
	current := t.leadership.Load()
	list, revision, unknown := r.next(current)
	if list == nil {
		return nil
	}
	store := l.g.storeFor(purposeQuarantine)
	if unknown {
		record, err := store.Get(t.ctx, quarantineKey)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		revision = record.Revision
	}
	value, err := feed.MarshalQuarantine(list, time.Now())
	if err != nil {
		return err
	}
	written, _, err := store.Commit(t.ctx, kv.Txn{
		Conditions: append(current.conditions(), kv.Condition{Key: quarantineKey, Revision: revision}),
		Puts:       []kv.Put{{Key: quarantineKey, Value: value}},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unknown = err != nil; err != nil {
		return err
	}
	r.revision, r.last = written, list
	if r.unwritten == list {
		r.unwritten = nil
	}
	return nil
}

// handleQuarantine puts a list that was read from the store in force, if it is newer.
func (cs *clusterState) handleQuarantine(r kv.Record) {
	cs.g.quarantineRecord.observe(r.Revision)
	if r.Deleted {
		return
	}
	list, err := feed.UnmarshalQuarantine(r.Value, time.Now())
	if err != nil {
		cs.g.log.Error("list of suspected requests not read", "revision", r.Revision, "err", err)
		return
	}
	cs.g.guard.Adopt(list)
}
