package wire

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/peerpb"
)

// Kinds of control messages used for rebalancing.
const (
	KindLoad        = "load"
	KindCompactLoad = "load.compact"
	KindMoves       = "moves"
)

const (
	// MaxUnitLoads is the maximum number of units in a load report.
	MaxUnitLoads = 2048
	// MaxUnitMoves is the maximum number of units in a move order.
	MaxUnitMoves = 1024
)

// EncodeLoad returns the payload of a load report. It truncates m.Units to the first
// MaxUnitLoads units.
func EncodeLoad(m *peerpb.LoadReport) ([]byte, error) {
	m.Units = m.Units[:min(len(m.Units), MaxUnitLoads)]
	b, err := proto.Marshal(m)
	return b, errors.Wrap(err, "encode load report")
}

// DecodeLoad reads the payload of a load report. It refuses a report with more than
// MaxUnitLoads units or with a load that is NaN, negative, or 1e9 or more.
func DecodeLoad(b []byte) (*peerpb.LoadReport, error) {
	m := new(peerpb.LoadReport)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode load report")
	}
	return validateLoad(m)
}

func validateLoad(m *peerpb.LoadReport) (*peerpb.LoadReport, error) {
	if len(m.Units) > MaxUnitLoads {
		return nil, errors.Errorf("load report of %d units", len(m.Units))
	}
	for _, u := range m.Units {
		if !(u.Load >= 0 && u.Load < 1e9) || !(u.HotLoad >= 0 && u.HotLoad < 1e9) {
			return nil, errors.Errorf("load report has a load outside [0, 1e9) for unit %s", u.Unit)
		}
	}
	return m, nil
}

// EncodeMoves returns the payload of a move order. It truncates m.Moves to the first
// MaxUnitMoves moves.
func EncodeMoves(m *peerpb.MoveOrder) ([]byte, error) {
	m.Moves = m.Moves[:min(len(m.Moves), MaxUnitMoves)]
	b, err := proto.Marshal(m)
	return b, errors.Wrap(err, "encode move order")
}

// DecodeMoves reads the payload of a move order. It refuses an order with more than
// MaxUnitMoves moves.
func DecodeMoves(b []byte) (*peerpb.MoveOrder, error) {
	m := new(peerpb.MoveOrder)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode move order")
	}
	if len(m.Moves) > MaxUnitMoves {
		return nil, errors.Errorf("move order of %d units", len(m.Moves))
	}
	return m, nil
}
