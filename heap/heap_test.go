package heap

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const mebibyte = 1 << 20

// underLoad returns the headroom after ten collections in quick succession.
func underLoad(live int64) headroom {
	h := newHeadroom()
	for range 10 {
		h.collected(30*time.Millisecond, live)
	}
	return h
}

func TestHeadroomGrowsUnderLoadUpToMaximum(t *testing.T) {
	h := underLoad(5 * mebibyte)
	assert.Equal(t, h.bytes, int64(maxHeadroom))
	assert.Equal(t, h.percent, 100*maxHeadroom/(5*mebibyte))
}

// Guards against a small VM that runs out of memory when thousands of requests arrive at
// once: load raises the percentage while the live heap is small, then 160 MiB are live.
// The percentage is relative to the live heap, so it must fall.
func TestPercentFallsWhenLiveHeapGrows(t *testing.T) {
	h := underLoad(5 * mebibyte)
	percent, changed := h.collected(30*time.Millisecond, 160*mebibyte)
	assert.Assert(t, changed)
	assert.Equal(t, percent, defaultPercent)
}

func TestHeadroomShrinksWhenIdle(t *testing.T) {
	h := underLoad(5 * mebibyte)
	var percent int
	for range 10 {
		percent, _ = h.collected(idleInterval+time.Second, 5*mebibyte)
	}
	assert.Equal(t, h.bytes, int64(minHeadroom))
	assert.Equal(t, percent, defaultPercent)
}

func TestSmallDifferencesKeepPercent(t *testing.T) {
	h := underLoad(8 * mebibyte)
	_, changed := h.collected(time.Second, 9*mebibyte)
	assert.Assert(t, !changed)
	_, changed = h.collected(time.Second, 16*mebibyte)
	assert.Assert(t, changed)
}

func TestPacerRecordsCollectionsUntilStopped(t *testing.T) {
	set := make(chan int, 16)
	p := newPacer(func(percent int) int { set <- percent; return defaultPercent }, time.Now().Add(time.Hour))
	p.arm()
	percent := defaultPercent
	for deadline := time.Now().Add(time.Minute); percent == defaultPercent; {
		assert.Assert(t, time.Now().Before(deadline), "no collection was recorded")
		runtime.GC()
		select {
		case percent = <-set:
		case <-time.After(10 * time.Millisecond):
		}
	}
	p.stop()
	assert.Assert(t, p.stopped)
	assert.Assert(t, !p.record(time.Now(), mebibyte))
}
