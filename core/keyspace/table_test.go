package keyspace

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// However the table is split and joined, each key stays in exactly one segment, and joining
// changes no key's holder.
func TestSegmentsCoverAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New("s")
		for range rapid.IntRange(0, 40).Draw(t, "cuts") {
			first := Key(rapid.IntRange(0, int(LastKey)).Draw(t, "first"))
			s := table.Find(first)
			last := Key(rapid.IntRange(int(first), int(s.To)).Draw(t, "last"))
			s = table.SplitOut(first, last)
			assert.Equal(t, s.From, first)
			assert.Equal(t, s.To, last)
			s.Holder = Holder{Target: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")}
			s.Token = table.TakeToken()
		}
		before := table.Clone()
		table.Join()
		assert.NilError(t, table.Check())
		for _, k := range []Key{0, 1, 4096, LastKey} {
			assert.Equal(t, table.Find(k).Holder, before.Find(k).Holder)
		}
	})
}

// A table with a gap, or with a token that could be issued again, is rejected: keys would have
// no holder or two.
func TestCheckRejectsGapsAndReusableTokens(t *testing.T) {
	for _, segments := range [][]Segment{
		nil, {{From: 0, To: 10}}, {{From: 0, To: 10}, {From: 12, To: LastKey}},
		{{From: 0, To: LastKey, Holder: Holder{Target: "a"}, Token: 2}},
	} {
		table := &Table{NextToken: 2, Segments: segments}
		assert.Assert(t, table.Check() != nil, "%v", segments)
	}
}
