package linkbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const slowLink = 1.25e6 // bytes per second

// replay publishes a version to the followers whenever one is due, for two seconds in which the state changes all the time,
// and returns the versions and their bytes per second.
func replay(p *Pace, followers, versionBytes int64) (versions int, bytesPerSecond float64) {
	const length = 2 * time.Second
	began := time.Unix(1000, 0)
	var bytes int64
	for now := began; now.Before(began.Add(length)); now = now.Add(5 * time.Millisecond) {
		if now.Before(p.Due(bytes)) {
			continue
		}
		p.Sent(now, bytes)
		versions++
		bytes += followers * versionBytes
	}
	return versions, float64(bytes) / length.Seconds()
}

// Guards against a leader whose lists of relays alone fill its link: 63 followers got 17 lists a second of 1,600 bytes
// while a sixth of the targets was lost.
func TestListsToAllFollowersLeaveTheLinkFree(t *testing.T) {
	_, unpaced := replay(&Pace{Least: 50 * time.Millisecond}, 63, 1600)
	assert.Assert(t, unpaced > slowLink)
	p := &Pace{BytesPerSecond: 0.1 * slowLink, Least: 50 * time.Millisecond, Longest: 2 * time.Second}
	versions, paced := replay(p, 63, 1600)
	assert.Assert(t, paced <= 0.13*slowLink, "%.0f bytes a second", paced) // the last version is still to be paid for
	assert.Assert(t, versions >= 2)
}

// Guards against late routers where the link has room: it changes nothing there.
func TestMessagesAreNotLateOnLargeOrUnknownLinks(t *testing.T) {
	asBefore, _ := replay(&Pace{Least: 50 * time.Millisecond}, 63, 1600)
	large := &Pace{BytesPerSecond: 0.1 * 125e6, Least: 50 * time.Millisecond, Longest: 2 * time.Second}
	versions, _ := replay(large, 63, 1600)
	assert.Equal(t, versions, asBefore)
}

// Guards against routers that never hear of a change which is dear to tell.
func TestDearMessagesAreSentInTheEnd(t *testing.T) {
	versions, _ := replay(&Pace{BytesPerSecond: 1, Least: 50 * time.Millisecond, Longest: 500 * time.Millisecond}, 300, 1e6)
	assert.Equal(t, versions, 4)
}

// Guards against messages that are sent as fast as before because each waits in line for longer than the next one takes to
// be due, so that its cost is known too late.
func TestCostsThatAreKnownLateStillCount(t *testing.T) {
	p := &Pace{BytesPerSecond: 0.1 * slowLink, Least: 50 * time.Millisecond, Longest: 2 * time.Second}
	began := time.Unix(1000, 0)
	var sent []time.Time
	cost := func(now time.Time) (bytes int64) {
		for _, at := range sent {
			if now.Sub(at) >= 400*time.Millisecond {
				bytes += 63 * 1600
			}
		}
		return bytes
	}
	for now := began; now.Before(began.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if !now.Before(p.Due(cost(now))) {
			p.Sent(now, cost(now))
			sent = append(sent, now)
		}
	}
	assert.Assert(t, len(sent) >= 10 && len(sent) <= 26, "%d messages", len(sent)) // 12 would keep to the part exactly
}
