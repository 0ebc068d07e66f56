package keyspace

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Whatever is cut and joined, each key stays in exactly one segment, and a record says
// the same as the table that it was made of.
func TestSegmentsCoverAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New("s")
		for range rapid.IntRange(0, 40).Draw(t, "cuts") {
			first := Key(rapid.IntRange(0, int(LastKey)).Draw(t, "first"))
			s := table.Find(first)
			last := Key(rapid.IntRange(int(first), int(s.To)).Draw(t, "last"))
			s = table.Carve(first, last)
			assert.Equal(t, s.From, first)
			assert.Equal(t, s.To, last)
			s.Holder = Holder{Target: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")}
			s.Token = table.TakeToken()
		}
		before := table.Clone()
		table.Join()
		assert.NilError(t, table.check())
		for _, k := range []Key{0, 1, 4096, LastKey} {
			assert.Equal(t, table.Find(k).Holder, before.Find(k).Holder)
		}
		data, err := table.Encode()
		assert.NilError(t, err)
		again, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, table)
	})
}

// A record with a gap, or with a token that could be given out again, is refused: keys
// would have no holder or two.
func TestDecodeRefusesWhatCanNotHold(t *testing.T) {
	for _, record := range []string{
		`{`, `{"next":2,"segments":[]}`, `{"next":2,"segments":[{"f":0,"l":10}]}`,
		`{"next":2,"segments":[{"f":0,"l":10},{"f":12,"l":65535}]}`,
		`{"next":2,"segments":[{"f":0,"l":65535,"t":"a","n":2}]}`,
	} {
		_, err := Decode([]byte(record))
		assert.Assert(t, err != nil, record)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"next":2,"segments":[{"f":0,"l":65535,"t":"a","n":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := Decode(data)
		if err == nil {
			table.Find(0)
			table.Find(LastKey)
		}
	})
}
