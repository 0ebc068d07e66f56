package telemetry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"tarragongw/core/fault"
)

// The number of services in the benchmarks and of callers of each.
const (
	benchServices = 4
	benchCallers  = 50
)

// recordAllSeries records a request for every combination of service, caller and class,
// so that each has its series.
func recordAllSeries(m *Telemetry) {
	for s := range benchServices {
		for c := range benchCallers {
			for _, class := range classes {
				m.RecordRequest(fmt.Sprintf("s%d", s), fmt.Sprintf("c%d", c), class, CodeOK, fault.RanFully, time.Millisecond)
			}
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the processor time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkReportInterval measures the cost of the series of 4 services with 50 callers
// each while there are no requests: the processor time per reporting interval and the
// memory per histogram.
func BenchmarkReportInterval(b *testing.B) {
	const interval, intervals = 5 * time.Millisecond, 200
	before := heapBytes()
	m := New(Config{Interval: interval, TopCallers: benchCallers, Sample: func() bool { return true }})
	defer m.Close()
	for range 2 * labelThreshold {
		recordAllSeries(m)
	}
	time.Sleep(10 * interval)
	perSeries := float64(heapBytes()-before) / (benchServices * benchCallers * float64(len(classes)))
	for b.Loop() {
		used := cpuTime(b)
		time.Sleep(intervals * interval)
		b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/intervals, "cpu-us/interval")
	}
	b.ReportMetric(perSeries, "B/histogram")
}

// BenchmarkScrape measures one scrape of the same series, compressed as for Prometheus.
func BenchmarkScrape(b *testing.B) {
	m := New(Config{TopCallers: benchCallers, Sample: func() bool { return true }})
	for range 2 * labelThreshold {
		recordAllSeries(m)
	}
	if err := m.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		recorder := httptest.NewRecorder()
		scrape := httptest.NewRequest(http.MethodGet, "/metrics", nil)
		scrape.Header.Set("Accept-Encoding", "gzip")
		m.Handler().ServeHTTP(recorder, scrape)
		b.ReportMetric(float64(recorder.Body.Len()), "B/scrape")
	}
}
