package linkbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// queueDelay sends a change to 63 followers, and with it an order half-way, on a slow link, and returns how long the order
// waits behind the change.
func queueDelay(l *Line, bytes int) time.Duration {
	now := time.Unix(1000, 0)
	orderAt := now.Add(40 * time.Millisecond)
	queued, last := 0.0, now
	for range 63 {
		at := now.Add(l.Turn(now, bytes))
		if at.After(orderAt) {
			break
		}
		queued = max(queued-at.Sub(last).Seconds()*slowLink, 0) + float64(bytes)
		last = at
	}
	queued = max(queued-orderAt.Sub(last).Seconds()*slowLink, 0)
	return time.Duration(queued / slowLink * float64(time.Second))
}

// Guards against orders that miss their time behind a change for all followers, which are sent it at the same moment: a
// table and the lists with it took a third of a second of the link.
func TestOrdersDoNotWaitBehindTheFeed(t *testing.T) {
	assert.Assert(t, queueDelay(nil, 6600) > 250*time.Millisecond)
	assert.Assert(t, queueDelay(NewLine(0.5*slowLink, 400*time.Millisecond), 6600) < 20*time.Millisecond)
}

// Guards against followers that lose their leader because its feed waits for its turn, and against a line that stays long
// after more than it carries.
func TestNoTurnIsLaterThanTheLongestWait(t *testing.T) {
	l := NewLine(1000, 400*time.Millisecond)
	now := time.Unix(1000, 0)
	for range 100 {
		assert.Assert(t, l.Turn(now, 1000) <= 400*time.Millisecond)
	}
	assert.Equal(t, l.Turn(now.Add(400*time.Millisecond), 1000), time.Duration(0))
	assert.Equal(t, NewLine(0, time.Second).Turn(now, 1e9), time.Duration(0))
}
