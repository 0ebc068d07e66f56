package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
)

// Guards against a late reply to an order of an earlier term that counts as the reply to a fence.
func TestReplyToAnOrderOfAnEarlierTermProvesNothing(t *testing.T) {
	k, spec := servingKeeper(320 * time.Millisecond)
	d := k.duties["t"]
	spec.Grants = model.GrantCheck{ChecksTokens: true}
	d.spec = spec
	k.sendGrant(time.Millisecond, d, false) // its reply is late
	assert.Equal(t, d.outstanding, uint64(1))
	lost := &GrantorRecord{Target: "t", Term: 16, Router: Router{Name: "b", Incarnation: 1}}
	k.Step(10*time.Second, StoreChanged{Key: d.key, Revision: 2, Value: lost.Encode()})
	d.record = &GrantorRecord{Target: "t", Term: 24, Router: k.cfg.Self}
	k.startProof(10*time.Second, d, never)
	assert.Equal(t, d.phase, fencing)
	k.Step(10*time.Second+time.Millisecond, GrantResult{Target: "t", Sequence: 1, Accepted: true, Term: 8})
	assert.Equal(t, d.phase, fencing, "the fence under term 24 has not been answered")
}
