package confirm

import "time"

// Router identifies one instance of a router.
type Router struct {
	Name string
	// Incarnation is greater in each later instance of the same name.
	Incarnation uint64
}

// Config is one router's settings.
type Config struct {
	// Self is the instance that this configuration is for.
	Self       Router
	DataCentre string
	// Interval (default 80 ms) is the interval at which authority is confirmed. All other times
	// are fractions or multiples of it.
	Interval time.Duration
	// PerRelay (default 150) is the number of routers that share a relay.
	PerRelay int

	// omit disables one check. Only tests set it, to show that they fail without the check.
	omit check
}

// check names a check that a test may disable.
type check uint8

const (
	omitNone check = iota
	// omitFresh answers a question from a list call sent before the question was received.
	omitFresh
	// omitIncarnation accepts an answer to an earlier instance of the asker.
	omitIncarnation
	// omitFallback never reads in place of a relay that doesn't answer.
	omitFallback
)

// Defaults of Config. DefaultInterval is the interval of core/ownership. The design note
// docs/design/confirmations.md discusses the number of routers per relay.
const (
	DefaultInterval = 80 * time.Millisecond
	DefaultPerRelay = 150
)

// Bounds on what one router does for others.
const (
	// maxQueued bounds the questions that wait for a list call.
	maxQueued = 1024
	// MaxTargets bounds the records that one question asks for.
	MaxTargets = 4096
	// maxAnswerBytes bounds the size of the records in one answer.
	maxAnswerBytes = 512 << 10
	// maxLists bounds the list calls in flight at once.
	maxLists = 16
)

// candidates is the number of routers that a router may ask. If all of them failed recently,
// it reads the store itself.
const candidates = 3

func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.PerRelay <= 0 {
		c.PerRelay = DefaultPerRelay
	}
	return c
}

// listSpacing is the minimum time between two list calls of a relay. A list call doesn't wait
// for the previous one to return: with a slow store, a question would otherwise wait for two
// calls.
func (c *Config) listSpacing() time.Duration { return c.Interval / 2 }

// gatherDelay is how long a list call is delayed to collect further questions. It is short,
// because all questions of the call are delayed by it, and long enough to cover the jitter of
// routers that ask at the same time.
func (c *Config) gatherDelay() time.Duration { return c.Interval / 16 }

// answerTimeout is how long an asker waits for any reply of its relay. It is shorter than
// Interval, so that the asker's own read ends before the next confirmation is due and a single
// missing reply never makes the grantor ask targets for promises instead.
func (c *Config) answerTimeout() time.Duration { return c.Interval * 3 / 4 }

// hedgeDelay is the time after which a relay sends a second list call in parallel to one that
// has not returned. Otherwise a single late or lost call would delay all questions that share
// it.
func (c *Config) hedgeDelay() time.Duration { return c.Interval / 4 }

// pendingDelay is the time after which the relay replies that it is waiting for the store.
// Without this reply, a slow store would make every asker read by itself, which would slow the
// store further.
func (c *Config) pendingDelay() time.Duration { return c.Interval * 5 / 8 }

// pendingTimeout is the longest time that an asker waits for a relay that is waiting for the
// store.
func (c *Config) pendingTimeout() time.Duration { return c.Interval * 15 / 8 }

// probeInterval is the minimum time between two probes of a router. A probe is a read that
// tells a slow store from a relay that is cut off from the store.
func (c *Config) probeInterval() time.Duration { return 125 * c.Interval }

// fastReadLimit is the longest time that a read may take for the store not to count as slow.
func (c *Config) fastReadLimit() time.Duration { return c.Interval / 2 }

// staleAfter is the time after which a list call counts as lost and a record that was not
// asked for is evicted. The shell's timeout for a call is shorter.
func (c *Config) staleAfter() time.Duration { return 25 * c.Interval }

// minSuspicion and maxSuspicion bound how long a relay that failed is not asked. The time
// doubles with each failure.
func (c *Config) minSuspicion() time.Duration { return 12 * c.Interval }
func (c *Config) maxSuspicion() time.Duration { return 400 * c.Interval }

// minReliable is how long questions to a relay are not sent over the lossy transport after the
// first reply lost on it. The time doubles with each further loss, up to maxSuspicion.
func (c *Config) minReliable() time.Duration { return 60 * c.Interval }

// fallbackBurst bounds the reads that a router makes at once in place of its relays. The
// budget grows by one read per Interval, so that in the long run a router makes no more reads
// than it would without relays.
const fallbackBurst = 4
