// Package sample is a small target: a server that keeps state for the keys that it
// holds, checks grants as its settings say, drains, sheds load, and injects faults.
// The dev command and tests use it; it shows what a real target does.
package sample

import (
	"sort"
	"time"

	"tarragongw/core/model"
	"tarragongw/target"
)

// Causes for refusing a batch or a request.
const (
	CauseTerm     = target.CauseTerm
	CauseSequence = "sequence"
	CauseToken    = target.CauseToken
	CauseDigest   = "digest"
	CauseTTL      = "ttl"
	CauseUnit     = target.CauseUnit
	CauseExpired  = target.CauseExpired
	CauseDraining = "draining"
	CauseOverload = "overload"
	CauseRefused  = "refused"
	CauseDeadline = "deadline"
	CauseRequest  = "request"
)

// Grants is the state of a target's grants. It does no I/O and reads no clock. It is
// not safe for concurrent use.
type Grants struct {
	// Undivided says that the target's service is not divided by key, so that
	// requests belong to no unit.
	Undivided bool

	check    model.GrantCheck
	term     uint64
	sequence uint64
	held     map[string]uint64
	// highest holds the greatest token seen for each unit, including revoked units: a
	// delayed grant with an older token must not grant the unit again.
	highest map[string]uint64
	digest  uint64
	expires time.Time
}

// NewGrants returns the state of a target that holds nothing.
func NewGrants(check model.GrantCheck) *Grants {
	return &Grants{check: check, held: map[string]uint64{}, highest: map[string]uint64{}}
}

// Apply applies one batch at the time now. It returns the cause if the batch is refused;
// otherwise "" and the units that the batch revoked, sorted by name. A refused batch
// changes nothing.
func (g *Grants) Apply(b *target.GrantBatch, now time.Time) (cause string, revoked []string) {
	if cause := g.refusalCause(b); cause != "" {
		return cause, nil
	}
	g.term, g.sequence = b.Term, b.Sequence
	if b.Fence {
		return "", nil
	}
	g.expires = now.Add(time.Duration(b.TTLMillis) * time.Millisecond)
	if b.Full {
		revoked = g.revokeAbsent(b.Units)
	}
	for _, u := range b.Units {
		g.addUnit(u)
	}
	return "", revoked
}

// refusalCause returns the cause for refusing the batch, or "". A target that doesn't
// check tokens accepts batches from any grantor, including an earlier one.
func (g *Grants) refusalCause(b *target.GrantBatch) string {
	if b.Fence {
		return g.staleCause(b)
	}
	if b.TTLMillis <= 0 {
		return CauseTTL
	}
	renewal := !b.Full && len(b.Units) == 0
	if renewal && b.Digest != g.digest {
		return CauseDigest
	}
	if !renewal && b.Digest != target.Digest(b.Units) {
		return CauseDigest
	}
	if cause := g.staleCause(b); cause != "" {
		return cause
	}
	if !g.check.ChecksTokens {
		return ""
	}
	for _, u := range b.Units {
		if u.Token < g.highest[u.Unit] {
			return CauseToken
		}
	}
	return ""
}

// staleCause returns the cause for refusing a batch with an old term or sequence, or "".
func (g *Grants) staleCause(b *target.GrantBatch) string {
	if !g.check.ChecksTokens {
		return ""
	}
	switch {
	case b.Term < g.term:
		return CauseTerm
	case b.Term == g.term && b.Sequence <= g.sequence:
		return CauseSequence
	}
	return ""
}

func (g *Grants) revokeAbsent(units []target.UnitGrant) []string {
	kept := make(map[string]bool, len(units))
	for _, u := range units {
		kept[u.Unit] = true
	}
	var revoked []string
	for unit := range g.held {
		if !kept[unit] {
			revoked = append(revoked, unit)
		}
	}
	sort.Strings(revoked)
	for _, unit := range revoked {
		g.digest -= target.DigestOf(target.UnitGrant{Unit: unit, Token: g.held[unit]})
		delete(g.held, unit)
	}
	return revoked
}

func (g *Grants) addUnit(u target.UnitGrant) {
	if token, ok := g.held[u.Unit]; ok {
		g.digest -= target.DigestOf(target.UnitGrant{Unit: u.Unit, Token: token})
	}
	g.held[u.Unit] = u.Token
	g.highest[u.Unit] = max(g.highest[u.Unit], u.Token)
	g.digest += target.DigestOf(u)
}

// Admit returns the cause for refusing a request at the time now, or "". It must be
// called in the critical section that runs the request: a process that is suspended
// between the two could run work of a unit that another target holds by then.
func (g *Grants) Admit(unit string, token, term uint64, now time.Time) string {
	if !g.check.ChecksTokens && !g.check.Expires {
		return ""
	}
	if g.Undivided {
		return g.admitUndivided(term)
	}
	held, ok := g.held[unit]
	if !ok {
		return CauseUnit
	}
	if g.check.Expires && !now.Before(g.expires) {
		return CauseExpired
	}
	if !g.check.ChecksTokens {
		return ""
	}
	switch {
	case term != g.term:
		return CauseTerm
	case token != held:
		return CauseToken
	}
	return ""
}

// admitUndivided checks only the term, because an undivided service has no units.
func (g *Grants) admitUndivided(term uint64) string {
	if g.check.ChecksTokens && term != g.term {
		return CauseTerm
	}
	return ""
}

// Term returns the term of the last batch accepted.
func (g *Grants) Term() uint64 { return g.term }

// Held returns the units held at the time now, sorted by name. A target whose grants
// expire holds nothing after their expiry.
func (g *Grants) Held(now time.Time) []target.UnitGrant {
	if g.check.Expires && !now.Before(g.expires) {
		return nil
	}
	units := make([]target.UnitGrant, 0, len(g.held))
	for unit, token := range g.held {
		units = append(units, target.UnitGrant{Unit: unit, Token: token})
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Unit < units[j].Unit })
	return units
}
