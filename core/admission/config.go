package admission

import "time"

// Defaults of Config.
const (
	DefaultQueueLength       = 256
	DefaultCallerShare       = 0.5
	DefaultBatchShare        = 0.1
	DefaultBatchHeadroom     = 1
	DefaultDeadlineShare     = 0.5
	DefaultInteractiveWindow = 500 * time.Millisecond
	DefaultInitialService    = 20 * time.Millisecond
	DefaultHoldUnknown       = time.Second
	DefaultMaxRetryAfter     = 30 * time.Second
	DefaultMinRetryAfter     = 50 * time.Millisecond
)

// Config holds the settings of one target's Gate. The zero value of a field means
// its default.
type Config struct {
	// Slots is the number of requests that the target works on concurrently. Zero means
	// unknown; the limit then adapts to measured latency.
	Slots int
	// AdaptBelowSlots lets latency lower the limit below Slots too, for a target that
	// reports more slots than it has.
	AdaptBelowSlots bool
	// Adaptive configures the adaptive limit.
	Adaptive LimiterConfig
	// QueueLength is the maximum number of waiting items of each class.
	QueueLength int
	// CallerShare is the fraction of the queue's free places that one caller may use,
	// in (0, 1]. A single caller fills at most CallerShare/(1+CallerShare) of the queue.
	CallerShare float64
	// BatchShare is the minimum share of slot time that waiting batch work gets, in
	// [0, 1). Negative means zero.
	BatchShare float64
	// BatchHeadroom is the minimum number of slots that batch work beyond its share
	// leaves free when interactive work was offered within the last InteractiveWindow, so
	// that a person does not wait for the end of a long batch job. The headroom grows
	// when batch work makes interactive work wait nevertheless. Negative means zero.
	BatchHeadroom     int
	InteractiveWindow time.Duration
	// DeadlineShare is the fraction of the time left until its deadline that an item's
	// expected wait and service may take, in (0, 1]. The rest is a margin for errors of
	// the estimate. Without it, overload keeps every queue as long as deadlines allow,
	// and many of the waiting items are refused late.
	DeadlineShare float64
	// InitialService is the service time assumed before one has been measured.
	InitialService time.Duration
	// HoldUnknown is the maximum time for which a slot stays held after an outcome
	// of Unknown or UnknownSlowCaller.
	HoldUnknown time.Duration
	// MinRetryAfter and MaxRetryAfter bound the RetryAfter of a refusal.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.QueueLength <= 0 {
		c.QueueLength = DefaultQueueLength
	}
	if c.CallerShare <= 0 || c.CallerShare > 1 {
		c.CallerShare = DefaultCallerShare
	}
	if c.BatchShare == 0 || c.BatchShare >= 1 {
		c.BatchShare = DefaultBatchShare
	}
	if c.BatchShare < 0 {
		c.BatchShare = 0
	}
	if c.BatchHeadroom == 0 {
		c.BatchHeadroom = DefaultBatchHeadroom
	}
	c.BatchHeadroom = max(c.BatchHeadroom, 0)
	if c.DeadlineShare <= 0 || c.DeadlineShare > 1 {
		c.DeadlineShare = DefaultDeadlineShare
	}
	defaultDuration(&c.InteractiveWindow, DefaultInteractiveWindow)
	defaultDuration(&c.InitialService, DefaultInitialService)
	defaultDuration(&c.HoldUnknown, DefaultHoldUnknown)
	defaultDuration(&c.MinRetryAfter, DefaultMinRetryAfter)
	defaultDuration(&c.MaxRetryAfter, DefaultMaxRetryAfter)
	return c
}

func defaultDuration(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}
