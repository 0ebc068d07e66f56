package eventlog

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefusedRequestIsFoundByID(t *testing.T) {
	j := New(Config{Now: fixedClock})
	j.RecordRequest(Request{ID: "a", Service: "ledger", Code: "queue_full", Ran: "not-run"})
	r, ok := j.Request("a")
	assert.Assert(t, ok)
	assert.DeepEqual(t, r, Request{ID: "a", Time: start, Service: "ledger", Code: "queue_full", Ran: "not-run"})
	_, ok = j.Request("b")
	assert.Assert(t, !ok)
}

func TestRingOfRequestsIsBounded(t *testing.T) {
	const capacity = 8
	j := New(Config{Requests: capacity})
	for i := range 100 {
		j.RecordRequest(Request{ID: fmt.Sprint(i)})
	}
	assert.Equal(t, len(j.requests.ring), capacity)
	for i := range 100 {
		_, ok := j.Request(fmt.Sprint(i))
		assert.Equal(t, ok, i >= 100-capacity, "request %d", i)
	}
	last := j.Requests(3)
	assert.Equal(t, last[0].ID+last[1].ID+last[2].ID, "999897")
	assert.Equal(t, len(j.Requests(1000)), capacity)
	assert.Equal(t, len(j.Requests(-1)), 0)
}

// TestRepeatedIDFindsTheLatest guards against a lookup that finds no request, or an older one,
// if a caller uses one id for several requests. It would come about if the id were removed when
// an older request with the same id leaves the ring.
func TestRepeatedIDFindsTheLatest(t *testing.T) {
	j := New(Config{Requests: 3})
	for _, r := range []Request{{ID: "a", Code: "old"}, {ID: "b"}, {ID: "a", Code: "new"}, {ID: "c"}} {
		j.RecordRequest(r)
	}
	r, ok := j.Request("a")
	assert.Assert(t, ok)
	assert.Equal(t, r.Code, "new")
	j.RecordRequest(Request{ID: "d"})
	j.RecordRequest(Request{ID: "e"})
	_, ok = j.Request("a")
	assert.Assert(t, !ok)
}

// TestRequestLogLinesAreRateLimited guards against a router that spends its time under overload
// on logging, with a line for each of thousands of refusals per second.
func TestRequestLogLinesAreRateLimited(t *testing.T) {
	var output bytes.Buffer
	now := start
	j := New(Config{
		Now:          func() time.Time { return now },
		RequestLines: 5,
		Logger:       slog.New(slog.NewTextHandler(&output, nil)),
	})
	for i := range 1000 {
		j.RecordRequest(Request{ID: fmt.Sprint(i)})
	}
	assert.Equal(t, strings.Count(output.String(), "\n"), 5)
	now = now.Add(time.Second)
	j.RecordRequest(Request{ID: "later"})
	assert.Assert(t, strings.HasSuffix(output.String(), "suppressed=995\n"), output.String())
}

func BenchmarkRefused(b *testing.B) {
	j := New(Config{})
	ids := make([]string, 10_000)
	for i := range ids {
		ids[i] = fmt.Sprintf("request-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		j.RecordRequest(Request{ID: ids[i%len(ids)], Service: "ledger", Caller: "c", Code: "queue_full", Ran: "not-run"})
	}
}
