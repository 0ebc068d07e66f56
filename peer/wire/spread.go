package wire

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/spread"
	"tarragongw/peer/peerpb"
)

// EncodeSpread returns the payload of a dissemination message.
func EncodeSpread(m *spread.Message) ([]byte, error) {
	p := &peerpb.SpreadMessage{
		Kind: uint32(m.Kind), Root: m.Root, Seq: m.Seq, Life: m.Incarnation,
		Sum: m.Sum, Max: m.Max, Reply: m.Reply, Sums: m.Sums,
		Group: m.Group, Hashes: m.Hashes, After: m.After, Done: m.Done,
		Up: m.Up, ReplyTo: m.ReplyTo,
	}
	for _, item := range m.Items {
		p.Items = append(p.Items, &peerpb.SpreadItem{Hash: item.Hash, Revision: item.Revision})
	}
	for i := range m.Rows {
		p.Rows = append(p.Rows, encodeRow(&m.Rows[i]))
	}
	for i := range m.Entries {
		p.Entries = append(p.Entries, encodeEntry(&m.Entries[i]))
	}
	for i := range m.Patches {
		p.Patches = append(p.Patches, encodePatch(&m.Patches[i]))
	}
	b, err := proto.Marshal(p)
	return b, errors.Wrap(err, "encode spread message")
}

func encodePatch(p *spread.Patch) *peerpb.SpreadPatch {
	return &peerpb.SpreadPatch{
		Key: p.Key, Revision: p.Revision, Class: uint32(p.Class), Base: p.Base, Sum: p.Sum, Patch: p.Bytes,
	}
}

func decodePatch(p *peerpb.SpreadPatch) spread.Patch {
	return spread.Patch{
		Key: p.Key, Revision: p.Revision, Class: spread.Class(saturateUint8(p.Class)), Base: p.Base, Sum: p.Sum, Bytes: p.Patch,
	}
}

func encodeRow(r *spread.Row) *peerpb.SpreadRow {
	return &peerpb.SpreadRow{
		Router: r.Router, DataCentre: r.DataCentre, State: r.State,
		Revision: r.Revision, AgeMs: millis(r.Age), Reporter: r.Reporter,
	}
}

func encodeEntry(e *spread.Entry) *peerpb.SpreadEntry {
	return &peerpb.SpreadEntry{
		Key: e.Key, Revision: e.Revision, Class: uint32(e.Class), Deleted: e.Deleted, Value: e.Value,
	}
}

// DecodeSpread reads the payload of a dissemination message.
func DecodeSpread(b []byte) (spread.Message, error) {
	var p peerpb.SpreadMessage
	if err := proto.Unmarshal(b, &p); err != nil {
		return spread.Message{}, errors.Wrap(err, "decode spread message")
	}
	m := spread.Message{
		Kind: spread.Kind(saturateUint8(p.Kind)), Root: p.Root, Seq: p.Seq, Incarnation: p.Life,
		Sum: p.Sum, Max: p.Max, Reply: p.Reply, Sums: p.Sums,
		Group: p.Group, Hashes: p.Hashes, After: p.After, Done: p.Done,
		Up: p.Up, ReplyTo: p.ReplyTo,
	}
	for _, item := range p.Items {
		m.Items = append(m.Items, spread.Item{Hash: item.Hash, Revision: item.Revision})
	}
	for _, r := range p.Rows {
		m.Rows = append(m.Rows, decodeRow(r))
	}
	for _, e := range p.Entries {
		m.Entries = append(m.Entries, decodeEntry(e))
	}
	for _, patch := range p.Patches {
		m.Patches = append(m.Patches, decodePatch(patch))
	}
	return m, nil
}

func decodeRow(r *peerpb.SpreadRow) spread.Row {
	return spread.Row{
		Router: r.Router, DataCentre: r.DataCentre, State: r.State,
		Revision: r.Revision, Age: clampDuration(r.AgeMs), Reporter: r.Reporter,
	}
}

func decodeEntry(e *peerpb.SpreadEntry) spread.Entry {
	return spread.Entry{
		Key: e.Key, Revision: e.Revision, Class: spread.Class(saturateUint8(e.Class)), Deleted: e.Deleted, Value: e.Value,
	}
}
