package gateway

import (
	"strconv"
	"sync"
	"time"
)

// ageMost bounds the age that is told from what a caller has left, as a part of its whole
// time: some callers begin with less than others.
const maxAgeShare = 0.75

// patience learns how long the callers of a route wait in all. A caller that comes back
// after a refusal has less left than one that comes first, and the difference is what it
// has waited already; its answer is late that much sooner.
type callerAges struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// age is for how long the caller has waited before this attempt; left is the time in
// milliseconds that it says it still waits.
func (p *callerAges) age(route, header string) time.Duration {
	millis, err := strconv.ParseInt(header, 10, 32)
	if err != nil || millis <= 0 {
		return 0
	}
	left := time.Duration(millis) * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = map[string]time.Duration{}
	}
	longest := max(p.longest[route], left)
	p.longest[route] = longest
	if age := longest - left; float64(age) <= maxAgeShare*float64(longest) {
		return age
	}
	return 0
}
