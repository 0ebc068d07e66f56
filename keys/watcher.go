package keys

import (
	"context"
	"fmt"
	"time"
)

// Change is the kind of a Notice.
type Change int

// The changes.
const (
	// Reloaded means that new files are in force.
	Reloaded Change = iota
	// Refused means that new files can't be put in force; the old material stays.
	Refused
	// ExpiresSoon means that a certificate in force expires within Watcher.WarnBefore.
	ExpiresSoon
	// Expired means that a certificate in force has expired.
	Expired
	// ListOverdue means that a revocation list should have been replaced by a newer one.
	ListOverdue
	// Revoked means that the source's own certificate is revoked.
	Revoked
)

// Notice reports a change of one source.
type Notice struct {
	Source *Source
	Change Change
	// Cause describes the change in plain text for operators.
	Cause string
}

// expiryState says how close the certificates of a source are to their expiry.
type expiryState int

const (
	notExpiring expiryState = iota
	expiresSoon
	expired
)

// Watcher reloads sources and reports when their certificates expire.
type Watcher struct {
	Sources []*Source
	// WarnBefore is how long before its expiry a certificate is reported.
	WarnBefore time.Duration
	// OnNotice is called with each notice, by one goroutine at a time.
	OnNotice func(Notice)
}

// Run checks the files at once and at each tick, and reloads those that changed. At each signal
// it reloads all files. It returns when ctx ends.
func (w *Watcher) Run(ctx context.Context, ticks <-chan time.Time, signals <-chan struct{}) {
	w.check(false)
	for {
		select {
		case <-ticks:
			w.check(false)
		case <-signals:
			w.check(true)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) check(force bool) {
	for _, s := range w.Sources {
		report, err := s.reload(force)
		switch {
		case !report:
		case err != nil:
			w.OnNotice(Notice{s, Refused, err.Error()})
		default:
			w.OnNotice(Notice{s, Reloaded, reloadCause(s.Material())})
			if err := s.Material().OwnRevoked(); err != nil {
				w.OnNotice(Notice{s, Revoked, err.Error()})
			}
		}
		w.checkExpiry(s)
		w.checkLists(s)
	}
}

func reloadCause(m *Material) string {
	const cause = "the files changed, or a signal requested a reload"
	if lists := m.DescribeRevocationLists(); lists != "" {
		return cause + "; " + lists
	}
	return cause
}

// checkLists reports each overdue revocation list once.
func (w *Watcher) checkLists(s *Source) {
	overdue := s.Material().Overdue(s.now())
	s.mu.Lock()
	isNew := overdue != "" && overdue != s.overdue
	s.overdue = overdue
	s.mu.Unlock()
	if isNew {
		w.OnNotice(Notice{s, ListOverdue, overdue})
	}
}

// checkExpiry reports once that a certificate expires soon, and once that it has expired.
func (w *Watcher) checkExpiry(s *Source) {
	state := s.expiryState(w.WarnBefore)
	s.mu.Lock()
	isNew := state > s.warnedExpiry
	s.warnedExpiry = max(s.warnedExpiry, state)
	s.mu.Unlock()
	if !isNew {
		return
	}
	change := ExpiresSoon
	if state == expired {
		change = Expired
	}
	w.OnNotice(Notice{s, change, s.ExpiryText()})
}

func (s *Source) expiryState(before time.Duration) expiryState {
	left := s.TimeLeft()
	switch {
	case left <= 0:
		return expired
	case left < before:
		return expiresSoon
	default:
		return notExpiring
	}
}

// TimeLeft returns the time until the first certificate in force expires; negative afterwards.
func (s *Source) TimeLeft() time.Duration {
	ends, _ := s.Material().Expiry()
	return ends.Sub(s.now())
}

// ExpiryText says which file's certificate expires first, and when.
func (s *Source) ExpiryText() string {
	ends, file := s.Material().Expiry()
	return fmt.Sprintf("the certificate in %s ends at %s, %d days left", file, ends.UTC().Format(time.RFC3339), DaysLeft(ends, s.now()))
}

// DaysLeft returns the whole days until ends. After it the result is negative, and a day that
// has begun counts as a whole one.
func DaysLeft(ends, now time.Time) int {
	const day = 24 * time.Hour
	left := ends.Sub(now)
	if left < 0 {
		return -int((-left + day - 1) / day)
	}
	return int(left / day)
}
