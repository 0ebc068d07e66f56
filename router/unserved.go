package router

import (
	"time"

	"github.com/uber-go/tally/v4"

	"tarragongw/core/ownership"
	"tarragongw/core/routing"
)

// unservedClock measures how long units are without service while they move: from
// the close of their old owner's gate to the write that names the next one.
type unservedClock struct {
	r      *Router
	closed map[routing.Unit]time.Duration
}

func newUnservedClock(r *Router) *unservedClock {
	return &unservedClock{r: r, closed: make(map[routing.Unit]time.Duration)}
}

// take follows one action of the ownership core. A unit that another grantor goes on
// with counts there from when that one took over.
func (c *unservedClock) take(now time.Duration, action ownership.Action) {
	switch a := action.(type) {
	case ownership.CloseSend:
		for _, unit := range a.Units {
			c.closed[unit] = now
		}
	case ownership.Assigned:
		began, known := c.closed[a.Unit]
		if !known {
			return
		}
		delete(c.closed, a.Unit)
		c.counter(a.Unit.Service).Inc((now - began).Milliseconds())
	}
}

func (c *unservedClock) counter(service string) tally.Counter {
	return c.r.tel.Scope().Tagged(map[string]string{"service": service}).Counter("unit_unserved_milliseconds_total")
}
