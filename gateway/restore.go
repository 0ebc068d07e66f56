package gateway

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/assign"
	"tarragongw/core/keyspace"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/feed"
)

const (
	// previousLeaderHeadStart is how long after the store was restored a router does not campaign, so
	// that the previous leader can take leadership again: only that router knows for certain which
	// targets hold which keys. Its lease is lost with the restore, but it may send orders until that would have ended.
	previousLeaderHeadStart = leaderTTL
	// resumeTimeout bounds the calls that take leadership again.
	resumeTimeout = 2 * time.Second
	// termKeyPrefix is the prefix of a key that is unique to each term, see leadership.
	termKeyPrefix = leaderPrefix + "term-"
)

// leadership is what proves in the store that a router leads.
//
// A store that was restored from an older copy assigns the same revisions again. Another leader's
// record may then have the revision of this leader's record, and a late write of this leader could
// pass for one of the other leader. Therefore a key that is unique to the term is written together with
// the record. In another era it exists only if the copy contains this very term.
type leadership struct {
	revision kv.Revision
	lease    kv.LeaseID
	// ttl is how long the store keeps the lease after a renewal.
	ttl time.Duration
	// key is unique to the term; empty for a store that doesn't count its eras.
	key string
	// previous is the term's leadership before the store was restored; nil for the first one.
	previous *leadership
}

// conditions returns conditions that hold as long as the leadership does.
func (l *leadership) conditions() []kv.Condition {
	all := []kv.Condition{{Key: leaderKey, Revision: l.revision}}
	if l.key != "" {
		all = append(all, kv.Condition{Key: l.key, Revision: l.revision})
	}
	return all
}

// takeLeadership takes leadership if the leader record has the given revision; zero means that there
// must be no record.
func (l *leader) takeLeadership(ctx context.Context, revision kv.Revision) (*leadership, error) {
	store := l.g.storeFor(purposeLead)
	lease, ttl, err := store.NewLease(ctx, max(leaderTTL, l.g.opts.LeaseMin))
	if err != nil {
		return nil, err
	}
	acquired := &leadership{lease: lease, ttl: ttl}
	puts := []kv.Put{{Key: leaderKey, Value: []byte(l.g.opts.Name + leaderSeparator + l.g.opts.PeerAddress), Lease: lease}}
	if _, counts := store.Era(); counts {
		acquired.key = termKeyPrefix + rand.Text()
		puts = append(puts, kv.Put{Key: acquired.key, Lease: lease, Value: []byte{}})
	}
	acquired.revision, _, err = store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{{Key: leaderKey, Revision: revision}}, Puts: puts})
	if err != nil {
		return nil, err
	}
	return acquired, nil
}

// termResumed reports the result of an attempt to resume a term.
type termResumed struct {
	term       *term
	leadership *leadership
	// tables are the revisions of the services' key tables; zero if there is none.
	tables map[string]kv.Revision
	sent   time.Duration
	err    error
}

// resumeTerm takes leadership again after the store has lost it, together with everything else that
// was written since the copy it was restored from. The assignments continue: whatever the orders were
// based on was in the store when they were sent.
//
// That holds only while the lease can't have expired. After that, another router may have led
// and moved keys, before or after the restore, and the store may have lost that too.
func (l *leader) resumeTerm() {
	if l.resuming {
		return
	}
	t := l.term
	if age := t.leaseAge(l.g.opts.Clock.Now()); age >= t.leadership.Load().ttl {
		l.g.log.Warn("leadership not kept in the restored store", "lease_age", age)
		l.endTerm("the lease may have ended before the store was restored")
		l.observed.present = false
		return
	}
	l.resuming = true
	services := make([]string, 0, len(t.services))
	for name := range t.services {
		services = append(services, name)
	}
	l.g.workers.Run(func() {
		ctx, cancel := context.WithTimeout(t.ctx, resumeTimeout)
		defer cancel()
		m := &termResumed{term: t, sent: l.g.opts.Clock.Now(), tables: map[string]kv.Revision{}}
		m.leadership, m.err = l.retakeLeadership(ctx)
		for i := 0; i < len(services) && m.err == nil; i++ {
			m.tables[services[i]], m.err = l.tableRevision(ctx, services[i])
		}
		l.duty.Tell(m)
	})
}

// retakeLeadership takes leadership if there is no leader record, or if the restored record is this
// router's own.
func (l *leader) retakeLeadership(ctx context.Context) (*leadership, error) {
	found, err := l.g.storeFor(purposeLead).Get(ctx, leaderKey)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return l.takeLeadership(ctx, 0)
	case err != nil:
		return nil, err
	}
	if name, _, _ := strings.Cut(string(found.Value), leaderSeparator); name != l.g.opts.Name {
		return nil, errOtherLeader
	}
	return l.takeLeadership(ctx, found.Revision)
}

// tableRevision returns the revision of a service's key table. It returns errOtherLeader if another
// leader has written the table since the restore.
func (l *leader) tableRevision(ctx context.Context, service string) (kv.Revision, error) {
	r, err := l.g.storeFor(purposeKeys).Get(ctx, tablePrefix+service)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	t, err := decodeTable(r.Value)
	if err == nil && kv.Era(t.Era) == r.Revision.Era() {
		err = errOtherLeader
	}
	return r.Revision, err
}

// finishResume continues the term with the leadership that was taken again. After a failure the next
// attempt comes with the next lease renewal, as in an outage.
func (l *leader) finishResume(m *termResumed) {
	l.resuming = false
	if m.term != l.term {
		return
	}
	switch {
	case errors.Is(m.err, errOtherLeader), errors.Is(m.err, kv.ErrConflict):
		l.endTerm("the store was restored, and another leads or has led")
		return
	case m.err != nil:
		l.g.log.Warn("leadership not taken again", "err", m.err)
		return
	}
	m.leadership.previous = l.term.leadership.Load()
	l.term.leadership.Store(m.leadership)
	l.term.renewedAt.Store(int64(m.sent))
	l.observed = leaderStatus{name: l.g.opts.Name, address: l.g.opts.PeerAddress, revision: m.leadership.revision, present: true}
	for name, assignment := range l.term.services {
		if assignment.assigner == nil { // its key table is being read
			continue
		}
		assignment.revision = m.tables[name]
		assignment.assigner.StoreRestored(uint32(m.leadership.revision.Era()))
	}
	l.g.log.Info("leadership kept in the restored store", "revision", m.leadership.revision, "era", m.leadership.revision.Era(),
		"before", m.leadership.previous.revision, "services", len(l.term.services))
}

// newestTable returns the newest known key table: the one in the store or, if the store has lost a newer
// one, the one that this router received from a leader. It sets the era in the configuration, and
// whether the last writes of the table may be lost.
func (l *leader) newestTable(m *tableRead, cfg *assign.Config) *keyspace.Table {
	era := m.term.revision().Era()
	cfg.Era = uint32(era)
	newest, source := m.table, "store"
	if received, ok := l.g.receivedTable(m.service); ok && era > 0 {
		if newest == nil || received.Revision > uint64(tableVersion(newest, m.revision)) {
			newest, source = received.Table.Clone(), "feed"
			newest.LongestTTL = cfg.OutageGrantTTL // the feed doesn't say
		}
	}
	cfg.TableOutdated = newest != nil && newest.Era < uint32(era) || newest == nil && l.g.restoredSince(l.g.subscription.started)
	if cfg.TableOutdated {
		l.g.log.Warn("key table may lack its last changes", "service", m.service, "from", source, "era", era)
	}
	return newest
}

// tableVersion orders the key tables of one service across eras: by the era in which a table was
// written, then by the revision of its record. The era in the given revision is not used; it is the
// one in which the record was read.
func tableVersion(t *keyspace.Table, revision kv.Revision) kv.Revision {
	return kv.RevisionAt(kv.Era(t.Era), revision.Number())
}

// receivedTable returns the newest key table of a service that this router knows.
func (g *Gateway) receivedTable(service string) (feed.Table, bool) {
	t, ok := g.tables.Load(service)
	if !ok {
		return feed.Table{}, false
	}
	return t.(feed.Table), true
}

// waitForPreviousLeader waits for previousLeaderHeadStart after the store was restored. A router that
// has started since the restore can't have seen it, but finds key tables that were written in an
// earlier era.
func (l *leader) waitForPreviousLeader(ctx context.Context) {
	since := l.g.eraFirstSeen()
	if l.g.restoredSince(time.Now().Add(-previousLeaderHeadStart)) || l.g.era() > 0 && l.outdatedTables(ctx) {
		duty.Sleep(ctx, previousLeaderHeadStart-time.Since(since))
	}
}

// outdatedTables reports whether the store has key tables of an earlier era.
func (l *leader) outdatedTables(ctx context.Context) bool {
	records, _, err := l.g.storeFor(purposeLead).List(ctx, tablePrefix)
	if err != nil {
		return false // the campaign fails too
	}
	for _, r := range records {
		if t, err := decodeTable(r.Value); err == nil && t.Era < uint32(r.Revision.Era()) {
			return true
		}
	}
	return false
}
