package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_000_000, 0).UTC()

func fixedClock() time.Time { return start }

// record adds n events of the kind, with the units s/0, s/1 and so on.
func record(j *Journal, kind Kind, n int) {
	for i := range n {
		j.Record(Event{Kind: kind, Service: "s", Unit: fmt.Sprintf("s/%d", i)})
	}
}

func TestEventIsKeptAndLoggedAsOneLine(t *testing.T) {
	var output bytes.Buffer
	j := New(Config{Now: fixedClock, Logger: slog.New(slog.NewTextHandler(&output, nil))})
	seq := j.Record(Event{
		Kind: OwnerChanged, Cause: "target lost\nlease lapsed", Service: "ledger", Unit: "ledger/7", Target: "t2",
		Fields: []Field{F("token", "9"), F("Proxy-Authorization", "Basic xyz")},
	})
	assert.Equal(t, seq, uint64(1))
	assert.Equal(t, strings.Count(output.String(), "\n"), 1)
	assert.Assert(t, strings.HasSuffix(output.String(), `level=INFO msg=event seq=1 kind=owner_changed `+
		`cause="target lost\nlease lapsed" service=ledger unit=ledger/7 target=t2 token=9 Proxy-Authorization=REDACTED`+"\n"),
		output.String())
	page := j.Events(0, Filter{})
	assert.Equal(t, len(page.Events), 1)
	assert.Equal(t, page.Events[0].Time, start)
	assert.Equal(t, page.Events[0].Fields[1].Value, redacted)
}

func TestEventIsBounded(t *testing.T) {
	j := New(Config{})
	fields := make([]Field, 100)
	for i := range fields {
		fields[i] = F(strings.Repeat("k", 1000), strings.Repeat("é", 1000))
	}
	j.Record(Event{Cause: strings.Repeat("x", 10_000), Fields: fields})
	e := j.Events(0, Filter{}).Events[0]
	assert.Equal(t, len(e.Cause), maxText)
	assert.Equal(t, len(e.Fields), maxFields)
	assert.Equal(t, e.Fields[0].Value, strings.Repeat("é", maxText/2))
	fields[0].Key = "changed later"
	assert.Equal(t, e.Fields[0].Key, strings.Repeat("k", maxKey))
}

func TestRingKeepsTheLastEventsAndCountsMissedOnes(t *testing.T) {
	const capacity = 10
	j := New(Config{Capacity: capacity})
	record(j, OwnerChanged, 25)
	page := j.Events(0, Filter{})
	assert.Equal(t, len(page.Events), capacity)
	assert.Equal(t, page.Events[0].Seq, uint64(16))
	assert.Equal(t, page.Missed, uint64(15))
	assert.Equal(t, page.Next, uint64(25))
	page = j.Events(20, Filter{})
	assert.Equal(t, len(page.Events), 5)
	assert.Equal(t, page.Missed, uint64(0))
	assert.Assert(t, cap(j.ring) <= capacity, "the ring holds %d", cap(j.ring))
}

func TestFilterAndLimit(t *testing.T) {
	now := start
	j := New(Config{Now: func() time.Time { return now }})
	record(j, OwnerChanged, 3)
	now = now.Add(time.Minute)
	record(j, ConfigApplied, 2)
	j.Record(Event{Kind: TargetEjected, Target: "t1", Router: "r1", Caller: "c1"})
	count := func(f Filter) int { return len(j.Events(0, f).Events) }
	assert.Equal(t, count(Filter{}), 6)
	assert.Equal(t, count(Filter{Kinds: []Kind{ConfigApplied, TargetEjected}}), 3)
	assert.Equal(t, count(Filter{Service: "s"}), 5)
	assert.Equal(t, count(Filter{Unit: "s/1"}), 2)
	assert.Equal(t, count(Filter{Target: "t1", Router: "r1", Caller: "c1"}), 1)
	assert.Equal(t, count(Filter{Target: "t1", Router: "r2"}), 0)
	assert.Equal(t, count(Filter{After: now}), 3)
	page := j.Events(0, Filter{Unit: "s/0", Limit: 1})
	assert.Equal(t, page.Next, uint64(1))
	page = j.Events(page.Next, Filter{Unit: "s/0", Limit: 1})
	assert.Equal(t, page.Events[0].Kind, ConfigApplied)
	assert.Equal(t, page.Next, uint64(4))
}

// TestSequenceNumberOfAnEarlierInstanceReadsFromTheOldest guards against `events --follow`
// showing nothing after a restart of the router: the client asks for events after a sequence
// number of the earlier instance, which the new instance reaches much later.
func TestSequenceNumberOfAnEarlierInstanceReadsFromTheOldest(t *testing.T) {
	j := New(Config{})
	record(j, OwnerChanged, 2)
	page := j.Events(5000, Filter{})
	assert.Equal(t, len(page.Events), 2)
	assert.Equal(t, page.Next, uint64(2))
}

func TestFollowReturnsEachEventOnce(t *testing.T) {
	const events = 500
	j := New(Config{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var seen []uint64
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		since := uint64(0)
		for len(seen) < events {
			page, err := j.Follow(ctx, since, Filter{Kinds: []Kind{OwnerChanged}})
			if err != nil {
				return
			}
			since = page.Next
			for _, e := range page.Events {
				seen = append(seen, e.Seq)
			}
		}
	}()
	for range events {
		j.Record(Event{Kind: ConfigApplied})
		j.Record(Event{Kind: OwnerChanged})
	}
	reader.Wait()
	assert.Equal(t, len(seen), events)
	for i, seq := range seen {
		assert.Equal(t, seq, uint64(2*i+2))
	}
}

func TestFollowEndsWithItsContext(t *testing.T) {
	j := New(Config{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := j.Follow(ctx, 0, Filter{})
	assert.ErrorIs(t, err, context.Canceled)
}

func TestNilJournalDropsEverything(t *testing.T) {
	var j *Journal
	assert.Equal(t, j.Record(Event{Kind: OwnerChanged}), uint64(0))
	j.RecordRequest(Request{ID: "1"})
	_, ok := j.Request("1")
	assert.Assert(t, !ok)
	assert.Equal(t, len(j.Requests(5))+len(j.Events(0, Filter{}).Events), 0)
}

func BenchmarkRecord(b *testing.B) {
	loggers := map[string]*slog.Logger{
		"kept":   nil,
		"logged": slog.New(slog.NewTextHandler(discardWriter{}, nil)),
	}
	for _, name := range []string{"kept", "logged"} {
		b.Run(name, func(b *testing.B) {
			j := New(Config{Logger: loggers[name]})
			e := Event{
				Kind: OwnerChanged, Cause: "target lost", Service: "ledger", Unit: "ledger/7", Target: "t2",
				Fields: []Field{F("token", "9"), F("from", "t1")},
			}
			b.ReportAllocs()
			for b.Loop() {
				j.Record(e)
			}
		})
	}
}

// discardWriter discards its input in a way that slog can't detect, so that the benchmark
// includes the formatting of the lines.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
