package ownership

import (
	"time"

	"tarragongw/core/model"
)

// Config holds the settings of one router. Times are on a monotonic clock that also runs
// while the machine is suspended.
type Config struct {
	// Self is this instance of this router.
	Self Router
	// DataCentre is the router's data centre. The router is grantor for targets of this data
	// centre and, while another data centre is cut off, for targets there whose service
	// yields.
	DataCentre string
	// Authority (default 320 ms) is how long one confirmation lets the grantor send.
	Authority time.Duration
	// RenewEvery (default 80 ms) is the interval of confirmations and grants.
	RenewEvery time.Duration
	// OrderBound (default 50 ms) is the longest that a sent order may be under way.
	OrderBound time.Duration
	// RequestBound (default 5 s) is the longest that work continues at a target once its
	// unit was closed; the shell cancels work that takes longer.
	RequestBound time.Duration
	// ReplyTimeout (default 150 ms) is the time after which a reply of the store or of a
	// target counts as lost.
	ReplyTimeout time.Duration
	// LostAfter (default 300 ms) is how long a target may leave grants unanswered before it
	// counts as lost.
	LostAfter time.Duration
	// HandBackAfter (default 10 s) is how long a better-ranked router must be live before it
	// is handed a duty.
	HandBackAfter time.Duration
	// HoldSuccessor (default 10 s) is how long a router that is no longer live keeps its
	// place in a grantor's list of successors, if no other router takes it.
	HoldSuccessor time.Duration
	// MaxLostShare (default 0.5) is the share of its targets that a router may declare lost
	// on its own evidence alone within LossWindow (default 2 s); it may always declare one.
	MaxLostShare float64
	LossWindow   time.Duration
	// ClockRate (default 0.01) bounds the relative difference between the rates of two
	// clocks.
	ClockRate float64
	// Successors (default 2, at most TermPlaces-1) is the length of the successor list.
	Successors int

	// omit disables one rule. Only tests set it, to verify that the missing rule is
	// detected.
	omit omission
}

// omission names the rule that a test disables.
type omission uint8

const (
	omitNone omission = iota
	omitWaitOut
	omitTermCheck
	omitReadBack
	omitValidity
	omitRelease
	omitConfirm
	omitPromiseMode
	omitRecordedYield
	omitYieldWait
	omitClaimBack
	omitUnproved
	omitOrderBoundCheck
	omitJustChanged
	omitFormers
)

// Defaults of Config.
const (
	DefaultAuthority     = 320 * time.Millisecond
	DefaultRenewEvery    = 80 * time.Millisecond
	DefaultOrderBound    = 50 * time.Millisecond
	DefaultRequestBound  = 5 * time.Second
	DefaultReplyTimeout  = 150 * time.Millisecond
	DefaultLostAfter     = 300 * time.Millisecond
	DefaultHandBackAfter = 10 * time.Second
	DefaultMaxLostShare  = 0.5
	DefaultLossWindow    = 2 * time.Second
	DefaultClockRate     = 0.01
	DefaultSuccessors    = 2
	DefaultHoldSuccessor = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDuration(&c.Authority, DefaultAuthority)
	setDuration(&c.RenewEvery, DefaultRenewEvery)
	setDuration(&c.OrderBound, DefaultOrderBound)
	setDuration(&c.RequestBound, DefaultRequestBound)
	setDuration(&c.ReplyTimeout, DefaultReplyTimeout)
	setDuration(&c.LostAfter, DefaultLostAfter)
	setDuration(&c.HandBackAfter, DefaultHandBackAfter)
	setDuration(&c.HoldSuccessor, DefaultHoldSuccessor)
	setDuration(&c.LossWindow, DefaultLossWindow)
	if c.MaxLostShare == 0 {
		c.MaxLostShare = DefaultMaxLostShare
	}
	if c.ClockRate == 0 {
		c.ClockRate = DefaultClockRate
	}
	if c.Successors == 0 {
		c.Successors = DefaultSuccessors
	}
	c.Successors = min(c.Successors, TermPlaces-1)
	return c
}

func setDuration(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// stretch lengthens a duration that another clock measures, by the bound on the difference
// of the clocks' rates.
func (c *Config) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockRate)
}

// shrink shortens a duration that another clock waits for, by the same bound.
func (c *Config) shrink(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.ClockRate)
}

// slack is how long the shell may delay an order.
func (c *Config) slack() time.Duration { return c.OrderBound / 2 }

// waitOut is how long the authority of another router may still have effects.
func (c *Config) waitOut() time.Duration { return c.stretch(c.Authority) + c.OrderBound }

// TargetSpec is what the package needs to know about a target.
type TargetSpec struct {
	Name       string
	Service    string
	DataCentre string
	Grants     model.GrantCheck
	// Isolation is that of the target's service.
	Isolation model.Isolation
	// Drain means that the target is to be drained: its units are moved away.
	Drain bool
	// Weight is the target's share relative to others; zero counts as one.
	Weight float64
}

// RangeSpec is a key range of a service.
type RangeSpec struct {
	Name string
	// Eligible names the targets that may own it; nil means all of the service.
	Eligible []string
}

// ServiceSpec is what the package needs to know about a service that is divided by key.
type ServiceSpec struct {
	Name      string
	HashSlots uint32
	// Ranges are sorted by name.
	Ranges []RangeSpec
}
