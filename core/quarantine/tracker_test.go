package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func suspectOf(n int) Suspect {
	return Suspect{Fingerprint: Fingerprint{byte(n >> 16), byte(n >> 8), byte(n)}, URIHash: uint64(n)}
}

func instanceOf(n int) Instance { return Instance{Target: fmt.Sprint("t-", n), StartUnixMilli: 1} }

// crash reports a crash of instance n with the suspects in flight.
func crash(t *Tracker, now time.Time, n int, suspects ...int) []Entry {
	c := Crash{Service: "s", Instance: instanceOf(n)}
	for _, s := range suspects {
		c.Suspects = append(c.Suspects, suspectOf(s))
	}
	_, refused := t.Observe(now, "router", &Observations{Crashes: []Crash{c}})
	return refused
}

func find(t *Tracker, n int) *Entry { return NewSet(t.Entries()).Find(suspectOf(n)) }

func isRefused(t *Tracker, n int) bool {
	e := find(t, n)
	return e != nil && e.Refused()
}

func only(n int) []Fingerprint { return []Fingerprint{suspectOf(n).Fingerprint} }

func TestRequestIsRefusedAtTheThirdCrash(t *testing.T) {
	tracker := NewTracker()
	for n := range Threshold {
		assert.Assert(t, !isRefused(tracker, 1))
		now := epoch.Add(time.Duration(n) * time.Minute)
		assert.Equal(t, len(crash(tracker, now, n, 1)), n/(Threshold-1))
	}
	assert.Assert(t, isRefused(tracker, 1))
}

// Guards against one crash that counts as several because several routers had the request in flight, or
// told of it again.
// Guards against an upload that crashes targets before enough of it is known: routers learn after the first crash to await its content.
func TestHeadIsListedAtTheFirstCrashAndNeverRefused(t *testing.T) {
	tracker := NewTracker()
	head := Suspect{Fingerprint: (&Content{Method: "POST", URI: "/upload"}).HeadFingerprint(), URIHash: HashURI("/upload")}
	for n := range 2 * Threshold {
		c := Crash{Service: "s", Instance: instanceOf(n), Suspects: []Suspect{head}}
		_, refused := tracker.Observe(epoch.Add(time.Duration(n)*time.Second), "router", &Observations{Crashes: []Crash{c}})
		assert.Equal(t, len(refused), 0)
		set := NewSet(tracker.Entries())
		assert.Assert(t, set.Resembles("/upload") && !set.Find(head).Refused())
	}
	tracker.Observe(epoch.Add(time.Minute+suspectTTL), "router", &Observations{})
	assert.Equal(t, len(tracker.Entries()), 0)
	assert.Assert(t, !(&Content{Method: "POST", URI: "/upload"}).Fingerprint().OfHead())
}

func TestCrashThatSeveralRoutersReportCountsOnce(t *testing.T) {
	tracker := NewTracker()
	for range 2 * Threshold {
		crash(tracker, epoch, 1, 1)
	}
	assert.Assert(t, find(tracker, 1) == nil)
	unnamed := &Observations{Crashes: []Crash{{Service: "s", Instance: Instance{Target: "t"}, Suspects: []Suspect{suspectOf(2)}}}}
	for n := range 4 {
		tracker.Observe(epoch.Add(time.Duration(n)*sameCrashWithin/8), "router", unnamed)
	}
	assert.Assert(t, find(tracker, 2) == nil)
	tracker.Observe(epoch.Add(10*sameCrashWithin), "router", unnamed)
	assert.Equal(t, find(tracker, 2).Crashes, 2)
}

// Guards against a popular request that is refused although it was answered between the crashes at which
// it was in flight.
func TestAnswerClearsRequest(t *testing.T) {
	tracker := NewTracker()
	for n := range 4 * Threshold {
		crash(tracker, epoch, n, 1)
		tracker.Observe(epoch, "router", &Observations{Answered: only(1)})
		assert.Assert(t, find(tracker, 1) == nil)
	}
}

// Guards against a request that is tried again and again: it may crash three more targets at most.
func TestTrialsAreFew(t *testing.T) {
	tracker, crashes, tried := NewTracker(), 0, 0
	for now := epoch; now.Before(epoch.Add(48 * time.Hour)); now = now.Add(30 * time.Second) {
		if crashes >= Threshold {
			tracker.Observe(now, "router", &Observations{Refused: only(1)})
			if find(tracker, 1).TrialRouter == "" {
				continue
			}
			tracker.Observe(now, "router", &Observations{Tried: only(1)})
			tried++
		}
		crash(tracker, now, crashes, 1)
		crashes++
	}
	assert.Equal(t, tried, MaxTrials)
	assert.Assert(t, isRefused(tracker, 1))
}

// Guards against innocent requests that stay refused because they were in flight at the same crashes
// as the guilty one, and against trials that can't tell which one it was.
func TestRequestsInFlightAtTheSameCrashesAreTriedOneByOne(t *testing.T) {
	tracker := NewTracker()
	now := epoch
	for n := range Threshold {
		now = now.Add(time.Minute)
		crash(tracker, now, n, 1, 2, 3)
	}
	tracker.Observe(now, "a", &Observations{Refused: only(1)})
	assert.Equal(t, find(tracker, 1).TrialRouter, "a")
	tracker.Observe(now, "b", &Observations{Refused: only(2)})
	assert.Equal(t, find(tracker, 2).TrialRouter, "", "another one is tried")
	tracker.Observe(now, "a", &Observations{Tried: only(1)})
	tracker.Observe(now, "a", &Observations{Answered: only(1)})
	assert.Assert(t, find(tracker, 1) == nil)
	tracker.Observe(now, "b", &Observations{Refused: only(2)})
	assert.Equal(t, find(tracker, 2).TrialRouter, "b")
	tracker.Observe(now, "b", &Observations{Tried: only(2)})
	crash(tracker, now, Threshold, 2)
	tracker.Observe(now, "c", &Observations{Refused: only(3)})
	assert.Equal(t, find(tracker, 3).TrialRouter, "c")
	tracker.Observe(now, "c", &Observations{Tried: only(3)})
	tracker.Observe(now, "c", &Observations{Answered: only(3)})
	tracker.Observe(now, "b", &Observations{Refused: only(2)})
	assert.Equal(t, find(tracker, 2).TrialRouter, "", "it was tried alone")
}

// Guards against requests that stay refused because a data centre lost power with them in flight.
func TestCrashesAtTheSameMomentAreFollowedByATrial(t *testing.T) {
	tracker := NewTracker()
	for n := range 2 * Threshold {
		crash(tracker, epoch, n, 1)
	}
	tracker.Observe(epoch, "a", &Observations{Refused: only(1)})
	assert.Equal(t, find(tracker, 1).TrialRouter, "a")
}

func TestUnusedTrialFollowsTheRequest(t *testing.T) {
	tracker := NewTracker()
	for n := range Threshold {
		crash(tracker, epoch, n, 1)
	}
	tracker.Observe(epoch, "a", &Observations{Refused: only(1)})
	tracker.Observe(epoch, "b", &Observations{Refused: only(1)})
	assert.Equal(t, find(tracker, 1).TrialRouter, "a")
	tracker.Observe(epoch.Add(reassignAfter), "b", &Observations{Refused: only(1)})
	assert.Equal(t, find(tracker, 1).TrialRouter, "b")
}

// Guards against memory that grows with the requests that crash targets, and against a refused request
// that is sent again because many others were in flight at crashes.
func TestManySuspectsPushNoRefusedRequestOut(t *testing.T) {
	tracker := NewTracker()
	for n := range Threshold {
		crash(tracker, epoch, n, 0)
	}
	for n := range 2 * maxEntries {
		service := fmt.Sprint("other-", n%7)
		c := Crash{Service: service, Instance: instanceOf(10 + n), Suspects: []Suspect{suspectOf(1 + n)}}
		tracker.Observe(epoch.Add(time.Duration(n)*time.Millisecond), "router", &Observations{Crashes: []Crash{c}})
		crash(tracker, epoch.Add(time.Duration(n)*time.Millisecond), 10+n, 1_000_000+n)
	}
	assert.Assert(t, len(tracker.entries) <= maxEntries)
	assert.Assert(t, isRefused(tracker, 0))
}

// Guards against a service in which no more requests can be refused because many are already.
func TestManyRefusedRequestsLeaveRoomForOthers(t *testing.T) {
	tracker := NewTracker()
	for n := range 2 * maxPerService {
		for c := range Threshold {
			crash(tracker, epoch.Add(time.Duration(n)*time.Second), n*Threshold+c, n)
		}
	}
	assert.Assert(t, len(tracker.entries) <= maxPerService)
	assert.Assert(t, isRefused(tracker, 2*maxPerService-1))
}

func TestSuspicionEndsButRefusalDoesNot(t *testing.T) {
	tracker := NewTracker()
	crash(tracker, epoch, 1, 1)
	for n := range Threshold {
		crash(tracker, epoch, n, 2)
	}
	tracker.Observe(epoch.Add(suspectTTL), "router", &Observations{})
	assert.Assert(t, !tracker.Known(suspectOf(1).Fingerprint))
	assert.Assert(t, isRefused(tracker, 2))
	tracker.Observe(epoch.Add(suspectTTL), "router", &Observations{Released: only(2)})
	assert.Assert(t, !isRefused(tracker, 2))
}

func TestReplacedListIsContinued(t *testing.T) {
	tracker, next := NewTracker(), NewTracker()
	for n := range Threshold - 1 {
		crash(tracker, epoch, n, 1)
	}
	next.Replace(tracker.Entries())
	crash(next, epoch, 0, 1)
	assert.Assert(t, !isRefused(next, 1), "a known crash")
	crash(next, epoch, Threshold, 1)
	assert.Assert(t, isRefused(next, 1))
}
