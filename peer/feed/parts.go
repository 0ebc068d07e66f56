package feed

import (
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/feedpb"
)

// Part is a kind of what a leader sends to its followers or gets from them.
type Part uint8

// Parts of the feed.
const (
	PartTables Part = iota
	PartTargets
	PartServiceTimes
	PartLimits
	PartConfig
	PartRelays
	PartOther
	PartHeartbeat
	// PartReports is what followers send.
	PartReports
	Parts
)

// String returns the name used in logs and metrics.
func (p Part) String() string {
	return [...]string{"tables", "targets", "service_times", "limits", "config", "relays", "other", "heartbeat", "reports"}[p]
}

// partSizes has bytes by part.
type partSizes [Parts]int

// sizesOf returns the bytes of each part of an update that were encoded in this many bytes, compressed or not.
func sizesOf(u *feedpb.Update, encoded int) *partSizes {
	sizes := &partSizes{}
	for _, t := range u.GetTables() {
		sizes[PartTables] += proto.Size(t)
	}
	for _, t := range u.GetTargets() {
		sizes[PartTargets] += proto.Size(t)
	}
	for _, t := range u.GetServiceTimes() {
		sizes[PartServiceTimes] += proto.Size(t)
	}
	for _, l := range u.GetLimits() {
		sizes[PartLimits] += proto.Size(l)
	}
	sizes[PartConfig] = len(u.GetConfigValue())
	if u.GetRelays() != nil {
		sizes[PartRelays] = proto.Size(u.GetRelays())
	}
	sum := 0
	for _, n := range sizes {
		sum += n
	}
	whole := max(proto.Size(u), 1)
	sizes[PartOther] = max(whole-sum, 0)
	for i := range sizes {
		sizes[i] = sizes[i] * encoded / whole
	}
	return sizes
}
