package feed

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Guards against a leader on a slow link that sends tables which are out of date when their turn comes, and against
// followers that miss the last one.
func TestTablesOutOfDateAreNotSentOnASlowLink(t *testing.T) {
	const tables = 40
	var bytes [Parts]atomic.Int64
	leader := newTestLeader(t, func(s *Server) {
		s.Line = NewLine(15e3)
		s.OnBytes = func(part Part, n int) { bytes[part].Add(int64(n)) }
	})
	updates := make(chan *Update, 256)
	leader.follow(t, 7, updates)
	<-updates
	for i := range tables {
		table := keyspace.New("s")
		for k := keyspace.Key(100); k < 10000; k += 100 {
			table.SplitOut(k, k+99).Holder = keyspace.Holder{Target: fmt.Sprintf("target-%d-%d", i, k), StartUnixMilli: int64(k)}
		}
		leader.source.SetTable(Table{Revision: uint64(i + 1), Table: table})
		time.Sleep(10 * time.Millisecond)
	}
	received := 0
	for last := uint64(0); last < tables; {
		if u := <-updates; len(u.Tables) > 0 {
			last = u.Tables[0].Revision
			received++
		}
	}
	assert.Assert(t, received < tables/2, "%d of %d tables", received, tables)
	assert.Assert(t, bytes[PartTables].Load() > 1000 && bytes[PartHeartbeat].Load() > 0 && bytes[PartTargets].Load() == 0)
}
