package crashguard

import (
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/quarantine"
	"tarragongw/internal/waittest"
)

// newTestWatch returns a watch that sends the suspects of each crash to a channel.
func newTestWatch(t *testing.T, active bool) (*watch, chan []quarantine.Suspect) {
	t.Helper()
	crashes := make(chan []quarantine.Suspect, 8)
	opts := &Options{
		Log: slog.New(slog.DiscardHandler), Lifetime: t.Context(), Run: func(job func()) { go job() }, Dial: (&net.Dialer{}).DialContext,
		IsActive: func(*Target) bool { return active },
	}
	return newWatch(opts, func(_ *Target, suspects []quarantine.Suspect) { crashes <- suspects }), crashes
}

// listen returns a target that accepts connections, and its listener.
func listen(t *testing.T) (*Target, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return &Target{Service: "s", ID: "t", Address: l.Addr().String()}, l
}

func suspectOf(n byte) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: quarantine.Fingerprint{n}, URIHash: uint64(n)}
}

func (w *watch) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.doubtful) == 0
}

// Guards against a target that counts as crashed because it closed a connection: its requests would be
// suspected, and others of the same content refused.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	w, crashes := newTestWatch(t, true)
	target, _ := listen(t)
	w.brokeOff(target, suspectOf(1))
	waittest.Until(t, "the checks have ended", w.idle)
	assert.Equal(t, len(crashes), 0)
}

// Guards against routers that open more connections to a target because that resets them when it is full.
func TestTargetThatResetsConnectionsIsCheckedRarely(t *testing.T) {
	w, _ := newTestWatch(t, true)
	target, listener := listen(t)
	var opened atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			_ = conn.Close()
		}
	}()
	for range 50 {
		w.brokeOff(target, suspectOf(1))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, int(opened.Load()) <= len(crashCheckDelays), "%d connections", opened.Load())
}

// Guards against requests that are suspected of a crash although their connections ended well before it.
func TestSendThatBrokeOffLongBeforeACrashIsNoSuspect(t *testing.T) {
	w, crashes := newTestWatch(t, true)
	target, _ := listen(t)
	w.brokeOff(target, suspectOf(1))
	time.Sleep(sendMemory + 100*time.Millisecond)
	w.brokeOff(target, suspectOf(2))
	w.connectFailed(target, syscall.ECONNREFUSED)
	assert.DeepEqual(t, <-crashes, []quarantine.Suspect{suspectOf(2)})
}

// Guards against requests that are suspected because their target ended as planned.
func TestEndOfDrainingTargetIsNoCrash(t *testing.T) {
	w, crashes := newTestWatch(t, false)
	target, listener := listen(t)
	assert.NilError(t, listener.Close())
	w.brokeOff(target, suspectOf(1))
	assert.Assert(t, w.idle())
	assert.Equal(t, len(crashes), 0)
}

// Guards against a crash that goes unnoticed because the system closes the target's connections before
// its listening socket, and against one that is reported without a request that it broke off.
func TestCrashIsReportedWithAllRequestsInFlight(t *testing.T) {
	w, crashes := newTestWatch(t, true)
	target, listener := listen(t)
	w.brokeOff(target, suspectOf(1))
	w.brokeOff(target, suspectOf(2))
	assert.NilError(t, listener.Close())
	assert.Equal(t, len(<-crashes), 2)
	w.brokeOff(target, suspectOf(3))
	assert.DeepEqual(t, <-crashes, []quarantine.Suspect{suspectOf(3)})
}

// Guards against a crash that is counted again because the target, which has no other name since, closes a
// connection after its restart.
func TestConnectionClosedAfterARestartIsNoSecondCrash(t *testing.T) {
	w, crashes := newTestWatch(t, true)
	target, listener := listen(t)
	assert.NilError(t, listener.Close())
	w.brokeOff(target, suspectOf(1))
	<-crashes
	restarted, err := net.Listen("tcp", target.Address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = restarted.Close() })
	time.Sleep(2 * sendMemory)
	w.brokeOff(target, suspectOf(2))
	waittest.Until(t, "the checks have ended", w.idle)
	assert.Equal(t, len(crashes), 0)
}

// Guards against memory that grows with the sends that targets break off.
func TestBrokenSendsAreBounded(t *testing.T) {
	w, _ := newTestWatch(t, true)
	target, _ := listen(t)
	for n := range 3 * maxDoubtful {
		other := *target
		other.StartUnixMilli = int64(n)
		w.brokeOff(&other, suspectOf(1))
	}
	for range 3 * maxBrokenSends {
		w.brokeOff(target, suspectOf(1))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, len(w.doubtful) <= maxDoubtful)
	for _, doubtful := range w.doubtful {
		assert.Assert(t, len(doubtful.sends) <= maxBrokenSends)
	}
}
