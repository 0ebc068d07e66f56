package keys

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// watchedSource is a source with a watcher and a clock that the test sets.
type watchedSource struct {
	*Source
	watcher *Watcher
	now     time.Time
	notices []Notice
}

func newWatchedSource(t *testing.T, f Files) *watchedSource {
	t.Helper()
	s := &watchedSource{now: start}
	source, err := Open(f, func() time.Time { return s.now })
	assert.NilError(t, err)
	s.Source = source
	s.watcher = &Watcher{Sources: []*Source{source}, WarnBefore: 14 * 24 * time.Hour, OnNotice: func(n Notice) { s.notices = append(s.notices, n) }}
	return s
}

// checkOnce runs one check of the watcher and returns the changes that it reported.
func (s *watchedSource) checkOnce(force bool) []Change {
	s.notices = nil
	s.watcher.check(force)
	var changes []Change
	for _, n := range s.notices {
		changes = append(changes, n.Change)
	}
	return changes
}

// replaceFileAt replaces the file by one that was written at that time. A watcher that checks
// meanwhile finds either file whole.
func replaceFileAt(t *testing.T, file, text string, at time.Time) {
	t.Helper()
	next := file + ".next"
	write(t, next, text)
	assert.NilError(t, os.Chtimes(next, at, at))
	assert.NilError(t, os.Rename(next, file))
}

// TestPairReadBetweenItsTwoWritesKeepsTheOldPair guards against a router that has no certificate,
// or a new certificate with an old key, after its files are renewed. The two files never change
// at the same moment, so the watcher may check them after the certificate is replaced and before
// the key is.
func TestPairReadBetweenItsTwoWritesKeepsTheOldPair(t *testing.T) {
	dir, other := makeFolder(t), makeFolder(t)
	f := peerFiles(dir, "r1")
	f.IssuedByCA = false
	s := newWatchedSource(t, f)
	old := s.Material()
	assert.Equal(t, len(s.checkOnce(false)), 0)

	replaceFileAt(t, f.Cert, read(t, CertFile(other, "r1")), start.Add(time.Minute))
	assert.DeepEqual(t, s.checkOnce(false), []Change{Refused})
	assert.Assert(t, s.Material() == old)
	assert.ErrorContains(t, s.Failure(), "not that of the certificate")
	// The files are loaded again at each check, but the failure is reported only once.
	assert.Equal(t, len(s.checkOnce(false)), 0)
	assert.ErrorContains(t, s.Failure(), "not that of the certificate")

	replaceFileAt(t, f.Key, read(t, KeyFile(other, "r1")), start.Add(time.Minute))
	assert.DeepEqual(t, s.checkOnce(false), []Change{Reloaded})
	assert.NilError(t, s.Failure())
	assert.Assert(t, s.Material() != old)
	assert.Equal(t, len(s.checkOnce(false)), 0)
}

func TestInvalidFileKeepsTheOldMaterialAndIsReportedOnce(t *testing.T) {
	dir := makeFolder(t)
	f := peerFiles(dir, "r1")
	s := newWatchedSource(t, f)
	old := s.Material()
	good := read(t, f.CA)
	replaceFileAt(t, f.CA, "nothing", start.Add(time.Minute))
	assert.DeepEqual(t, s.checkOnce(false), []Change{Refused})
	assert.Assert(t, s.Material() == old)
	// The result is reported for each signal, because whoever sent it waits for it.
	assert.DeepEqual(t, s.checkOnce(true), []Change{Refused})
	assert.NilError(t, os.Remove(f.CA))
	assert.DeepEqual(t, s.checkOnce(false), []Change{Refused})
	assert.Assert(t, s.Material() == old)
	replaceFileAt(t, f.CA, good, start.Add(2*time.Minute))
	assert.DeepEqual(t, s.checkOnce(false), []Change{Reloaded})
}

// TestRefusedFilesAreRetriedWithoutAChange guards against a renewed certificate that never comes
// into force because it was installed before it was valid. Refused files must be loaded again
// even if they don't change.
func TestRefusedFilesAreRetriedWithoutAChange(t *testing.T) {
	dir := makeFolder(t)
	f := Files{Table: "tls.callers", Cert: CertFile(dir, CallerCertificate), Key: KeyFile(dir, CallerCertificate), Use: Server}
	s := newWatchedSource(t, f)
	a, _, err := NewAuthority("next", start, valid)
	assert.NilError(t, err)
	pair, err := a.Issue(Subject{Name: "next", Use: Server}, start.Add(time.Hour), valid)
	assert.NilError(t, err)
	replaceFileAt(t, f.Key, string(pair.Key), start.Add(time.Minute))
	replaceFileAt(t, f.Cert, string(pair.Cert), start.Add(time.Minute))
	assert.DeepEqual(t, s.checkOnce(false), []Change{Refused})
	s.now = start.Add(time.Hour)
	assert.DeepEqual(t, s.checkOnce(false), []Change{Reloaded})
}

func TestExpiryIsReportedOncePerStep(t *testing.T) {
	s := newWatchedSource(t, peerFiles(makeFolder(t), "r1"))
	assert.Equal(t, len(s.checkOnce(false)), 0)
	s.now = start.Add(valid - 14*24*time.Hour + time.Second)
	assert.DeepEqual(t, s.checkOnce(false), []Change{ExpiresSoon})
	assert.Assert(t, s.ExpiryText() != "")
	assert.Equal(t, len(s.checkOnce(false)), 0)
	s.now = start.Add(valid + time.Second)
	assert.DeepEqual(t, s.checkOnce(false), []Change{Expired})
	assert.Equal(t, len(s.checkOnce(false)), 0)
	assert.Equal(t, DaysLeft(start.Add(valid), s.now), -1)
	assert.Equal(t, DaysLeft(start.Add(valid), start), 30)
}

// TestWatcherChecksAtTicksAndReloadsAtSignals checks that a tick reloads files that changed, and
// a signal reloads files even if none changed.
func TestWatcherChecksAtTicksAndReloadsAtSignals(t *testing.T) {
	dir := makeFolder(t)
	f := peerFiles(dir, "r1")
	source, err := Open(f, func() time.Time { return start })
	assert.NilError(t, err)
	notices := make(chan Notice, 8)
	ticks, signals := make(chan time.Time), make(chan struct{})
	w := &Watcher{Sources: []*Source{source}, OnNotice: func(n Notice) { notices <- n }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, ticks, signals)
	}()
	// Run checks once when it starts, before it receives the first tick.
	ticks <- start
	replaceFileAt(t, f.CA, read(t, f.CA)+"\n", start.Add(time.Minute))
	ticks <- start
	assert.Equal(t, nextNotice(t, notices).Change, Reloaded)
	signals <- struct{}{}
	assert.Equal(t, nextNotice(t, notices).Change, Reloaded)
	cancel()
	<-done
}

// waitLimit bounds every wait; it is far above any expected duration.
const waitLimit = 30 * time.Second

func nextNotice(t *testing.T, notices <-chan Notice) Notice {
	t.Helper()
	select {
	case n := <-notices:
		return n
	case <-time.After(waitLimit):
		t.Fatal("no notice was received")
		return Notice{}
	}
}
