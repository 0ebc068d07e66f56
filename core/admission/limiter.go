package admission

import "time"

// Defaults of LimiterConfig.
const (
	DefaultLimiterFloor     = 1
	DefaultLimiterCap       = 64
	DefaultLimiterInitial   = 2
	DefaultLimiterTolerance = 1.3
)

const (
	// shedFactor multiplies the limit after a refusal by the target, slowFactor after a
	// window of raised latency.
	shedFactor = 0.7
	slowFactor = 0.9
	// minWindow is the minimum number of samples between two changes of the limit.
	minWindow = 40
	// probeEvery is the number of windows between two probes of the baseline latency.
	probeEvery = 30
	// baselineGain is the weight of a new measurement of the baseline latency.
	baselineGain = 0.3
	// fasterFactor is the ratio to the baseline below which any window's mean updates the
	// baseline. Over minWindow samples such a low mean is unlikely to be chance.
	fasterFactor = 0.7
	// saturation is the minimum mean fraction of the limit in use for the limit to grow.
	saturation = 0.75
)

// LimiterConfig bounds the adaptive limit. Zero fields mean the defaults.
type LimiterConfig struct {
	// Floor and Cap bound the limit; Initial is its first value.
	Floor, Cap, Initial int
	// Tolerance is the ratio to the baseline latency above which the limit shrinks.
	Tolerance float64
}

func (c LimiterConfig) withDefaults() LimiterConfig {
	if c.Floor <= 0 {
		c.Floor = DefaultLimiterFloor
	}
	if c.Cap <= 0 {
		c.Cap = DefaultLimiterCap
	}
	c.Cap = max(c.Cap, c.Floor)
	if c.Initial <= 0 {
		c.Initial = DefaultLimiterInitial
	}
	c.Initial = min(max(c.Initial, c.Floor), c.Cap)
	if c.Tolerance <= 1 {
		c.Tolerance = DefaultLimiterTolerance
	}
	return c
}

// Limiter finds how many requests a target can work on concurrently: additive increase
// while latency stays near the baseline, multiplicative decrease when it rises or when
// the target refuses work.
//
// The baseline is measured when this router's requests can't be queueing at the target:
// at the floor, and in a periodic probe for which the limit is halved. A window that is
// clearly faster lowers the baseline too, as after a cold start. If the baseline were
// the minimum over time, the luckiest window would pull the limit down to the floor; if
// it followed every window, it would include the latency of the limiter's own queue and
// let the limit rise to the cap.
type Limiter struct {
	cfg        LimiterConfig
	useLatency bool
	limit      float64
	baseline   float64
	// windows counts the windows since the last probe; skip is the number of samples still
	// to ignore because their requests started before the current limit was in force.
	windows     int
	probing     bool
	skipSamples int
	// Sums over the current window.
	count    int
	total    float64
	inFlight float64
	shed     bool
	lastShed time.Time
}

// NewLimiter returns a limiter that starts at cfg.Initial. Without useLatency only
// refusals by the target shrink it.
func NewLimiter(cfg LimiterConfig, useLatency bool) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, useLatency: useLatency, limit: float64(cfg.Initial)}
}

// Limit returns the current limit, at least 1.
func (l *Limiter) Limit() int {
	limit := int(l.limit)
	if l.probing {
		limit = max(limit/2, l.cfg.Floor)
	}
	return max(limit, 1)
}

// Finished records the latency of an item that ended while inFlight items, itself
// included, were in flight.
func (l *Limiter) Finished(latency time.Duration, inFlight int) {
	if l.skipSamples > 0 {
		l.skipSamples--
		return
	}
	l.count++
	l.total += latency.Seconds()
	l.inFlight += float64(inFlight)
	if l.count >= max(minWindow, 2*l.Limit()) {
		l.closeWindow()
	}
}

// Shed records a refusal by the target. Refusals that arrive within one service time of
// each other have the same overload as their cause and count once.
func (l *Limiter) Shed(now time.Time, service time.Duration) {
	l.shed = true
	if !l.lastShed.IsZero() && now.Sub(l.lastShed) < service {
		return
	}
	l.lastShed = now
	l.set(l.limit * shedFactor)
}

func (l *Limiter) closeWindow() {
	mean := l.total / float64(l.count)
	used := l.inFlight / float64(l.count)
	shed, probed := l.shed, l.probing
	l.count, l.total, l.inFlight, l.shed, l.probing = 0, 0, 0, false, false
	l.windows++
	if probed || l.baseline == 0 || l.Limit() <= l.cfg.Floor || mean < fasterFactor*l.baseline {
		l.updateBaseline(mean)
	}
	l.adjust(mean, used, shed || probed)
	if l.useLatency && l.windows >= probeEvery {
		l.windows = 0
		l.skipSamples = l.Limit()
		l.probing = true
	}
}

func (l *Limiter) updateBaseline(mean float64) {
	if l.baseline == 0 {
		l.baseline = mean
		return
	}
	l.baseline += baselineGain * (mean - l.baseline)
}

// adjust changes the limit after a window, unless keep is set.
func (l *Limiter) adjust(mean, used float64, keep bool) {
	switch {
	case keep:
	case l.useLatency && mean > l.baseline*l.cfg.Tolerance:
		l.set(l.limit * slowFactor)
	case used >= saturation*float64(l.Limit()):
		l.set(l.limit + 1)
	}
}

func (l *Limiter) set(limit float64) {
	l.limit = min(max(limit, float64(l.cfg.Floor)), float64(l.cfg.Cap))
}
