package retry

import "time"

// WindowLimit bounds the retries of one service, summed over all routers, in any window of time: a share
// of the requests plus a fixed number.
type WindowLimit struct {
	Share  float64
	Fixed  float64
	Window time.Duration
}

const (
	// usableShare and usableFixed are the parts of a WindowLimit that are used. The rest covers routers
	// that no other router counts: each can save one token.
	usableShare = 0.9
	usableFixed = 0.85
)

// WindowBudget is one router's token bucket for one service under a WindowLimit.
//
// Requests add their share of a token at the router that receives them, whatever it knows of other
// routers. The fixed number is divided: half of it is refilled within a window and half may be saved, so
// that no window gets more. A router begins without tokens: what the process before it has spent is
// unknown, and a share of the burst for each start would add up.
//
// The sum over all routers stays within the limit as long as their fractions add up to one at most.
type WindowBudget struct {
	perRequest float64
	// burst is the number of tokens that all routers together may save, and perSecond the rate at which
	// all of them together receive tokens without requests.
	burst, perSecond float64
	// fraction is this router's part of both; zero if it has none.
	fraction float64
	// timeTokens are those received without requests, requestTokens those of requests.
	timeTokens, requestTokens float64
	refilledAt                time.Time
}

// NewWindowBudget returns an empty bucket of a router that has no part of the fixed number yet.
func NewWindowBudget(l WindowLimit) *WindowBudget {
	half := l.Fixed * usableFixed / 2
	b := &WindowBudget{perRequest: l.Share * usableShare, burst: half}
	if l.Window > 0 {
		b.perSecond = half / l.Window.Seconds()
	}
	return b
}

// SetFraction sets this router's part of the fixed number, from 0 to 1. Without a part, the tokens received
// without requests are dropped: other routers may receive them now.
func (b *WindowBudget) SetFraction(now time.Time, fraction float64) {
	b.refill(now)
	b.fraction = fraction
	b.timeTokens = min(b.timeTokens, b.burst*fraction)
	b.requestTokens = min(b.requestTokens, b.capacity()-b.timeTokens)
}

// capacity is how many tokens this router may save: its part of the burst, but at least one, since
// otherwise it could never retry.
func (b *WindowBudget) capacity() float64 { return max(b.burst*b.fraction, 1) }

// Request adds the tokens of one request.
func (b *WindowBudget) Request() {
	free := max(b.capacity()-b.timeTokens-b.requestTokens, 0)
	b.requestTokens += min(b.perRequest, free)
}

// PerRequest returns the part of a token that each request adds.
func (b *WindowBudget) PerRequest() float64 { return b.perRequest }

// Take removes the token for one retry and reports whether there was one.
func (b *WindowBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.timeTokens+b.requestTokens < 1 {
		return false
	}
	fromTime := min(b.timeTokens, 1)
	b.timeTokens -= fromTime
	b.requestTokens -= 1 - fromTime
	return true
}

// refill adds the tokens for the time since the last call.
func (b *WindowBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		added := now.Sub(b.refilledAt).Seconds() * b.perSecond * b.fraction
		free := max(b.capacity()-b.timeTokens-b.requestTokens, 0)
		b.timeTokens = min(b.timeTokens+min(added, free), b.burst*b.fraction)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
