// Package reach decides whether another data centre can be reached from this router, based
// on the results of its connections. It is a pure function of time and evidence: times are
// from one monotonic clock, and nothing fails. docs/design/membership.md explains why
// connections decide and not the statements of other routers.
package reach

import "time"

// Defaults of Config. DefaultLeast ensures that one lost router is not mistaken for a lost
// link, if the data centre has others.
const (
	DefaultSettle = 200 * time.Millisecond
	DefaultSteady = 2 * time.Second
	DefaultLeast  = 2
)

// Config holds the times and counts of the verdict. The zero value of a field means its
// default.
type Config struct {
	// Settle is how long there must be no contact at all before requests are refused.
	Settle time.Duration
	// Steady is how long contact must last before an isolation ends. Requests are sent from
	// the first contact on. If contact is lost again before Steady has passed, requests are
	// refused at once, without another Settle during which callers wait.
	Steady time.Duration
	// Least is the number of the data centre's routers that must have been tried without an
	// answer; all of them if there are fewer.
	Least int
}

func (c Config) withDefaults() Config {
	if c.Settle <= 0 {
		c.Settle = DefaultSettle
	}
	if c.Steady <= 0 {
		c.Steady = DefaultSteady
	}
	if c.Least <= 0 {
		c.Least = DefaultLeast
	}
	return c
}

// Evidence is the recent results of the connections to the routers of a data centre.
type Evidence struct {
	// Live is the number of its routers that are considered live.
	Live int
	// Reached is the number of routers that answered recently, and Unreached the number
	// that were tried recently and did not answer.
	Reached, Unreached int
}

// State is the verdict on one data centre. The zero value is that of a reachable data
// centre.
type State struct {
	// Refuse says that requests for the data centre are to be refused at once.
	Refuse bool
	// Isolated says that the data centre is isolated since Since, which is when contact was
	// lost. It lasts longer than Refuse, by Steady, so that an unstable link causes one
	// isolation and not many.
	Isolated bool
	Since    time.Duration

	// noContact and contact say what the latest evidence showed, and noContactSince and
	// contactSince since when without interruption; neither is set before the first
	// evidence.
	noContact, contact           bool
	noContactSince, contactSince time.Duration
}

// Normal reports whether the data centre is not isolated and the latest evidence shows no
// loss of contact.
func (s State) Normal() bool { return !s.Isolated && !s.noContact }

// Next returns the verdict after the evidence at the time now, which must not decrease.
// Evidence that shows neither contact nor its absence does not change the verdict.
func (c Config) Next(s State, now time.Duration, e Evidence) State {
	c = c.withDefaults()
	switch {
	case e.Reached > 0:
		return c.reached(s, now)
	case e.Live > 0 && e.Unreached >= min(c.Least, e.Live):
		return c.unreached(s, now)
	}
	return s
}

func (c Config) reached(s State, now time.Duration) State {
	if !s.contact {
		s.contact, s.contactSince = true, now
	}
	s.noContact, s.Refuse = false, false
	if s.Isolated && now-s.contactSince >= c.Steady {
		s.Isolated = false
	}
	return s
}

func (c Config) unreached(s State, now time.Duration) State {
	if !s.noContact {
		s.noContact, s.noContactSince = true, now
	}
	s.contact = false
	if !s.Isolated && now-s.noContactSince >= c.Settle {
		s.Isolated, s.Since = true, s.noContactSince
	}
	s.Refuse = s.Isolated
	return s
}
