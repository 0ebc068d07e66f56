package gateway

import (
	"strconv"
	"sync"
	"time"
)

// ageMost bounds the age that is told from what a caller has left, as a part of its whole
// time: some callers begin with less than others.
const ageMost = 0.75

// patience learns how long the callers of a route wait in all. A caller that comes back
// after a refusal has less left than one that comes first, and the difference is what it
// has waited already; its answer is late that much sooner.
type patience struct {
	mu   sync.Mutex
	most map[string]time.Duration
}

// age is for how long the caller has waited before this attempt; left is the time in
// milliseconds that it says it still waits.
func (p *patience) age(route, left string) time.Duration {
	millis, err := strconv.ParseInt(left, 10, 32)
	if err != nil || millis <= 0 {
		return 0
	}
	now := time.Duration(millis) * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil {
		p.most = map[string]time.Duration{}
	}
	most := max(p.most[route], now)
	p.most[route] = most
	if age := most - now; float64(age) <= ageMost*float64(most) {
		return age
	}
	return 0
}
