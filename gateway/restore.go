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
	// headStart is how long after it has seen the store restored a router leaves the lead to
	// the one that had it: that one alone knows for certain who holds which keys.
	headStart = time.Second
	// resumeTimeout bounds the calls by which the lead is taken again.
	resumeTimeout = 2 * time.Second
	// termPrefix is that of a key of each term's own, see lead.
	termPrefix = leaderPrefix + "term-"
)

// lead is what a term rests on in the store.
//
// A store that comes back from an older copy gives revisions out again, so that another leader's
// record may have the revision of this one's, and a write that is carried out late may be
// taken for that one's. The key of the term's own is written with the record; in another era
// it is there only if the copy has this very term.
type lead struct {
	revision kv.Revision
	lease    kv.LeaseID
	// key is empty for a store that doesn't count its eras.
	key string
	// before is what the term rested on before the store was restored; nil for the first.
	before *lead
}

// conditions hold as long as the lead does.
func (l *lead) conditions() []kv.Condition {
	all := []kv.Condition{{Key: leaderKey, Revision: l.revision}}
	if l.key != "" {
		all = append(all, kv.Condition{Key: l.key, Revision: l.revision})
	}
	return all
}

// take takes the lead, where the leader's record is at the revision; zero where there is none.
func (l *leader) take(ctx context.Context, revision kv.Revision) (*lead, error) {
	store := l.g.storeFor(forLead)
	lease, _, err := store.NewLease(ctx, l.leaseTTL())
	if err != nil {
		return nil, err
	}
	taken := &lead{lease: lease}
	puts := []kv.Put{{Key: leaderKey, Value: []byte(l.g.opts.Name + leaderSeparator + l.g.opts.PeerAddress), Lease: lease}}
	if _, counts := store.Era(); counts {
		taken.key = termPrefix + rand.Text()
		puts = append(puts, kv.Put{Key: taken.key, Lease: lease, Value: []byte{}})
	}
	taken.revision, _, err = store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{{Key: leaderKey, Revision: revision}}, Puts: puts})
	if err != nil {
		return nil, err
	}
	return taken, nil
}

// leaseTTL is how long the leader's lease lasts.
func (l *leader) leaseTTL() time.Duration { return max(leaderTTL, l.g.opts.LeaseMin) }

// termResumed tells how resuming a term ended.
type termResumed struct {
	term *term
	lead *lead
	// tables are the revisions of the services' tables, zero where there is none.
	tables map[string]kv.Revision
	sent   time.Duration
	err    error
}

// resumeTerm takes the lead again, because the store has lost it with all that was written since
// an older copy. The assignments go on: what they rest on was in the store when it was ordered.
//
// That holds only while the lease can't have lapsed by itself. Later another router may have led
// and moved keys, before the restore as after it, and the store may have lost that too.
func (l *leader) resumeTerm() {
	if l.resuming {
		return
	}
	t := l.term
	if age := t.age(l.g.opts.Clock.Now()); age >= l.leaseTTL() {
		l.g.log.Warn("leadership not kept in the restored store", "lease_age", age)
		l.endTerm("the lease may have ended before the store was restored")
		l.seen.present = false
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
		m.lead, m.err = l.retake(ctx)
		for i := 0; i < len(services) && m.err == nil; i++ {
			m.tables[services[i]], m.err = l.tableRevision(ctx, services[i])
		}
		l.duty.Tell(m)
	})
}

// retake takes the lead from nobody, or from this router itself where the copy has its
// record.
func (l *leader) retake(ctx context.Context) (*lead, error) {
	found, err := l.g.storeFor(forLead).Get(ctx, leaderKey)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return l.take(ctx, 0)
	case err != nil:
		return nil, err
	}
	if name, _, _ := strings.Cut(string(found.Value), leaderSeparator); name != l.g.opts.Name {
		return nil, errLed
	}
	return l.take(ctx, found.Revision)
}

// tableRevision returns the revision of a service's table, which no other leader may have written
// since the restore.
func (l *leader) tableRevision(ctx context.Context, service string) (kv.Revision, error) {
	r, err := l.g.storeFor(forKeys).Get(ctx, tablePrefix+service)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	t, err := decodeTable(r.Value)
	if err == nil && kv.Era(t.Era) == r.Revision.Era() {
		err = errLed
	}
	return r.Revision, err
}

// finishResume has the term rest on the lead that was taken again. A try that failed is made
// again with the next renewal, as in an outage.
func (l *leader) finishResume(m *termResumed) {
	l.resuming = false
	if m.term != l.term {
		return
	}
	switch {
	case errors.Is(m.err, errLed), errors.Is(m.err, kv.ErrConflict):
		l.endTerm("the store was restored, and another leads or has led")
		return
	case m.err != nil:
		l.g.log.Warn("lead not taken again", "err", m.err)
		return
	}
	m.lead.before = l.term.lead.Load()
	l.term.lead.Store(m.lead)
	l.term.renewedAt.Store(int64(m.sent))
	l.seen = leaderSeen{name: l.g.opts.Name, address: l.g.opts.PeerAddress, revision: m.lead.revision, present: true}
	for name, p := range l.term.services {
		if p.assigner == nil { // its division is being read
			continue
		}
		p.revision = m.tables[name]
		p.assigner.Restored(uint32(m.lead.revision.Era()))
	}
	l.g.log.Info("leadership kept in the restored store", "revision", m.lead.revision, "era", m.lead.revision.Era(),
		"before", m.lead.before.revision, "services", len(l.term.services))
}

// newestTable returns the newest division that is known: the store's, or one that this router
// was sent, where the store has lost that. It sets the configuration for a division whose
// last writes may be lost.
func (l *leader) newestTable(m *tableRead, cfg *assign.Config) *keyspace.Table {
	era := m.term.revision().Era()
	cfg.Era = uint32(era)
	newest, source := m.table, "store"
	if sent, ok := l.g.sentTable(m.service); ok && era > 0 {
		if newest == nil || sent.Revision > uint64(tableVersion(newest, m.revision)) {
			newest, source = sent.Table, "feed"
		}
	}
	cfg.Outdated = newest != nil && newest.Era < uint32(era) || newest == nil && l.g.restoredSince(l.g.subscription.started)
	if cfg.Outdated {
		l.g.log.Warn("division of keys may lack its last changes", "service", m.service, "from", source, "era", era)
	}
	return newest
}

// tableVersion orders the divisions of one service over all eras: by the era in which they were
// written, and by their record's revision in it. The record's own era is that in which it
// was read.
func tableVersion(t *keyspace.Table, revision kv.Revision) kv.Revision {
	return kv.RevisionAt(kv.Era(t.Era), revision.Number())
}

// sentTable is the newest division of a service's keys that this router knows of.
func (g *Gateway) sentTable(service string) (feed.Table, bool) {
	t, ok := g.tables.Load(service)
	if !ok {
		return feed.Table{}, false
	}
	return t.(feed.Table), true
}

// leaveHeadStart waits while the lead is left to the router that had it before the store was
// restored. A router that has started since can't have seen that, but finds divisions of keys
// that were written in an earlier era.
func (l *leader) leaveHeadStart(ctx context.Context) {
	since := l.g.eraSeen()
	if l.g.restoredSince(time.Now().Add(-headStart)) || l.g.era() > 0 && l.outdatedTables(ctx) {
		duty.Sleep(ctx, headStart-time.Since(since))
	}
}

// outdatedTables reports whether the store has divisions of keys of an earlier era.
func (l *leader) outdatedTables(ctx context.Context) bool {
	records, _, err := l.g.storeFor(forLead).List(ctx, tablePrefix)
	if err != nil {
		return false // nor can the lead be asked for
	}
	for _, r := range records {
		if t, err := decodeTable(r.Value); err == nil && t.Era < uint32(r.Revision.Era()) {
			return true
		}
	}
	return false
}
