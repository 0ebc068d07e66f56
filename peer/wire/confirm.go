package wire

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/confirm"
	"tarragongw/peer/peerpb"
)

// KindConfirm is the kind of control message that carries a confirmation message.
const KindConfirm = "confirm"

// EncodeConfirm returns the payload of a confirmation message.
func EncodeConfirm(m *confirm.Message) ([]byte, error) {
	p := &peerpb.Confirm{Kind: peerpb.Confirm_Kind(m.Kind), Life: m.Incarnation, Sequence: m.Sequence, Surely: m.Reliable, EarlierUs: uint32(m.Earlier / time.Microsecond)}
	for _, k := range m.Known {
		p.Known = append(p.Known, &peerpb.KnownRecord{Target: k.Target, Revision: k.Revision})
	}
	for _, c := range m.Changed {
		p.Changed = append(p.Changed, &peerpb.ChangedRecord{Index: uint32(c.Index), Revision: c.Revision, Value: c.Value})
	}
	b, err := proto.Marshal(p)
	return b, errors.Wrap(err, "encode confirmation")
}

// DecodeConfirm reads the payload of a confirmation message. It refuses a message of a
// kind that this version does not know and one with more than confirm.MaxTargets records
// of either sort.
func DecodeConfirm(b []byte) (confirm.Message, error) {
	p := new(peerpb.Confirm)
	if err := proto.Unmarshal(b, p); err != nil {
		return confirm.Message{}, errors.Wrap(err, "decode confirmation")
	}
	if p.Kind < peerpb.Confirm_QUESTION || p.Kind > peerpb.Confirm_REFUSAL {
		return confirm.Message{}, errors.Errorf("confirmation of unknown kind %d", p.Kind)
	}
	if len(p.Known) > confirm.MaxTargets || len(p.Changed) > confirm.MaxTargets {
		return confirm.Message{}, errors.Errorf("confirmation with %d known and %d changed records", len(p.Known), len(p.Changed))
	}
	m := confirm.Message{Kind: confirm.Kind(p.Kind), Incarnation: p.Life, Sequence: p.Sequence, Reliable: p.Surely, Earlier: time.Duration(p.EarlierUs) * time.Microsecond}
	for _, k := range p.Known {
		m.Known = append(m.Known, confirm.Known{Target: k.Target, Revision: k.Revision})
	}
	for _, c := range p.Changed {
		m.Changed = append(m.Changed, confirm.Change{Index: int(c.Index), Revision: c.Revision, Value: c.Value})
	}
	return m, nil
}
