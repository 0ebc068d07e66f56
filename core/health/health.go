// Package health judges targets. The results of requests have priority; probes come second
// and cannot override what requests show. A target's own reports are only hints that lower
// its weight by a limited amount for a while.
//
// The package is deterministic: time is a parameter, and verdicts change only in Tick,
// where all targets of a service are judged together. A Set is not safe for concurrent use.
package health

import "time"

// State is the verdict on a target.
type State uint8

const (
	// Healthy targets get their full weight.
	Healthy State = iota
	// Suspect targets show signs of failure; they get half their weight.
	Suspect
	// SlowStart targets are cold or back on trial; their weight grows.
	SlowStart
	// Ejected targets get no new work for a limited time.
	Ejected
	// Lost targets do not answer on any connection; their keys may be moved.
	Lost
	// Draining targets are leaving; they get no new work.
	Draining
)

var stateNames = [...]string{"healthy", "suspect", "slow-start", "ejected", "lost", "draining"}

// String returns the state as it is logged.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Signal is the outcome of one request or probe.
type Signal uint8

const (
	// OK means an answer that does not indicate a failure of the target.
	OK Signal = iota
	// Failed means an answer that indicates a failure of the target, or a broken
	// connection.
	Failed
	// ConnectFailed means that no connection could be opened.
	ConnectFailed
	// Stalled means that a connection made no progress.
	Stalled
	// Shed means that the target rejected the request because it is busy, which is not a
	// failure.
	Shed
)

// Result is the result of one request to a target.
type Result struct {
	Signal Signal
	// Fresh says that the connection was opened for this request.
	Fresh bool
	// Latency is the time to the answer, for OK.
	Latency time.Duration
}

// Report is a target's report about itself.
type Report struct {
	Healthy bool
	// Load is the share of the target's slots that are in use, from 0 to 1.
	Load float64
}

// Change is one change of verdict.
type Change struct {
	Target   string
	From, To State
	// Cause names the evidence for the change.
	Cause string
}

// Defaults of Config.
const (
	DefaultConsecutive    = 5
	DefaultSuspectAfter   = 2
	DefaultMinSuccess     = 0.5
	DefaultMinSamples     = 10
	DefaultEjection       = 2 * time.Second
	DefaultMaxEjection    = 30 * time.Second
	DefaultMaxEjected     = 0.3
	DefaultMaxLost        = 0.5
	DefaultLostAfter      = 3
	DefaultLostSilence    = 250 * time.Millisecond
	DefaultSlowStart      = 5 * time.Second
	DefaultSlowStartFloor = 0.1
	DefaultSlowFactor     = 3
	DefaultHintHalfLife   = 5 * time.Second
)

// Config holds the limits and times of the verdicts. The zero value of a field means its
// default.
type Config struct {
	// Consecutive is the number of consecutive failures that eject a target, and
	// SuspectAfter the number that makes it suspect.
	Consecutive, SuspectAfter int
	// MinSuccess is the success rate below which a target with at least MinSamples
	// results within the window is ejected.
	MinSuccess float64
	MinSamples int
	// Ejection is the length of the first ejection. Each further one is twice as long, up
	// to MaxEjection; after an equally long time in good health the length is halved again.
	Ejection, MaxEjection time.Duration
	// MaxEjected is the largest share of a service's targets that may be ejected or lost
	// when another one is ejected. In a service of at least two targets one may always be
	// ejected.
	MaxEjected float64
	// MaxLost is the share of unreachable targets above which none is declared lost,
	// because a common cause, possibly at this router, is more likely.
	MaxLost float64
	// LostAfter is the number of failures of fresh connections or probes, without any
	// success for LostSilence, that make a target lost.
	LostAfter   int
	LostSilence time.Duration
	// SlowStart is the time in which the weight grows from SlowStartFloor to 1.
	SlowStart      time.Duration
	SlowStartFloor float64
	// SlowFactor is the multiple of the median latency above which a target becomes
	// suspect.
	SlowFactor float64
	// HintHalfLife is the half-life of the effect of a target's report.
	HintHalfLife time.Duration
}

func orDefault[T int | float64 | time.Duration](v *T, fallback T) {
	if *v <= 0 {
		*v = fallback
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.Consecutive, DefaultConsecutive)
	orDefault(&c.SuspectAfter, DefaultSuspectAfter)
	orDefault(&c.MinSuccess, DefaultMinSuccess)
	orDefault(&c.MinSamples, DefaultMinSamples)
	orDefault(&c.Ejection, DefaultEjection)
	orDefault(&c.MaxEjection, DefaultMaxEjection)
	orDefault(&c.MaxEjected, DefaultMaxEjected)
	orDefault(&c.MaxLost, DefaultMaxLost)
	orDefault(&c.LostAfter, DefaultLostAfter)
	orDefault(&c.LostSilence, DefaultLostSilence)
	orDefault(&c.SlowStart, DefaultSlowStart)
	orDefault(&c.SlowStartFloor, DefaultSlowStartFloor)
	orDefault(&c.SlowFactor, DefaultSlowFactor)
	orDefault(&c.HintHalfLife, DefaultHintHalfLife)
	return c
}
