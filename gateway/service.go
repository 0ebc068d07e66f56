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

// pollInterval is how often the placement of waiting requests is tried again: the estimate of the
// other routers' work at a target decays within 200 ms.
const pollInterval = 10 * time.Millisecond

// service is the state of one service: core/dispatch behind a lock, and the requests that wait for
// placement.
type service struct {
	name  string
	byKey bool

	mu         sync.Mutex
	dispatcher *dispatch.Service
	budget     *retry.WindowBudget
	waiting    map[uint64]chan dispatch.Decision
	lastID     uint64
	timer      *time.Timer
	// table is the key table in force.
	table *keyspace.Table
	// tableChanged is closed when the table changes.
	tableChanged chan struct{}
	keyLoad      *keySamples
	// extent is how many targets this router last reached; logReach is called when it changes.
	extent   dispatch.Extent
	logReach func(service string, r dispatch.Reach)
}

func newService(spec routes.Service, opts *Options, budget *retry.WindowBudget, logReach func(string, dispatch.Reach)) *service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	dispatcher := dispatch.New(opts.DataCentre, spec.ByKey, random)
	dispatcher.LimitLeaving(opts.LeavingLimit - arrivalReserve)
	dispatcher.LimitEvacuated(opts.EvacuationLimit - arrivalReserve)
	return &service{
		name: spec.Name, byKey: spec.ByKey, dispatcher: dispatcher, budget: budget,
		waiting: map[uint64]chan dispatch.Decision{}, tableChanged: make(chan struct{}), keyLoad: &keySamples{}, logReach: logReach,
	}
}

// setTargets sets the service's targets.
func (s *service) setTargets(targets []directory.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetTargets(targets)
	s.poll(time.Now())
}

// setTable sets the key table.
func (s *service) setTable(t *keyspace.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table = t
	close(s.tableChanged)
	s.tableChanged = make(chan struct{})
	s.dispatcher.SetTable(t)
	s.poll(now)
}

// currentTable returns the key table in force, and a channel that is closed when it changes.
func (s *service) currentTable() (*keyspace.Table, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.tableChanged
}

// acquire places a request. If it has to wait for that, onWait is called first. The request counts
// towards the target's work until done is called.
func (s *service) acquire(ctx context.Context, r dispatch.Request, onWait func()) (dispatch.Decision, *fault.Fault) {
	s.mu.Lock()
	s.lastID++
	r.ID = s.lastID
	d := s.dispatcher.Offer(time.Now(), r)
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

// withdraw ends the waiting of a request. If it was placed meanwhile, the placement is undone.
func (s *service) withdraw(ctx context.Context, id uint64, answer chan dispatch.Decision) (dispatch.Decision, *fault.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher.Cancel(id) {
		delete(s.waiting, id)
	} else if d := <-answer; d.Verdict == dispatch.Send {
		s.dispatcher.Done(time.Now(), d.Target.ID, dispatch.Abandoned, 0, 1)
	}
	return dispatch.Decision{}, endedWhileWaiting(ctx)
}

// endedWhileWaiting returns the fault of a request that ended before it was sent.
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

// done reports that a request at a target has ended.
func (s *service) done(id string, result dispatch.Result, took time.Duration, turns float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.Done(now, id, result, took, turns)
	if result == dispatch.Unreachable || result == dispatch.Answered && s.extent != dispatch.ReachesAll {
		s.observeReach()
	}
	s.poll(now)
}

// pathFound records that there is a way to a target again.
func (s *service) pathFound(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.PathFound(id)
	s.poll(time.Now())
}

// observeReach reports a change of how many targets are reached; the caller holds the lock.
func (s *service) observeReach() {
	r := s.dispatcher.Reach()
	if r.Extent() != s.extent {
		s.extent = r.Extent()
		s.logReach(s.name, r)
	}
}

// recordReport records the load report in a target's answer.
func (s *service) recordReport(id string, r dispatch.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Report(time.Now(), id, r)
}

// poll answers requests that no longer have to wait; the caller holds the lock.
func (s *service) poll(now time.Time) {
	for id, d := range s.dispatcher.Poll(now) {
		s.waiting[id] <- d
		delete(s.waiting, id)
	}
	s.armPoll()
}

// armPoll schedules the next poll if requests are waiting; the caller holds the lock.
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

// countRequest adds the share of a request to the retry budget.
func (s *service) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request()
}

// takeRetry takes a retry from the budget, and reports whether there was one.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now())
}

// setShare sets this router's part of what all routers share: the service's retries, see WindowBudget.SetFraction, and the
// requests that its cold targets may get.
func (s *service) setShare(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetFraction(time.Now(), fraction)
	s.dispatcher.SetShare(fraction)
}

// limitCold sets how many requests per second a cold target may get from all routers together; zero for no limit.
func (s *service) limitCold(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.LimitCold(rate)
}

// setTargetLimits sets the limits that targets state, in requests per second of all routers together.
func (s *service) setTargetLimits(limits map[keyspace.Holder]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetTargetLimits(limits)
	s.poll(time.Now())
}

// rest has no requests placed at a target until a time, because it has asked for that.
func (s *service) rest(holder keyspace.Holder, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.Rest(now, holder, until)
	s.poll(now)
}

// answerBegun records that a target has begun to answer a request after its rest.
func (s *service) answerBegun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.AnswerBegun(now, id)
	s.poll(now)
}

// refusePermit takes the placement of a request back that got no permit, and leaves the target alone for a while.
func (s *service) refusePermit(t *directory.Target, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.Done(now, t.ID, dispatch.Abandoned, 0, 1)
	s.dispatcher.AwaitPermit(now, t.Holder(), wait)
	s.poll(now)
}

// drainServiceTimes returns the service times that this router has measured since the last call.
func (s *service) drainServiceTimes() []dispatch.TargetStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.DrainStats(time.Now())
}

// learnServiceTimes adds service times that another router has measured.
func (s *service) learnServiceTimes(serviceTimes []dispatch.TargetStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.MergeStats(time.Now(), serviceTimes)
}

// changedServiceTimes returns the targets' service times that have changed since the last call.
func (s *service) changedServiceTimes() []dispatch.TargetStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ChangedServiceTimes()
}

// setServiceTimes sets the targets' service times, as measured by all routers together.
func (s *service) setServiceTimes(serviceTimes []dispatch.TargetStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetServiceTimes(serviceTimes)
}

// overloaded reports whether a target has recently been overloaded.
func (s *service) overloaded(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Overloaded(time.Now(), id)
}

// workTime returns the time within which a share of the runs ends; zero if unknown.
func (s *service) workTime(share float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.WorkTime(share)
}

// setLimits sets the keys of which only a part of the requests is served.
func (s *service) setLimits(all []keyspace.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetLimits(time.Now(), all)
}

// keyOf returns the key of a request for a service with keys.
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

// serviceTime returns how long a target takes for a request, in seconds; zero if unknown.
func (s *service) serviceTime(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ServiceTime(id)
}
