package router

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/ownership"
	"tarragongw/kv/standin"
)

// Symptom: a router goes out of service, or is taken for ended while it acts.
// Sequence: it dies, its VM's clock steps back, and no other router answers at its start;
// later it meets one that knows its former life.
// Cause: it takes an incarnation below that of its former life, which the records name.
func TestIncarnationExceedsThoseInTheRecords(t *testing.T) {
	former := func(n uint64) ownership.Router { return ownership.Router{Name: "r1", Incarnation: n} }
	other := ownership.Router{Name: "r2", Incarnation: 99}
	for name, record := range map[string]ownership.GrantorRecord{
		"grantor":   {Target: "t", Term: 8, Router: former(7), Successors: []ownership.Router{other}},
		"successor": {Target: "t", Term: 8, Router: other, Successors: []ownership.Router{former(7)}},
		"writer":    {Target: "t", Term: 8, Router: other, Ops: ownership.Ops{{Router: former(7), Sequence: 1}}},
	} {
		r, err := newTestRouter(t, func(o *Options) {
			client := standin.New(standin.Config{}).Client("r1")
			_, err := client.CompareAndSwap(context.Background(), StorePrefix+ownership.GrantorKey("hall", "t"), 0, record.Encode())
			assert.NilError(t, err)
			o.Store, o.Directory, o.Incarnation = client, client, 5
		})
		assert.NilError(t, err)
		assert.Equal(t, r.self.Incarnation, uint64(8), name)
	}
}
