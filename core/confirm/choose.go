package confirm

import (
	"slices"
	"time"

	"tarragongw/core/rendezvous"
)

// maxFailures bounds the counted failures, so that doubling once for each doesn't overflow.
// maxSuspicion is reached long before.
const maxFailures = 16

// suspicion keeps a relay that failed from being asked for a while.
type suspicion struct {
	until time.Duration
	// failures is the number of failures since the relay's last answer.
	failures int
}

// setMembers handles a change of the live routers. Questions to a relay that is no longer live
// are read directly.
func (c *Core) setMembers(e Members) {
	c.order = c.askOrder(e)
	for name := range c.suspects {
		if !slices.Contains(e.Live, name) {
			delete(c.suspects, name)
		}
	}
	for name := range c.lossyFailures {
		if !slices.Contains(e.Live, name) {
			delete(c.lossyFailures, name)
		}
	}
	for _, q := range slices.Clone(c.questions) {
		if !slices.Contains(e.Live, q.relay) {
			c.removeQuestion(q)
			c.readDirectly(q, Lost)
		}
	}
	c.evictRecords()
}

// askOrder returns the routers that this one asks, first choice first. One router in PerRelay
// is a relay. The next routers by rendezvous weight are the spares for relays that fail. Each
// asker has its own order among the relays, so that the askers, also those of a relay that is
// lost, spread about evenly over the relays.
func (c *Core) askOrder(e Members) []string {
	remaining := slices.DeleteFunc(slices.Clone(e.Live), func(name string) bool { return slices.Contains(e.Leaving, name) })
	if !slices.Contains(e.Live, c.cfg.Self.Name) || len(remaining) == 0 {
		return []string{c.cfg.Self.Name}
	}
	relays := (len(remaining) + c.cfg.PerRelay - 1) / c.cfg.PerRelay
	top := rendezvous.Top("confirm\x00"+c.cfg.DataCentre, relays+candidates-1, remaining)
	if at := slices.Index(top, c.cfg.Self.Name); at >= 0 && at < relays {
		return []string{c.cfg.Self.Name}
	}
	order := rendezvous.Order("confirm\x00"+c.cfg.Self.Name, top[:min(relays, len(top))])
	order = append(order, top[min(relays, len(top)):]...)
	return order[:min(candidates, len(order))]
}

// choose returns the first router of the order that did not fail recently.
func (c *Core) choose() string {
	for _, name := range c.order {
		if name == c.cfg.Self.Name || c.now >= c.suspects[name].until {
			return name
		}
	}
	return ""
}

// suspect keeps the relay from being asked for a while, longer with each failure.
func (c *Core) suspect(name string) {
	s := c.suspects[name]
	s.failures = min(s.failures+1, maxFailures)
	s.until = c.now + min(c.cfg.minSuspicion()<<(s.failures-1), c.cfg.maxSuspicion())
	c.suspects[name] = s
}

// recordLossyFailure makes questions to the relay take the reliable transport for a while,
// longer with each further loss. It doesn't suspect the relay yet.
//
// If one lost reply were enough to suspect the relay, then with one datagram in twenty lost
// each asker would leave its relay every second, and all askers would read by themselves.
func (c *Core) recordLossyFailure(name string) {
	s := c.lossyFailures[name]
	if c.now-s.until > c.cfg.maxSuspicion() {
		s.failures = 0
	}
	s.failures = min(s.failures+1, maxFailures)
	s.until = c.now + min(c.cfg.minReliable()<<(s.failures-1), c.cfg.maxSuspicion())
	c.lossyFailures[name] = s
}

// tokenBucket limits the reads that a router makes in place of its relays.
type tokenBucket struct {
	// tokens is the number of reads that could be made at once at updatedAt.
	tokens    float64
	updatedAt time.Duration
}

// take reports whether a read may be made now, and counts it. One more read is allowed after
// each interval.
func (b *tokenBucket) take(now, every time.Duration) bool {
	b.tokens = min(fallbackBurst, b.tokens+float64(now-b.updatedAt)/float64(every))
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
