package wire

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/peerpb"
)

// loadScale is the fixed-point scale of a load in a CompactLoad: loads are encoded in
// ten-thousandths of a slot. The load of a unit differs by far more than that between two
// intervals.
const loadScale = 10000

// EncodeCompactLoad returns the payload of a load report that identifies hash slots by
// number. It keeps the first MaxUnitLoads units and does not preserve their order.
func EncodeCompactLoad(m *peerpb.LoadReport) ([]byte, error) {
	out := &peerpb.CompactLoad{Service: m.Service, Target: m.Target, Term: m.Term}
	units := slices.Clone(m.Units[:min(len(m.Units), MaxUnitLoads)])
	slices.SortStableFunc(units, func(x, y *peerpb.UnitLoad) int { return hotKeyRank(x) - hotKeyRank(y) })
	for _, u := range units {
		slot, ok := parseSlot(m.Service, u.Unit)
		if !ok {
			out.Named = append(out.Named, u)
			continue
		}
		if u.AtMostOnce {
			out.AtMostOnce = append(out.AtMostOnce, uint32(len(out.Slots)))
		}
		if u.HotKeyHash != 0 {
			out.HotKeyHashes = append(out.HotKeyHashes, u.HotKeyHash)
			out.HotLoads = append(out.HotLoads, scaleLoad(u.HotLoad))
		}
		out.Slots = append(out.Slots, slot)
		out.Loads = append(out.Loads, scaleLoad(u.Load))
	}
	b, err := proto.Marshal(out)
	return b, errors.Wrap(err, "encode compact load report")
}

// hotKeyRank is the sort key that puts units with a hot key first. DecodeCompactLoad
// assigns the hot keys to the first slots.
func hotKeyRank(u *peerpb.UnitLoad) int {
	if u.HotKeyHash != 0 {
		return 0
	}
	return 1
}

// parseSlot returns the hash slot's number if the unit is a hash slot of the service.
func parseSlot(service, unit string) (uint32, bool) {
	number, found := strings.CutPrefix(unit, service+"/")
	if !found {
		return 0, false
	}
	slot, err := strconv.ParseUint(number, 10, 32)
	return uint32(slot), err == nil
}

func scaleLoad(load float64) uint32 {
	return uint32(min(math.Round(load*loadScale), math.MaxUint32))
}

// DecodeCompactLoad reads the payload of a load report that identifies hash slots by
// number. It refuses what DecodeLoad refuses, and also parallel fields whose lengths don't
// match and at-most-once indexes that are out of range.
func DecodeCompactLoad(b []byte) (*peerpb.LoadReport, error) {
	m := new(peerpb.CompactLoad)
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode compact load report")
	}
	if len(m.Slots) > MaxUnitLoads || len(m.Loads) != len(m.Slots) ||
		len(m.HotLoads) != len(m.HotKeyHashes) || len(m.HotLoads) > len(m.Slots) {
		return nil, errors.Errorf("compact load report of %d slots with %d loads and %d hot keys", len(m.Slots), len(m.Loads), len(m.HotLoads))
	}
	out := &peerpb.LoadReport{Service: m.Service, Target: m.Target, Term: m.Term, Units: m.Named}
	slotLoads := make([]peerpb.UnitLoad, len(m.Slots))
	for i, slot := range m.Slots {
		slotLoads[i].Unit = m.Service + "/" + strconv.FormatUint(uint64(slot), 10)
		slotLoads[i].Load = float64(m.Loads[i]) / loadScale
		if i < len(m.HotLoads) {
			slotLoads[i].HotKeyHash, slotLoads[i].HotLoad = m.HotKeyHashes[i], float64(m.HotLoads[i])/loadScale
		}
		out.Units = append(out.Units, &slotLoads[i])
	}
	for _, index := range m.AtMostOnce {
		if int(index) >= len(slotLoads) {
			return nil, errors.Errorf("compact load report of %d slots marks the slot at index %d as at-most-once", len(slotLoads), index)
		}
		slotLoads[index].AtMostOnce = true
	}
	return validateLoad(out)
}
