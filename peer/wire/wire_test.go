package wire

import (
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/core/membership"
	"tarragongw/core/spread"
)

func TestMembershipMessageSurvivesTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := membership.Message{
			Kind:          membership.Kind(rapid.IntRange(0, 9).Draw(t, "kind")),
			Version:       rapid.Uint32().Draw(t, "version"),
			Seq:           rapid.Uint64().Draw(t, "seq"),
			Target:        rapid.StringMatching(`[a-z0-9-]*`).Draw(t, "target"),
			Heard:         rapid.Bool().Draw(t, "heard"),
			Trying:        rapid.Bool().Draw(t, "trying"),
			SilentMembers: []string{"b", "c"},
			HearsNobody:   rapid.Bool().Draw(t, "deaf"),
			Leaving:       rapid.Bool().Draw(t, "leaving"),
			Revision:      rapid.Uint64().Draw(t, "revision"),
			RevisionAge:   time.Duration(rapid.IntRange(0, 1e9).Draw(t, "age")) * time.Millisecond,
			Silent:        time.Duration(rapid.IntRange(0, 1e6).Draw(t, "silent")) * time.Millisecond,
			DataCentre:    rapid.StringMatching(`[a-z-]*`).Draw(t, "dc"),
			Digests:       []membership.DCDigest{{DataCentre: "lapu", Sum: rapid.Uint64().Draw(t, "sum")}},
			Links:         []membership.Link{{From: "a", Incarnation: 2, DataCentre: "lapu", Seq: 3, Up: rapid.Bool().Draw(t, "up")}},
			Updates: []membership.Update{{
				Member:  membership.Member{Name: "a", DataCentre: "lapu", Address: "10.0.0.1:7000", Incarnation: rapid.Uint64().Draw(t, "inc")},
				Version: 7, State: membership.Lost, Leaving: true,
			}},
		}
		b, err := EncodeMembership(&m)
		assert.NilError(t, err)
		got, err := DecodeMembership(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	})
}

func TestSpreadMessageSurvivesTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := spread.Message{
			Kind: spread.Kind(rapid.IntRange(0, 14).Draw(t, "kind")), Root: "a", Seq: 4, Incarnation: 5,
			Sum: rapid.Uint64().Draw(t, "sum"), Max: rapid.Uint64().Draw(t, "max"), Reply: rapid.Bool().Draw(t, "reply"),
			Sums: []uint64{1, 1 << 63}, Group: 9, Items: []spread.Item{{Hash: 1 << 62, Revision: 8}},
			Hashes: []uint64{77}, After: "config/x", Done: rapid.Bool().Draw(t, "done"), Up: true, ReplyTo: "b",
			Rows: []spread.Row{{Router: "a", DataCentre: "lapu", State: "alive", Revision: 3, Age: time.Second, Reporter: "b"}},
			Entries: []spread.Entry{{
				Key: "config/x", Revision: 12, Class: spread.Configuration, Deleted: rapid.Bool().Draw(t, "deleted"),
				Value: []byte(rapid.StringN(1, -1, 64).Draw(t, "value")),
			}},
			Patches: []spread.Patch{{Key: "config/y", Revision: 9, Class: spread.Configuration, Base: 8, Sum: 1 << 63, Bytes: []byte{0}}},
		}
		b, err := EncodeSpread(&m)
		assert.NilError(t, err)
		got, err := DecodeSpread(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	})
}

// Guards against routers of an old version that drop the heartbeats of upgraded routers
// and declare them lost during a rolling upgrade. This happens if a decoder rejects fields
// and kinds that a newer minor version has added.
func TestUnknownFieldsAndKindsAreAccepted(t *testing.T) {
	m := membership.Message{Kind: membership.Heartbeat, Version: 3}
	b, err := EncodeMembership(&m)
	assert.NilError(t, err)
	b = protowire.AppendTag(b, 900, protowire.BytesType)
	b = protowire.AppendString(b, "from a newer version")
	got, err := DecodeMembership(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)

	unknownKind := protowire.AppendTag(nil, 1, protowire.VarintType)
	unknownKind = protowire.AppendVarint(unknownKind, 256+uint64(membership.Ping))
	got, err = DecodeMembership(unknownKind)
	assert.NilError(t, err)
	assert.Assert(t, got.Kind != membership.Ping, "an unknown kind must not turn into a known one")
}
