package retry

import "time"

// ShareConfig says how long a router's knowledge about its share holds.
//
// Any two routers that have a share must know of each other: Settle has to exceed CountTTL by the time that
// a count may lag behind the store, so that whoever has a share was counted by all others that have one.
type ShareConfig struct {
	// Settle is for how long a router's record must have been in the store before it has a share.
	Settle time.Duration
	// CountTTL is for how long a count of the routers is used.
	CountTTL time.Duration
	// Hold is for how long a higher count is used instead of a later, lower one: records that the store
	// has lost are written again within that time.
	Hold time.Duration
}

// Share decides which part of a number that all routers share one router may use. Its times are those of a
// clock that goes on during suspension.
//
// Routers that don't know of each other would use more than the whole together. A router has a share only
// while its own record is in the store, by which others count it, and while its count is recent.
type Share struct {
	cfg ShareConfig
	// recordedSince and recordedUntil are from when and until when this router's record is certainly in
	// the store; recordedUntil is zero if it may not be.
	recordedSince, recordedUntil time.Duration
	// counts are the counts of the last Hold that no later one reaches, highest first. countedAt is the
	// time of the last one.
	counts    []count
	countedAt time.Duration
}

type count struct {
	at      time.Duration
	routers int
}

// NewShare returns the share of a router that has started just now.
func NewShare(cfg ShareConfig) *Share { return &Share{cfg: cfg} }

// Recorded records that this router's record is in the store and will be until a time.
func (s *Share) Recorded(now, until time.Duration) {
	if now >= s.recordedUntil {
		s.recordedSince = now
	}
	s.recordedUntil = max(s.recordedUntil, until)
}

// Unrecorded records that this router's record may not be in the store.
func (s *Share) Unrecorded() { s.recordedUntil = 0 }

// Counted records the number of routers.
func (s *Share) Counted(now time.Duration, routers int) {
	kept := s.counts
	for len(kept) > 0 && kept[len(kept)-1].routers <= routers {
		kept = kept[:len(kept)-1]
	}
	s.counts = append(kept, count{now, routers})
	s.countedAt = now
}

// Routers returns the highest count of the last Hold, or the last one if that is older; zero if there is none.
func (s *Share) Routers(now time.Duration) int {
	for len(s.counts) > 1 && now-s.counts[0].at > s.cfg.Hold {
		s.counts = s.counts[1:]
	}
	if len(s.counts) == 0 {
		return 0
	}
	return s.counts[0].routers
}

// Fraction returns this router's part, from 0 to 1.
func (s *Share) Fraction(now time.Duration) float64 {
	routers := s.Routers(now)
	switch {
	case routers == 0 || now-s.countedAt >= s.cfg.CountTTL:
		return 0
	case now >= s.recordedUntil || now-s.recordedSince < s.cfg.Settle:
		return 0
	default:
		return 1 / float64(routers)
	}
}
