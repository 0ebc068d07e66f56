// Package linkbudget divides the rate of a VM's network link among the messages of a leader, which
// would otherwise fill it: each change goes to all followers.
//
// The package is deterministic: times are parameters.
package linkbudget

import "time"

// Pace spaces messages by what the last of them has cost, so that they take no more than a part of the link. It is
// not safe for concurrent use.
type Pace struct {
	// BytesPerSecond is the part of the link; zero if the rate of the link is unknown.
	BytesPerSecond float64
	// Least is the time between two messages where they cost nothing, and Longest the longest, whatever they cost.
	Least, Longest time.Duration

	sentAt time.Time
	// sentBytes is what all messages before the last one had cost together, and cost what the one before it did.
	sentBytes, cost int64
}

// Due returns when the next message may be sent, given what all messages have cost so far, in bytes. It grows while
// the last one is still being sent to followers; until then that counts as much as the one before it.
func (p *Pace) Due(bytes int64) time.Time {
	return p.sentAt.Add(Interval(max(bytes-p.sentBytes, p.cost), p.BytesPerSecond, p.Least, p.Longest))
}

// Interval returns the time between messages of a cost in bytes that keep to a part of a link, in bytes per second: no
// less than least and, unless that is more, no longer than longest. It is least if the rate of the link is unknown.
func Interval(bytes int64, bytesPerSecond float64, least, longest time.Duration) time.Duration {
	if bytesPerSecond <= 0 {
		return least
	}
	seconds := float64(bytes) / bytesPerSecond
	return max(least, min(time.Duration(seconds*float64(time.Second)), longest))
}

// Sent records that a message is sent now, when all messages before it have cost so many bytes.
func (p *Pace) Sent(now time.Time, bytes int64) {
	p.sentAt, p.sentBytes, p.cost = now, bytes, bytes-p.sentBytes
}
