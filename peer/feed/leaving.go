package feed

import (
	"time"

	"tarragongw/core/keyspace"
	"tarragongw/peer/feedpb"
)

// LeavingTarget is an instance of a target that has stated in an answer that it leaves. At is since when that is known, by the
// clock of the router that has it; at another one it is later by the time that it was on its way.
type LeavingTarget struct {
	Holder keyspace.Holder
	At     time.Time
}

// LeavingTargets are all that the leader knows of.
type LeavingTargets struct{ Targets []LeavingTarget }

func encodeLeaving(all []LeavingTarget, now time.Time) []*feedpb.LeavingTarget {
	encoded := make([]*feedpb.LeavingTarget, 0, len(all))
	for i := range all {
		h := &all[i].Holder
		encoded = append(encoded, &feedpb.LeavingTarget{
			Instance: &feedpb.Instance{Target: h.Target, Born: h.StartUnixMilli}, StatedMsAgo: millisBetween(all[i].At, now),
		})
	}
	return encoded
}

func decodeLeaving(encoded []*feedpb.LeavingTarget, now time.Time) []LeavingTarget {
	var all []LeavingTarget
	for _, t := range encoded {
		all = append(all, LeavingTarget{
			Holder: keyspace.Holder{Target: t.GetInstance().GetTarget(), StartUnixMilli: t.GetInstance().GetBorn()},
			At:     now.Add(-time.Duration(min(t.GetStatedMsAgo(), maxStatedMsAgo)) * time.Millisecond),
		})
	}
	return all
}

// maxStatedMsAgo bounds the ages that are read, to keep them within the range of durations: an hour, in milliseconds.
const maxStatedMsAgo = 3_600_000
