package linkbudget

import "time"

// Bucket bounds how many messages are sent in a time, whatever they are. A nil Bucket has no bound. It is not safe for
// concurrent use.
type Bucket struct {
	// perSecond is how many messages may be sent in a second, and burst how many at the same moment.
	perSecond, burst float64

	left float64
	at   time.Time
}

// NewBucket returns a full bucket for messages of a length in bytes that may take a part of a link, in bytes per second. A
// burst is what that part carries in a time. It returns nil if the rate of the link is unknown.
func NewBucket(bytesPerSecond, messageBytes float64, burst time.Duration) *Bucket {
	if bytesPerSecond <= 0 {
		return nil
	}
	perSecond := bytesPerSecond / messageBytes
	size := max(perSecond*burst.Seconds(), 1)
	return &Bucket{perSecond: perSecond, burst: size, left: size}
}

// Has reports whether n messages may be sent now.
func (b *Bucket) Has(now time.Time, n int) bool {
	if b == nil {
		return true
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.left, b.at = min(b.left+elapsed.Seconds()*b.perSecond, b.burst), now
	}
	return b.left >= float64(n)
}

// Take reports whether a message may be sent now, and counts it if so.
func (b *Bucket) Take(now time.Time) bool {
	if !b.Has(now, 1) {
		return false
	}
	if b != nil {
		b.left--
	}
	return true
}

// Next returns when the next message may be sent after Take has refused one.
func (b *Bucket) Next() time.Time {
	return b.at.Add(time.Duration((1 - b.left) / b.perSecond * float64(time.Second)))
}
