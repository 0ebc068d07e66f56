package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

func TestTableRecordRoundTrip(t *testing.T) {
	table := keyspace.New("s")
	s := table.SplitOut(100, 200)
	s.Holder, s.Moving, s.HolderUnreachable = keyspace.Holder{Target: "a", StartUnixMilli: 7}, true, true
	s.Token = table.TakeToken()
	data, err := encodeTable(table)
	assert.NilError(t, err)
	again, err := decodeTable(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, table)
}

func FuzzDecodeTable(f *testing.F) {
	f.Add([]byte(`{"next":2,"segments":[{"f":0,"l":65535,"t":"a","n":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := decodeTable(data)
		if err == nil {
			table.Find(0)
			table.Find(keyspace.LastKey)
		}
	})
}
