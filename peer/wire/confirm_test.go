package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"tarragongw/core/confirm"
	"tarragongw/peer/peerpb"

	"google.golang.org/protobuf/proto"
)

func TestConfirmationsSurviveTheWire(t *testing.T) {
	messages := []confirm.Message{
		{Kind: confirm.Question, Incarnation: 1 << 60, Sequence: 7, Reliable: true, Known: []confirm.Known{{Target: "t0", Revision: 3}, {Target: "t1"}}},
		{Kind: confirm.Answer, Incarnation: 1, Sequence: 8, Earlier: 7 * time.Millisecond, Changed: []confirm.Change{{Index: 1, Revision: 9, Value: []byte("v")}}},
		{Kind: confirm.Pending, Incarnation: 1, Sequence: 9},
		{Kind: confirm.Refusal, Incarnation: 1, Sequence: 10},
	}
	for _, m := range messages {
		b, err := EncodeConfirm(&m)
		assert.NilError(t, err)
		got, err := DecodeConfirm(b)
		assert.NilError(t, err)
		assert.Check(t, cmp.DeepEqual(got, m))
	}
}

func TestConfirmationsAreBounded(t *testing.T) {
	assertRefused := func(m *peerpb.Confirm, text string) {
		b, err := proto.Marshal(m)
		assert.NilError(t, err)
		_, err = DecodeConfirm(b)
		assert.ErrorContains(t, err, text)
	}
	assertRefused(&peerpb.Confirm{}, "unknown kind")
	assertRefused(&peerpb.Confirm{Kind: 9}, "unknown kind")
	tooMany := make([]*peerpb.KnownRecord, confirm.MaxTargets+1)
	for i := range tooMany {
		tooMany[i] = &peerpb.KnownRecord{}
	}
	assertRefused(&peerpb.Confirm{Kind: peerpb.Confirm_QUESTION, Known: tooMany}, "records")
	_, err := DecodeConfirm([]byte{0xff})
	assert.ErrorContains(t, err, "decode")
}
