package main

import (
	"context"
	"runtime"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/eventlog"
	"tarragongw/telemetry"
)

const (
	recordRounds = 5
	recordCalls  = 200_000
)

// measureRecord takes what one request's metrics cost, and what the record of a
// refused one costs, on one goroutine.
func measureRecord(_ context.Context, _ *settings, t *table) error {
	tel := telemetry.New(telemetry.Config{})
	log := eventlog.New(eventlog.Config{})
	var metrics, refused, metricAllocs, refusedAllocs []float64
	for range recordRounds {
		ns, allocs := timeCalls(func() {
			tel.RecordRequest(serviceName, "counter", request.Interactive, telemetry.CodeOK, fault.RanFully, time.Millisecond)
		})
		metrics, metricAllocs = append(metrics, ns), append(metricAllocs, allocs)
		ns, allocs = timeCalls(func() {
			log.RecordRequest(eventlog.Request{ID: "0123456789abcdef", Service: serviceName, Caller: "counter", Code: "queue_full", Ran: "not_run"})
		})
		refused, refusedAllocs = append(refused, ns), append(refusedAllocs, allocs)
	}
	t.add("record: metrics of a request", "ns", metrics...)
	t.add("record: allocations of a request's metrics", "count", metricAllocs...)
	t.add("record: journal entry of a refused request", "ns", refused...)
	t.add("record: allocations of a journal entry", "count", refusedAllocs...)
	return tel.Close()
}

// timeCalls returns nanoseconds and allocations of one call.
func timeCalls(call func()) (ns, allocs float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for range recordCalls {
		call()
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	return float64(took.Nanoseconds()) / recordCalls, float64(after.Mallocs-before.Mallocs) / recordCalls
}
