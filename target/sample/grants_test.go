package sample

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/target"
)

const ttl = 2 * time.Second

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func strictGrants() *Grants { return NewGrants(model.GrantCheck{ChecksTokens: true, Expires: true}) }

func fullBatch(term, sequence uint64, units ...target.UnitGrant) *target.GrantBatch {
	return &target.GrantBatch{Grantor: "r1", Term: term, Sequence: sequence, TTLMillis: ttl.Milliseconds(),
		Service: "faq", Full: true, Units: units, Digest: target.Digest(units)}
}

func renewalBatch(term, sequence uint64, units ...target.UnitGrant) *target.GrantBatch {
	b := fullBatch(term, sequence, units...)
	b.Full, b.Units = false, nil
	return b
}

func TestRefusedBatchChangesNothing(t *testing.T) {
	one := target.UnitGrant{Unit: "faq/1", Token: 5}
	lower := target.UnitGrant{Unit: "faq/1", Token: 4}
	wrongDigest := fullBatch(3, 8, one)
	wrongDigest.Digest++
	noTTL := fullBatch(3, 8, one)
	noTTL.TTLMillis = 0
	cases := []struct {
		name  string
		batch *target.GrantBatch
		cause string
	}{
		{"next sequence", fullBatch(3, 8, one), ""},
		{"next term starts a sequence", fullBatch(4, 1, one), ""},
		{"renewal of the same set", renewalBatch(3, 8, one), ""},
		{"old term", fullBatch(2, 99, one), CauseTerm},
		{"same sequence", fullBatch(3, 7, one), CauseSequence},
		{"old sequence", fullBatch(3, 6, one), CauseSequence},
		{"old token", fullBatch(3, 8, lower), CauseToken},
		{"renewal of another set", renewalBatch(3, 8, lower), CauseDigest},
		{"damaged set", wrongDigest, CauseDigest},
		{"no time to live", noTTL, CauseTTL},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := strictGrants()
			cause, _ := g.Apply(fullBatch(3, 7, one), start)
			assert.Equal(t, cause, "")
			cause, _ = g.Apply(c.batch, start.Add(time.Second))
			assert.Equal(t, cause, c.cause)
			// A refused batch must not extend the grants either.
			extended := g.Admit("faq/1", 5, g.Term(), start.Add(ttl)) == ""
			assert.Equal(t, extended, c.cause == "")
		})
	}
}

func TestFullBatchRevokesMissingUnits(t *testing.T) {
	g := strictGrants()
	one, two, three := target.UnitGrant{Unit: "faq/1", Token: 1}, target.UnitGrant{Unit: "faq/2", Token: 1}, target.UnitGrant{Unit: "faq/3", Token: 1}
	_, revoked := g.Apply(fullBatch(1, 1, three, two, one), start)
	assert.Equal(t, len(revoked), 0)
	_, revoked = g.Apply(fullBatch(1, 2, two), start)
	assert.DeepEqual(t, revoked, []string{"faq/1", "faq/3"})
	assert.Equal(t, g.Admit("faq/1", 1, 1, start), CauseUnit)
	assert.Equal(t, g.Admit("faq/2", 1, 1, start), "")
	assert.DeepEqual(t, g.Held(start), []target.UnitGrant{two})
}

func TestDeltaBatchAddsUnitsAndRaisesTokens(t *testing.T) {
	g := strictGrants()
	one, two := target.UnitGrant{Unit: "faq/1", Token: 1}, target.UnitGrant{Unit: "faq/2", Token: 1}
	g.Apply(fullBatch(1, 1, one), start)
	raised := target.UnitGrant{Unit: "faq/1", Token: 3}
	delta := fullBatch(1, 2, raised, two)
	delta.Full = false
	cause, revoked := g.Apply(delta, start)
	assert.Equal(t, cause, "")
	assert.Equal(t, len(revoked), 0)
	// The digest that is updated by each batch must equal the digest of the whole set.
	cause, _ = g.Apply(renewalBatch(1, 3, two, raised), start)
	assert.Equal(t, cause, "")
}

// Guards against two holders of one unit: a unit moves to another target, and its former
// holder receives a batch of the same term that was built before the move but has a later
// sequence. Comparing tokens only with those of the units held now would accept it.
func TestRevokedUnitIsNotGrantedAgainWithOlderToken(t *testing.T) {
	g := strictGrants()
	g.Apply(fullBatch(1, 1, target.UnitGrant{Unit: "faq/1", Token: 7}), start)
	g.Apply(fullBatch(1, 2), start)
	cause, _ := g.Apply(fullBatch(1, 3, target.UnitGrant{Unit: "faq/1", Token: 6}), start)
	assert.Equal(t, cause, CauseToken)
}

// Guards against a suspended target that serves keys of another holder: its grants expire
// while it is suspended, the units get a new holder, and the process resumes with requests
// in its queue. Checking expiry only when a grant arrives would let it run them.
func TestGrantsExpireWhileTargetIsSuspended(t *testing.T) {
	g := strictGrants()
	g.Apply(fullBatch(1, 1, target.UnitGrant{Unit: "faq/1", Token: 1}), start)
	assert.Equal(t, g.Admit("faq/1", 1, 1, start.Add(ttl-time.Nanosecond)), "")
	assert.Equal(t, g.Admit("faq/1", 1, 1, start.Add(ttl)), CauseExpired)
	assert.Equal(t, len(g.Held(start.Add(ttl))), 0)
	g.Apply(renewalBatch(1, 2, target.UnitGrant{Unit: "faq/1", Token: 1}), start.Add(2*ttl))
	assert.Equal(t, g.Admit("faq/1", 1, 1, start.Add(2*ttl)), "")
}

func TestAdmitChecksWhatTheConfigurationSays(t *testing.T) {
	cases := []struct {
		name  string
		check model.GrantCheck
		// old is the cause for a request with an old token and term, foreign for one of a
		// unit that is not held, late for one after the grants expired.
		old, foreign, late string
	}{
		{"both", model.GrantCheck{ChecksTokens: true, Expires: true}, CauseTerm, CauseUnit, CauseExpired},
		{"tokens only", model.GrantCheck{ChecksTokens: true}, CauseTerm, CauseUnit, ""},
		{"expiry only", model.GrantCheck{Expires: true}, "", CauseUnit, CauseExpired},
		{"neither", model.GrantCheck{}, "", "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGrants(c.check)
			g.Apply(fullBatch(4, 1, target.UnitGrant{Unit: "faq/1", Token: 9}), start)
			assert.Equal(t, g.Admit("faq/1", 8, 3, start), c.old)
			assert.Equal(t, g.Admit("faq/2", 1, 4, start), c.foreign)
			assert.Equal(t, g.Admit("faq/1", 9, 4, start.Add(ttl)), c.late)
			cause, _ := g.Apply(fullBatch(3, 1), start)
			assert.Equal(t, cause == CauseTerm, c.check.ChecksTokens)
		})
	}
}

func TestFenceRaisesOnlyTheTerm(t *testing.T) {
	g := strictGrants()
	one := target.UnitGrant{Unit: "faq/1", Token: 1}
	g.Apply(fullBatch(1, 1, one), start)
	fence := &target.GrantBatch{Term: 2, Sequence: 1, Fence: true}
	cause, revoked := g.Apply(fence, start.Add(time.Second))
	assert.Equal(t, cause, "")
	assert.Equal(t, len(revoked), 0)
	assert.Equal(t, g.Admit("faq/1", 1, 1, start), CauseTerm)
	assert.Equal(t, g.Admit("faq/1", 1, 2, start.Add(ttl-1)), "")
	assert.Equal(t, g.Admit("faq/1", 1, 2, start.Add(ttl)), CauseExpired, "a fence must not extend the grants")
	cause, _ = g.Apply(fence, start)
	assert.Equal(t, cause, CauseSequence)
	cause, _ = g.Apply(renewalBatch(1, 9, one), start)
	assert.Equal(t, cause, CauseTerm)
}

func TestUndividedServiceChecksOnlyTheTerm(t *testing.T) {
	g := strictGrants()
	g.Undivided = true
	g.Apply(fullBatch(4, 1), start)
	assert.Equal(t, g.Admit("", 0, 4, start), "")
	assert.Equal(t, g.Admit("", 0, 3, start), CauseTerm)
}
