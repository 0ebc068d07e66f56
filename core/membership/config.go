package membership

import "time"

// Config holds the times, counts and shares of the protocol. Unless stated otherwise, times
// are measured from the last sign of life of the member in question.
type Config struct {
	// Tick is the shortest interval at which the shell sends Tick events; see Wake.
	Tick time.Duration
	// Heartbeat is the interval of heartbeats to each observer.
	Heartbeat time.Duration
	// Observers is the number of routers that observe each router.
	Observers int
	// ProbeAfter is the silence after which an observer pings the member directly, and
	// ProbeEvery the interval between these pings.
	ProbeAfter time.Duration
	ProbeEvery time.Duration
	// IndirectProbeAfter is the silence after which Helpers other routers are asked to ping
	// the member; each of them tries for IndirectProbeTimeout before it reports that there
	// was no answer.
	IndirectProbeAfter   time.Duration
	Helpers              int
	IndirectProbeTimeout time.Duration
	// SuspectAfter is the silence after which the member becomes suspect.
	SuspectAfter time.Duration
	// LostAfter is the silence after which the member is declared lost.
	LostAfter time.Duration
	// Confirmations is the number of other routers that must confirm the silence before the
	// member is declared lost.
	Confirmations int
	// SuspicionExpiry is the time after which a suspicion ends if no verdict followed.
	SuspicionExpiry time.Duration
	// LostShare, from 0 to 1, is the cap on the share of the data centre's members that can
	// be silent at once and still be declared lost; above it, silent members become
	// isolated. Losses within LostWindow count together.
	LostShare  float64
	LostWindow time.Duration
	// MassSilenceShare, from 0 to 1, is the share of silent members from which a verdict
	// waits for one more heartbeat interval, so that all silent members are counted first.
	MassSilenceShare float64
	// NeverHeardGrace is the time after a member was first known for which it does not
	// count towards the cap, as long as it was never heard itself.
	NeverHeardGrace time.Duration
	// SmallFleet is the number of members up to which any strict minority may be declared
	// lost.
	SmallFleet int
	// SuspensionGap is the gap between ticks from which the router concludes that it was
	// suspended. SettleTime is the longest time after a suspension, and the time after a
	// regained connection, for which it reaches no verdict.
	SuspensionGap time.Duration
	SettleTime    time.Duration
	// MaxHealthScore is the maximum of the local health score. Each point extends LostAfter
	// by HealthStep, and one point is removed after each HealthDecay of regular ticks.
	MaxHealthScore int
	HealthStep     time.Duration
	HealthDecay    time.Duration
	// CutOffAfter is the silence of the whole data centre after which this router concludes
	// that it is cut off.
	CutOffAfter time.Duration
	// ExternalContactAge is how long a response from outside the data centre's routers
	// counts as evidence that this router is not cut off, where there is no third router to
	// ask.
	ExternalContactAge time.Duration
	// NoPeersAfter is the time after the start from which a router that has heard no other
	// router of its data centre, although the platform or other data centres respond, may
	// declare the members lost that it knows only from others.
	NoPeersAfter time.Duration
	// PushFanout is the number of routers to which a change is pushed at once.
	PushFanout int
	// Retransmit is the number of heartbeat rounds in which a change is repeated.
	Retransmit int
	// MaxUpdates limits the changes in one message, and MaxQueued the changes that wait to
	// be sent.
	MaxUpdates int
	MaxQueued  int
	// ListChunk limits the members in one List message.
	ListChunk int
	// SyncEvery is the interval of the digest exchange with a random router of the data
	// centre. A digest is compared only after it has been unchanged for DigestSettleTime.
	SyncEvery        time.Duration
	DigestSettleTime time.Duration
	// HealEvery is the interval at which one member that is not alive is pinged.
	HealEvery time.Duration
	// Representatives is the number of routers that represent a data centre, and
	// SummaryEvery the interval of their digests to each other data centre.
	Representatives int
	SummaryEvery    time.Duration
	// FullSummary is the number of summaries of which one covers all data centres.
	FullSummary int
	// RemoteTimeout is the silence after which another data centre counts as cut off.
	RemoteTimeout time.Duration
	// RetainEnded is how long a lost or left member is kept. It must exceed the time after
	// which a router may return with an old view.
	RetainEnded time.Duration
	// DelistedAfter is the silence after which an isolated member that is no longer on the
	// platform's VM list is declared lost.
	DelistedAfter time.Duration
	// MaxMembers limits the number of members in the view.
	MaxMembers int
}

// DefaultConfig returns the default configuration. The times depend on each other: a router
// that was suspended for 200 ms just before a heartbeat was due is silent for 300 ms and
// must not be declared lost, and a dead router must be declared lost within 350 ms.
func DefaultConfig() Config {
	return Config{
		Tick:                 10 * time.Millisecond,
		Heartbeat:            100 * time.Millisecond,
		Observers:            3,
		ProbeAfter:           120 * time.Millisecond,
		ProbeEvery:           30 * time.Millisecond,
		IndirectProbeAfter:   180 * time.Millisecond,
		Helpers:              4,
		IndirectProbeTimeout: 80 * time.Millisecond,
		SuspectAfter:         290 * time.Millisecond,
		LostAfter:            330 * time.Millisecond,
		Confirmations:        1,
		SuspicionExpiry:      2 * time.Second,
		LostShare:            0.3,
		LostWindow:           10 * time.Second,
		MassSilenceShare:     0.05,
		NeverHeardGrace:      2 * time.Second,
		SmallFleet:           8,
		SuspensionGap:        60 * time.Millisecond,
		SettleTime:           time.Second,
		MaxHealthScore:       8,
		HealthStep:           50 * time.Millisecond,
		HealthDecay:          time.Second,
		CutOffAfter:          500 * time.Millisecond,
		ExternalContactAge:   2 * time.Second,
		NoPeersAfter:         3 * time.Second,
		PushFanout:           4,
		Retransmit:           2,
		MaxUpdates:           64,
		MaxQueued:            1024,
		ListChunk:            256,
		SyncEvery:            5 * time.Second,
		DigestSettleTime:     time.Second,
		HealEvery:            time.Second,
		Representatives:      2,
		SummaryEvery:         2 * time.Second,
		FullSummary:          5,
		RemoteTimeout:        9 * time.Second,
		RetainEnded:          2 * time.Hour,
		DelistedAfter:        10 * time.Second,
		MaxMembers:           16384,
	}
}
