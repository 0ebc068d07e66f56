package gateway

import (
	"strconv"
	"sync"
	"time"
)

// maxAgeShare bounds the estimated age as a share of the longest time that callers of the route wait.
// A larger age is not credible, because some callers simply have less time than others.
const maxAgeShare = 0.75

// callerAges estimates how long callers have already waited before an attempt. It learns the longest
// time that callers of a route wait. A caller that retries after a refusal has less time left, and the
// difference is what it has already waited; its answer is late sooner by that much.
type callerAges struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// age returns how long the caller has waited before this attempt. header is the time in milliseconds
// for which the caller says it still waits.
func (a *callerAges) age(route, header string) time.Duration {
	millis, err := strconv.ParseInt(header, 10, 32)
	if err != nil || millis <= 0 {
		return 0
	}
	left := time.Duration(millis) * time.Millisecond
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.longest == nil {
		a.longest = map[string]time.Duration{}
	}
	longest := max(a.longest[route], left)
	a.longest[route] = longest
	if age := longest - left; float64(age) <= maxAgeShare*float64(longest) {
		return age
	}
	return 0
}
