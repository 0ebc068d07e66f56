package spread

import "time"

// Config holds the counts, sizes and intervals.
type Config struct {
	// Prefix is the prefix of all keys that the routers share. A complete list of it from the
	// store makes a router's view complete.
	Prefix string
	// Watchers is the number of routers of a data centre that watch the store. Candidates
	// bounds how many routers may be tried if some of them cannot reach the store.
	Watchers   int
	Candidates int
	// Fanout is the number of children of each router in a tree.
	Fanout int
	// Tick is the interval of Tick events. Changes within one interval share messages.
	Tick time.Duration
	// Groups is the number of groups of keys, each with its own digest. It must be the same on
	// all routers.
	Groups int
	// DigestInterval is the interval of digests to a random router of the data centre,
	// RemoteDigestInterval that of digests from a watcher to a watcher of another
	// data centre.
	DigestInterval       time.Duration
	RemoteDigestInterval time.Duration
	// PropagationTime is how long a change may take to go down the tree: a peer whose digest equals one
	// that this router had within this time does not count as behind.
	PropagationTime time.Duration
	// RepairDelay is the time from the loss of a member to the digests that look for changes
	// that the lost router did not pass on. Losses within this time are handled together.
	RepairDelay time.Duration
	// MaxMessage bounds the bytes of records in one message; a larger record is sent in a
	// message of its own. MaxFlush bounds the bytes sent to one child within a tick.
	MaxMessage int
	MaxFlush   int
	// MaxGroups bounds the groups that are reconciled in one round.
	MaxGroups int
	// MaxValue bounds the size of one value, MaxEntries the number of records held, and
	// MaxBytes the size of all their keys and values.
	MaxValue   int
	MaxEntries int
	MaxBytes   int
	// JoinPeers is the number of peers that a starting router asks for their revision.
	// JoinTimeout is how long it waits for their answers or for the next part of a snapshot.
	JoinPeers   int
	JoinTimeout time.Duration
	// MinChangeInterval is the minimum time between two changes of one configuration record
	// that a watcher passes on. The first change is passed on at once.
	MinChangeInterval time.Duration
	// MinPatchValue is the minimum size in bytes of a record's value to be sent down the trees
	// as a patch. Of such a record the previous value is kept too.
	MinPatchValue int
	// AnswerWaitPerLevel is how long a router waits, for each level of the tree below it, for
	// answers to a question that it passed on. MaxQuestions bounds the questions for which it
	// collects answers at a time; further ones are answered to the asker directly.
	AnswerWaitPerLevel time.Duration
	MaxQuestions       int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Watchers:             2,
		Candidates:           6,
		Fanout:               4,
		Tick:                 10 * time.Millisecond,
		Groups:               64,
		DigestInterval:       250 * time.Millisecond,
		RemoteDigestInterval: time.Second,
		PropagationTime:      50 * time.Millisecond,
		RepairDelay:          20 * time.Millisecond,
		MaxMessage:           64 << 10,
		MaxFlush:             256 << 10,
		MaxGroups:            8,
		MaxValue:             1 << 20,
		MaxEntries:           65536,
		MaxBytes:             16 << 20,
		JoinPeers:            3,
		JoinTimeout:          300 * time.Millisecond,
		MinChangeInterval:    200 * time.Millisecond,
		MinPatchValue:        4 << 10,
		AnswerWaitPerLevel:   100 * time.Millisecond,
		MaxQuestions:         16,
	}
}
