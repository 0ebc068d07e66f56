package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
	"tarragongw/core/retry"
	"tarragongw/core/routes"
)

// pollEvery is how often requests that wait for a place are looked at again: what is
// believed of the other routers' work fades within a fifth of a second.
const pollInterval = 10 * time.Millisecond

// service is what the router keeps for one service: the decisions of core/dispatch behind
// a lock, and the requests that wait.
type service struct {
	name  string
	byKey bool

	mu      sync.Mutex
	core    *dispatch.Service
	budget  *retry.Budget
	waiting map[uint64]chan dispatch.Decision
	lastID  uint64
	timer   *time.Timer
	// table is the division of keys that is in force.
	table *keyspace.Table
	// changed is closed when the table changes.
	changed chan struct{}
	keyLoad *keySamples
}

func newService(spec routes.Service, dataCentre string, budget *retry.Budget) *service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &service{
		name: spec.Name, byKey: spec.ByKey, core: dispatch.New(dataCentre, spec.ByKey, random), budget: budget,
		waiting: map[uint64]chan dispatch.Decision{}, changed: make(chan struct{}), keyLoad: &keySamples{},
	}
}

// setTargets puts the service's targets in force.
func (s *service) setTargets(targets []directory.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetTargets(targets)
	s.poll(time.Now())
}

// setTable puts a division of the keys in force.
func (s *service) setTable(t *keyspace.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table = t
	close(s.changed)
	s.changed = make(chan struct{})
	s.core.SetTable(t)
	s.poll(now)
}

// currentTable returns the division in force and what is closed when it changes.
func (s *service) currentTable() (*keyspace.Table, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.changed
}

// acquire waits for a place, and calls waits first where there is none yet. Its work counts
// until done.
func (s *service) acquire(ctx context.Context, r dispatch.Request, onWait func()) (dispatch.Decision, *fault.Fault) {
	s.mu.Lock()
	s.lastID++
	r.ID = s.lastID
	d := s.core.Offer(time.Now(), r)
	var answer chan dispatch.Decision
	if d.Verdict == dispatch.Wait {
		answer = make(chan dispatch.Decision, 1)
		s.waiting[r.ID] = answer
		s.armPoll()
	}
	s.mu.Unlock()
	if answer == nil {
		return d, refusalOf(&d)
	}
	onWait()
	select {
	case d = <-answer:
		return d, refusalOf(&d)
	case <-ctx.Done():
	}
	return s.withdraw(ctx, r.ID, answer)
}

// leave takes a request that waits back. A place that it was given meanwhile is given up.
func (s *service) withdraw(ctx context.Context, id uint64, answer chan dispatch.Decision) (dispatch.Decision, *fault.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Cancel(id) {
		delete(s.waiting, id)
	} else if d := <-answer; d.Verdict == dispatch.Send {
		s.core.Done(time.Now(), d.Target.ID, dispatch.Left, 0, 1)
	}
	return dispatch.Decision{}, endedWhileWaiting(ctx)
}

// endOf is the fault of a request that ended before it was sent.
func endedWhileWaiting(ctx context.Context) *fault.Fault {
	kind := fault.CallerGone
	if context.Cause(ctx) == context.DeadlineExceeded {
		kind = fault.DeadlineUnmeetable
	}
	f := fault.New(kind, "while it waited for a place")
	f.Ran = fault.NotRun
	return f
}

func refusalOf(d *dispatch.Decision) *fault.Fault {
	if d.Verdict != dispatch.Refuse {
		return nil
	}
	f := fault.New(d.Fault, d.Detail)
	f.RetryAfter = d.RetryAfter
	return f
}

// done ends work at a target.
func (s *service) done(id string, result dispatch.Result, took time.Duration, turns float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.core.Done(now, id, result, took, turns)
	s.poll(now)
}

// report notes what an answer tells of its target's work.
func (s *service) recordReport(id string, r dispatch.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Report(time.Now(), id, r)
}

// poll answers requests that need not wait any longer; the lock is held.
func (s *service) poll(now time.Time) {
	for id, d := range s.core.Poll(now) {
		s.waiting[id] <- d
		delete(s.waiting, id)
	}
	s.armPoll()
}

// arm has what waits looked at again; the lock is held.
func (s *service) armPoll() {
	if len(s.waiting) == 0 || s.timer != nil {
		return
	}
	s.timer = time.AfterFunc(pollInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.poll(time.Now())
	})
}

// counted pays for retries with a request of the service.
func (s *service) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Success()
}

// mayRetry takes one further attempt from the budget.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now())
}

func (s *service) setRouters(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetRouters(n)
}

// drainServiceTimes returns what answers told of the targets' speed since the last call.
func (s *service) drainServiceTimes() []dispatch.TargetStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.DrainServiceTimes(time.Now())
}

// learnServiceTimes takes in what another router's answers told it.
func (s *service) learnServiceTimes(serviceTimes []dispatch.TargetStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.LearnServiceTimes(time.Now(), serviceTimes)
}

// changedServiceTimes returns the targets' speeds that have changed since the last call.
func (s *service) changedServiceTimes() []dispatch.TargetStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ChangedServiceTimes()
}

// setServiceTimes puts the targets' speeds in force that all routers together know.
func (s *service) setServiceTimes(serviceTimes []dispatch.TargetStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetServiceTimes(serviceTimes)
}

// pressed reports whether a target has had too much to do of late.
func (s *service) overloaded(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Pressed(time.Now(), id)
}

// setLimits puts the keys in force of which just a part of the requests is served.
func (s *service) setLimits(all []keyspace.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetLimits(time.Now(), all)
}

// keyOf reads the key of a request for a service that is divided by key.
func keyOf(h http.Header, name string) (*keyspace.Key, *fault.Fault) {
	values := h[name]
	if len(values) != 1 {
		return nil, fault.New(fault.KeyMissing, "")
	}
	key, ok := parseKey(values[0])
	if !ok {
		return nil, fault.New(fault.KeyMissing, "the key is not a number from 0 to 65535")
	}
	return &key, nil
}

// speed is how long a target takes for a request in seconds; zero where it isn't known.
func (s *service) serviceTime(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ServiceTime(id)
}
