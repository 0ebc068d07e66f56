package routes

import "time"

const (
	// farAhead is how far a version must be ahead of a later one to be taken for a mistake: no operator skips so many.
	farAhead = 1 << 20
	// HoldTime is how long a later configuration with a version far below the one in force must be the newest before it
	// replaces that.
	HoldTime = 10 * time.Second
)

// Succession decides when a configuration replaces the one in force. The zero value is ready to use.
//
// A lower version is an older configuration, whoever brings it, and never replaces a higher one. Otherwise a late answer, or a
// store that was restored, would undo a change. But a version that is far too high, once written, would keep out all that an
// operator writes afterwards.
type Succession struct {
	// awaited is the lower version that may replace the one in force, and since is since when it is the newest.
	awaited uint64
	since   time.Time
}

// Decide returns whether the newest configuration replaces the one in force, nil for none; if not now, it may after the wait, unless that
// is zero.
func (s *Succession) Decide(now time.Time, inForce, newest *Config) (replaces bool, wait time.Duration) {
	if inForce == nil || newest.Version > inForce.Version {
		*s = Succession{}
		return true, 0
	}
	if inForce.Version-newest.Version < farAhead {
		*s = Succession{}
		return false, 0
	}
	if s.awaited != newest.Version || s.since.IsZero() {
		*s = Succession{awaited: newest.Version, since: now}
	}
	if wait := HoldTime - now.Sub(s.since); wait > 0 {
		return false, wait
	}
	*s = Succession{}
	return true, 0
}
