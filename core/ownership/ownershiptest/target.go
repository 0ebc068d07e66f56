package ownershiptest

import (
	"time"

	"tarragongw/core/ownership"
	"tarragongw/core/routing"
)

// fakeTarget is one server. Its clock is the world's clock.
type fakeTarget struct {
	spec     ownership.TargetSpec
	dead     bool
	frozen   bool
	term     uint64
	sequence uint64
	digest   uint64
	expires  time.Duration
	units    map[routing.Unit]uint64
	// working are the slow requests that the target has taken on.
	working []*begunRequest
	// highestTerm is the highest term of an executed request, highestTermFrom the router
	// that sent it.
	highestTerm     uint64
	highestTermFrom ownership.Router
}

func (t *fakeTarget) up() bool { return !t.dead && !t.frozen }

// holds reports whether the target would serve the unit under the token.
func (t *fakeTarget) holds(now time.Duration, u routing.Unit, token uint64) bool {
	if !t.spec.Grants.ChecksTokens && !t.spec.Grants.Expires {
		return true
	}
	if t.spec.Grants.Expires && now >= t.expires {
		return false
	}
	got, ok := t.units[u]
	return ok && (got == token || !t.spec.Grants.ChecksTokens)
}

// grant applies an order as real targets with the same checks do.
func (t *fakeTarget) grant(now time.Duration, g ownership.SendGrant) (accepted bool) {
	if t.spec.Grants.ChecksTokens {
		if g.Term < t.term || g.Term == t.term && g.Sequence <= t.sequence {
			return false
		}
		t.term, t.sequence = g.Term, g.Sequence
	}
	if g.Fence {
		return true
	}
	if g.Full {
		t.units = map[routing.Unit]uint64{}
		for _, u := range g.Units {
			t.units[u.Unit] = u.Token
		}
		t.digest = g.Digest
	} else if t.digest != g.Digest {
		return false
	}
	t.expires = now + g.TTL
	return true
}
