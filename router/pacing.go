package router

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/admission"
	"tarragongw/core/fault"
)

const (
	// maxBodyPatience bounds the wait for a caller that is not made up for by the least
	// rate. A phone that loses its network for a moment needs some.
	maxBodyPatience = 2 * time.Second
	// bodyPatienceShare is the part of a service's timeout that the patience takes at most.
	bodyPatienceShare = 4
	// cutRetryAfter is what a caller is advised whose body was cut.
	cutRetryAfter = time.Second
)

// pacing follows the bodies that arrive while their requests hold the target's slots.
type pacing struct {
	rate     int64
	patience time.Duration
	// bodies counts those under way, so that a target without any costs nothing.
	bodies atomic.Int64
	// rule belongs to the duty of health.
	rule admission.SlowBodyPolicy
}

func newPacing(rate int64, timeout time.Duration) pacing {
	patience := maxBodyPatience
	if timeout > 0 {
		patience = min(patience, timeout/bodyPatienceShare)
	}
	return pacing{rate: rate, patience: patience}
}

// pacedBody is a request's body as the target's connection reads it.
type pacedBody struct {
	io.ReadCloser

	mu   sync.Mutex
	pace admission.Pace
	// since is when the read under way began; zero where there is none.
	since time.Time
	// over says that the answer began: the caller may wait for more of it now before it
	// sends the rest.
	over bool
}

// follow begins to watch the body, unless all of it arrived before the slot was taken.
func (u *upstream) follow(req *http.Request, job *work) {
	if req.Body == nil || req.Body == http.NoBody || u.pacing.rate <= 0 {
		return
	}
	if req.ContentLength >= 0 && req.ContentLength <= prefetchBytes {
		return
	}
	u.pacing.bodies.Add(1)
	job.flight.body = &pacedBody{
		ReadCloser: req.Body,
		pace:       admission.NewPace(u.pacing.rate, u.pacing.patience),
	}
}

func (u *upstream) unfollow(job *work) {
	if job.flight.body != nil {
		u.pacing.bodies.Add(-1)
	}
}

// Read implements io.Reader. Only the time in it counts as the caller's, so that a
// slow target does not cut a good caller.
func (b *pacedBody) Read(p []byte) (int, error) {
	began := time.Now()
	b.begin(began)
	n, err := b.ReadCloser.Read(p)
	b.end(n, time.Since(began))
	return n, err
}

func (b *pacedBody) begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = now
}

func (b *pacedBody) end(n int, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Time{}
	b.pace.Arrived(n, waited)
}

// answered ends the watch; nil has none.
func (b *pacedBody) answered() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
}

// behind returns by how much the body is late; one that is not waited for is not.
func (b *pacedBody) behind(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over || b.since.IsZero() {
		return 0
	}
	return b.pace.Behind(now.Sub(b.since))
}

// heldUp reports whether more than half of the time went into waiting for the caller.
func (b *pacedBody) heldUp(elapsed time.Duration) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := time.Duration(0)
	if !b.since.IsZero() {
		waiting = time.Since(b.since)
	}
	return b.pace.Idle(waiting) > elapsed/2
}

// cutLaggards cuts bodies that are late while others wait for their slots.
func (u *upstream) cutLaggards(now time.Time) {
	if u.pacing.bodies.Load() == 0 {
		u.pacing.rule = admission.SlowBodyPolicy{}
		return
	}
	stats := u.gate.Stats()
	u.flights.cutLate(now, u.pacing.slow(), func(behind []time.Duration) []int {
		return u.pacing.rule.Choose(stats, behind)
	})
}

func (p *pacing) slow() *fault.Fault {
	f := fault.New(fault.BodyStalled, fmt.Sprintf("others wait for the target, and the body arrives at less than %d bytes a second", p.rate))
	f.RetryAfter = cutRetryAfter
	return f
}

// cutLate cuts the bodies that choose returns the places of.
func (f *flights) cutLate(now time.Time, reason *fault.Fault, choose func(behind []time.Duration) []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var followed []*flight
	var behind []time.Duration
	for fl := f.first; fl != nil; fl = fl.next {
		if fl.body != nil {
			followed = append(followed, fl)
			behind = append(behind, fl.body.behind(now))
		}
	}
	for _, place := range choose(behind) {
		followed[place].cut.AbortWith(reason)
	}
}
