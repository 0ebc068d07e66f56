// Package standin is an in-memory stand-in for the platform: the key-value
// store and the list of VMs. It can inject the faults that the platform is known
// to have. It is used by the dev command and by tests and stores nothing on disk.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"tarragongw/kv"
)

// Config holds the settings of a stand-in.
type Config struct {
	// MaxValue is the largest size of a value in bytes. Default: kv.MaxValue.
	MaxValue int
	// History is the number of changes that are kept for watches. Default: 4096.
	History int
	// Now is the clock for the expiry of leases. Default: time.Now.
	Now func() time.Time
	// Sleep waits for d or until ctx ends; it implements the delay of a slow store.
	// Default: a timer.
	Sleep func(ctx context.Context, d time.Duration) error
}

const defaultHistory = 4096

// change is one entry of the history; the value is in the current record of the key.
type change struct {
	revision kv.Revision
	key      string
}

// Platform is the state of the stand-in, which all its clients share.
type Platform struct {
	cfg Config

	mu       sync.Mutex
	revision kv.Revision
	records  map[string]kv.Record
	// history has the last changes in order of revision; older ones have been dropped, up to
	// the revision compacted.
	history   []change
	compacted kv.Revision
	leases    map[string]leaseState
	leaseID   uint64
	vms       []kv.VM
	// changed is closed and replaced whenever pending watches must check for changes.
	changed chan struct{}
	faults  faults
	calls   map[kv.CallKind]uint64
}

// New returns an empty stand-in without faults.
func New(cfg Config) *Platform {
	if cfg.MaxValue <= 0 {
		cfg.MaxValue = kv.MaxValue
	}
	if cfg.History <= 0 {
		cfg.History = defaultHistory
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleep
	}
	return &Platform{
		cfg:     cfg,
		records: make(map[string]kv.Record),
		leases:  make(map[string]leaseState),
		changed: make(chan struct{}),
		faults:  newFaults(),
		calls:   make(map[kv.CallKind]uint64),
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Calls returns the number of calls of each kind so far, including refused ones.
func (p *Platform) Calls() map[kv.CallKind]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[kv.CallKind]uint64, len(p.calls))
	for kind, n := range p.calls {
		counts[kind] = n
	}
	return counts
}

// Revision returns the store's revision.
func (p *Platform) Revision() kv.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// SetVMs replaces the list of VMs. While the list is stale, clients still
// see the list from before SetStaleVMs.
func (p *Platform) SetVMs(vms []kv.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append([]kv.VM(nil), vms...)
}

// wakeLocked makes all pending watches check for changes.
func (p *Platform) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// getLocked returns the current record of the key.
func (p *Platform) getLocked(key string) (kv.Record, error) {
	record, ok := p.records[key]
	if !ok {
		return kv.Record{}, kv.ErrNotFound
	}
	return clone(record), nil
}

func (p *Platform) listLocked(prefix string) []kv.Record {
	var records []kv.Record
	for key, record := range p.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, clone(record))
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

func (p *Platform) casLocked(key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	if key == "" {
		return 0, kv.ErrInvalid
	}
	if len(value) > p.cfg.MaxValue {
		return 0, kv.ErrTooLarge
	}
	if p.records[key].Revision != expect {
		return 0, kv.ErrConflict
	}
	p.revision++
	p.records[key] = clone(kv.Record{Key: key, Value: value, Revision: p.revision})
	p.appendLocked(change{revision: p.revision, key: key})
	p.wakeLocked()
	return p.revision, nil
}

// appendLocked adds a change to the history and drops the oldest one if it is full.
func (p *Platform) appendLocked(c change) {
	if len(p.history) == p.cfg.History {
		p.compacted = p.history[0].revision
		p.history = p.history[1:]
	}
	p.history = append(p.history, c)
}

// Compact drops all history, so that watches from an older revision must list again.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted = p.revision
	p.history = nil
	p.wakeLocked()
}

// changesLocked returns the records under prefix that changed after since, each
// key once, in order of revision.
func (p *Platform) changesLocked(prefix string, since kv.Revision) ([]kv.Record, error) {
	// A revision above the store's own comes from an earlier instance of the store. It is
	// refused too, because waiting for it would look like a prefix without changes.
	if since < p.compacted || since > p.revision {
		return nil, kv.ErrCompacted
	}
	first := sort.Search(len(p.history), func(i int) bool { return p.history[i].revision > since })
	var records []kv.Record
	for _, c := range p.history[first:] {
		current := p.records[c.key]
		if strings.HasPrefix(c.key, prefix) && current.Revision == c.revision {
			records = append(records, clone(current))
		}
	}
	return records, nil
}

// clone copies a record, so that callers and the store do not share the bytes of its value.
func clone(r kv.Record) kv.Record {
	r.Value = append([]byte(nil), r.Value...)
	return r
}
