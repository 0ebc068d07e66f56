package dispatch

import (
	"math/rand/v2"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// initialService is the service time in seconds that is assumed before the first answer.
	initialService = 0.15
	// meanGain is the weight of a new answer in the mean service time of the whole service.
	meanGain = 0.02
	// grantExpiryRetryAfter is the advised wait if a key's holder is lost and its grant has to
	// expire before the key gets another one.
	grantExpiryRetryAfter = 700 * time.Millisecond
	// noTargetRetryAfter is the advised wait if there is no target that could take the request.
	noTargetRetryAfter = 500 * time.Millisecond
	// leavingRetryAfter is the advised wait if a key's holder has left and the key has not been moved: about the
	// time in which another leader is found.
	leavingRetryAfter = time.Second
	// minRetryAfter is the shortest advised wait if targets have no room.
	minRetryAfter = 100 * time.Millisecond
)

// Request is a request to be sent to a target.
type Request struct {
	// ID identifies the request among all that the Service has queued.
	ID uint64
	// Key is set if the service divides its work by key.
	Key *keyspace.Key
	// Priority is the priority; zero is the most urgent.
	Priority int
	// Due is the time of the objective, after which the answer loses most of its value, and
	// Deadline is when the answer must have begun; the zero time means none.
	Due, Deadline time.Time
	// Bytes is the expected size of the request and its answer.
	Bytes int64
	// Avoid is the target of the previous attempt, which is chosen only if there is no other.
	Avoid string
	// Admitted says that the request was sent before, so that the limit of its key does not
	// apply again.
	Admitted bool
	// arrivedAt is when the request was offered.
	arrivedAt time.Time
	// target is the target for which the request is queued; nil means any.
	target *targetState
}

// Verdict is the decision on a request: to send, queue or refuse it.
type Verdict uint8

// The verdicts.
const (
	Send Verdict = iota
	Wait
	Refuse
)

// Decision is the answer to an offered request.
type Decision struct {
	Verdict Verdict
	// Target is where to send the request, which counts as in flight there until Done.
	Target directory.Target
	// Work is the expected number of requests at the target before this one, and ReportAge
	// the age of its last load report; negative means that there was none.
	Work      float64
	ReportAge time.Duration
	// ServiceMultiple is how many service times the request is expected to stay at the target.
	ServiceMultiple float64
	// ServiceTime is the mean service time over all targets.
	ServiceTime time.Duration
	// Resumes says that the target's rest has just ended; AnswerBegun has to be called if it begins to answer.
	Resumes bool
	// Fault is the kind of error of a refused request, RetryAfter the advised wait, and Detail
	// the text for the caller.
	Fault      fault.Kind
	RetryAfter time.Duration
	Detail     string
}

// Result is how a request that was sent to a target ended.
type Result uint8

// The results.
const (
	// Answered requests have an answer, whatever its status.
	Answered Result = iota
	// Failed requests have no valid answer.
	Failed
	// Shed requests were refused by the target because it had no room.
	Shed
	// Rested requests were turned away by the target, which has asked for a rest.
	Rested
	// Misplaced requests were refused by the target because it doesn't hold the key.
	Misplaced
	// TimedOut requests were sent and had no answer by their deadline.
	TimedOut
	// Unreachable requests were not sent, because no connection could be opened.
	Unreachable
	// Abandoned requests ended without an answer because the caller closed the connection or the
	// deadline passed before they were sent; they say nothing about the target.
	Abandoned
)

// Service makes the decisions of one router for all requests of one service. It is not safe for
// concurrent use.
type Service struct {
	dataCentre string
	byKey      bool
	// table is the key table; nil until it is known.
	table *keyspace.Table
	// targetByID and targetList have all targets. choices are those that take new work, with those of this router's data
	// centre first; localChoices is the number of these.
	targetByID   map[string]*targetState
	targetList   []*targetState
	choices      []*targetState
	localChoices int
	// overallServiceTime is the mean service time over all targets, in seconds.
	overallServiceTime float64
	random             *rand.Rand
	// queue holds the requests with the verdict Wait.
	queue queue
	// pendingStats are the statistics of targets since the last DrainStats.
	pendingStats map[string]*TargetStats
	limits       limits
	// leavingLimit is for how long a target gets requests for its keys after it has announced that it leaves; zero
	// means for as long as it holds them.
	leavingLimit time.Duration
	// evacuationLimit is the same for targets whose data centre is evacuated.
	evacuationLimit time.Duration
	cold            coldLimit
	// targetLimits are those of the targets that state one.
	targetLimits map[keyspace.Holder]float64
	workTimes    workTimes
}

// New returns a Service for a router in the data centre; byKey says that the keys are divided
// among its targets.
func New(dataCentre string, byKey bool, random *rand.Rand) *Service {
	return &Service{
		dataCentre: dataCentre, byKey: byKey, targetByID: map[string]*targetState{}, overallServiceTime: initialService, random: random,
		pendingStats: map[string]*TargetStats{},
	}
}

// LimitLeaving sets for how long a target may get requests for its keys after it has announced that it leaves.
func (s *Service) LimitLeaving(limit time.Duration) { s.leavingLimit = limit }

// LimitEvacuated sets for how long a target may get requests for its keys after its data centre was evacuated.
func (s *Service) LimitEvacuated(limit time.Duration) { s.evacuationLimit = limit }

// SetTargets sets the complete list of targets. The state of known ones is kept, unless they have
// restarted: a new instance starts with a new state.
func (s *Service) SetTargets(targets []directory.Target) {
	targetByID := make(map[string]*targetState, len(targets))
	s.targetList, s.choices, s.localChoices = s.targetList[:0], s.choices[:0], 0
	for _, t := range targets {
		state, known := s.targetByID[t.ID]
		if !known || state.StartUnixMilli != t.StartUnixMilli {
			state = newTargetState(t)
		}
		state.Target = t
		targetByID[t.ID] = state
		s.targetList = append(s.targetList, state)
		if t.TakesNewWork() {
			s.addChoice(state)
		}
	}
	s.targetByID = targetByID
	for id := range s.pendingStats {
		if targetByID[id] == nil {
			delete(s.pendingStats, id)
		}
	}
}

func (s *Service) addChoice(t *targetState) {
	s.choices = append(s.choices, t)
	if t.DataCentre == s.dataCentre {
		last := len(s.choices) - 1
		s.choices[s.localChoices], s.choices[last] = s.choices[last], s.choices[s.localChoices]
		s.localChoices++
	}
}

// SetTable sets the key table.
func (s *Service) SetTable(t *keyspace.Table) { s.table = t }

// Offer decides on a new request. If the verdict is Wait, a later Poll returns the final decision.
func (s *Service) Offer(now time.Time, r Request) Decision {
	r.arrivedAt = now
	s.recordAsked(now, &r)
	if refusal, over := s.refuseOverLimit(now, &r); over {
		return refusal
	}
	d, blocked := s.place(now, &r)
	if blocked == nil {
		return d
	}
	blocked.setWait(s.queue.waitingFor(blocked.target, now))
	if refusal, hopeless := s.refuseIfHopeless(now, &r, blocked); hopeless {
		return refusal
	}
	r.target = blocked.target
	s.queue.add(&r)
	return Decision{Verdict: Wait}
}

// Poll decides on the queued requests again and returns the decisions to send or refuse, by
// request ID.
func (s *Service) Poll(now time.Time) map[uint64]Decision {
	if s.queue.empty() {
		return nil
	}
	decided, ahead := map[uint64]Decision{}, map[*targetState]int{}
	for _, r := range s.queue.ordered(now) {
		d, blocked := s.place(now, r)
		if blocked != nil {
			blocked.setWait(ahead[blocked.target])
			ahead[blocked.target]++
			r.target = blocked.target
			refusal, hopeless := s.refuseIfHopeless(now, r, blocked)
			if !hopeless {
				continue
			}
			d = refusal
		}
		s.queue.remove(r.ID)
		decided[r.ID] = d
	}
	return decided
}

// Cancel removes a queued request; false means that it has already been decided.
func (s *Service) Cancel(id uint64) bool { return s.queue.remove(id) }

// Report records the load report in an answer of the target. It has to be called before Done.
func (s *Service) Report(now time.Time, id string, r Report) {
	if t := s.targetByID[id]; t != nil {
		t.recordReport(now, r)
		s.recordOverload(now, t, r.Waiting, 0)
	}
}

// Done records the result of a request at a target and how long it took; turns is its
// Decision.ServiceMultiple.
func (s *Service) Done(now time.Time, id string, result Result, took time.Duration, turns float64) {
	t := s.targetByID[id]
	if t == nil {
		return
	}
	t.recordEnd(now)
	sample := took.Seconds() / max(t.actualServiceMultiple(now, turns), 1)
	switch result {
	case Answered:
		t.recordOutcome(now, 0)
		t.recordAnswer(sample, s.overallServiceTime)
		s.overallServiceTime += (sample - s.overallServiceTime) * meanGain
		s.workTimes.add(sample, 1)
		s.recordServiceTime(id, sample)
	case TimedOut:
		t.recordOutcome(now, 1)
		t.cutQueueLimit()
		if t.recordTimeout(sample, s.overallServiceTime) {
			s.recordServiceTime(id, sample)
		}
	case Failed:
		t.recordOutcome(now, 1)
		t.cutQueueLimit()
		s.recordOverload(now, t, 0, 1)
	case Shed:
		t.recordOutcome(now, shedFailure)
		t.cutQueueLimit()
		s.recordOverload(now, t, 0, 1)
	case Unreachable:
		t.recordOutcome(now, 1)
		t.recordUnreachable(now)
	case Rested:
		s.recordOverload(now, t, 0, 1)
	case Misplaced, Abandoned:
	}
}

// PathFound records that there is a way to a target again, so that it gets requests at once.
func (s *Service) PathFound(id string) {
	if t := s.targetByID[id]; t != nil {
		t.nextConnectAt = time.Time{}
	}
}

// shedFailure is the weight of a refusal for lack of room in the failure rate: it costs an attempt,
// but the request can still be sent elsewhere.
const shedFailure = 0.5

// block says why a request can't be sent now.
type block struct {
	kind   fault.Kind
	detail string
	// target is the target without room; nil if it is all of them or if the reason is another.
	target *targetState
	// placeInterval is the time in seconds between two places that become free for queued
	// requests.
	placeInterval float64
	// wait is the expected time until a place is free, in seconds; negative means that the
	// request must not be queued.
	wait float64
	// maxWait is how long the request may be queued; zero means until its deadline allows no
	// more.
	maxWait time.Duration
	// retryAfter is the shortest advised wait of a refusal.
	retryAfter time.Duration
}

// place selects the target for a request and counts the request there, or returns why it can't be
// sent now.
func (s *Service) place(now time.Time, r *Request) (Decision, *block) {
	t, blocked := s.selectTarget(now, r)
	if blocked != nil {
		return Decision{}, blocked
	}
	if !t.hasRoom(now) {
		return Decision{}, s.noRoom(now, t)
	}
	if t.inFlight > 0 && !s.worthQueueing(now, r, t) {
		return Decision{}, s.tooLate(now, t)
	}
	d := Decision{Verdict: Send, Target: t.Target, Work: t.totalWork(now), ReportAge: -1, ServiceMultiple: t.serviceMultiple(now),
		ServiceTime: time.Duration(s.overallServiceTime * float64(time.Second)), Resumes: t.resumes(now)}
	if !t.lastReport.IsZero() {
		d.ReportAge = now.Sub(t.lastReport)
	}
	s.usePermit(now, t)
	t.recordSend(now)
	return d, nil
}

// noRoom returns the block for a request whose target has no room, with the expected wait.
//
// Under overload from many routers, this router gets a place whenever one of its own requests at
// the target ends, so the wait depends on these and on the router's own queue. The target's queue
// alone would suggest a short wait, and requests would stay in growing queues of the routers until
// their deadline and be refused then.
func (s *Service) noRoom(now time.Time, t *targetState) *block {
	b := &block{kind: fault.QueueFull, detail: "target " + t.ID, target: t, retryAfter: minRetryAfter}
	b.placeInterval = t.timeAtTarget(now, s.overallServiceTime) / float64(max(t.inFlight, 1))
	if s.byKey {
		return b
	}
	// Any target can take the request, so the places at all of them count. placeInterval is the
	// places per second until it is inverted below.
	b.target, b.placeInterval = nil, 0
	for _, other := range s.targetList {
		if other.inFlight > 0 {
			b.placeInterval += float64(other.inFlight) / other.timeAtTarget(now, s.overallServiceTime)
		}
	}
	b.placeInterval = 1 / max(b.placeInterval, 1/t.timeAtTarget(now, s.overallServiceTime))
	return b
}

// worthQueueing reports whether the request may take a place in the target's queue: it may if its
// answer can still meet the objective, or if no other request has to wait for it.
//
// With more requests for a key than its holder can serve, a long queue makes every answer late,
// and a late answer is worth a third. With a short queue as many answers are given, and in time.
func (s *Service) worthQueueing(now time.Time, r *Request, t *targetState) bool {
	if r.Due.IsZero() || t.queuedAhead(now) == 0 {
		return true
	}
	timeAtTarget := time.Duration(t.timeAtTarget(now, s.overallServiceTime) * float64(time.Second))
	return !now.Add(timeAtTarget).After(r.Due)
}

// tooLate returns the block that refuses a request at once because it would miss its objective;
// the advised wait is the time until the target's queue is expected to be empty. When such
// requests were queued for 120 ms instead, most were still refused, only later.
func (s *Service) tooLate(now time.Time, t *targetState) *block {
	return &block{
		kind: fault.QueueFull, detail: "target " + t.ID + ", too late for its objective", target: t, wait: -1,
		retryAfter: max(time.Duration(t.wait(now, s.overallServiceTime)*float64(time.Second)), minRetryAfter),
	}
}

// setWait sets the expected wait of a request that has a number of others ahead of it.
func (b *block) setWait(ahead int) {
	if b.wait >= 0 && b.placeInterval > 0 {
		b.wait = float64(ahead+1) * b.placeInterval
	}
}

// selectTarget returns the holder of the request's key, or else the best target.
func (s *Service) selectTarget(now time.Time, r *Request) (*targetState, *block) {
	if s.byKey {
		return s.holder(now, r)
	}
	if t := s.best(now, r); t != nil {
		return t, nil
	}
	if cold := s.awaitPermit(now); cold != nil {
		return nil, cold
	}
	limited, rested := s.overAllTargetLimits(now), s.firstRested(now)
	if rested != nil && (limited == nil || rested.restUntil.Sub(now) < limited.retryAfter) {
		return nil, s.restBlock(now, r, rested, nil)
	}
	if limited != nil {
		return nil, limited
	}
	return nil, &block{kind: fault.NoOwner, detail: "no target takes work", wait: -1, retryAfter: noTargetRetryAfter}
}

// holder returns the target that holds the request's key.
func (s *Service) holder(now time.Time, r *Request) (*targetState, *block) {
	if s.table == nil {
		return nil, &block{kind: fault.NotReady, detail: "the division of the keys is not known yet", wait: -1, retryAfter: noTargetRetryAfter}
	}
	segment := s.table.Find(*r.Key)
	if segment.Moving {
		return nil, s.movingBlock(now, segment)
	}
	t := s.targetByID[segment.Target]
	if t == nil || t.Holder() != segment.Holder {
		return nil, &block{kind: fault.NoOwner, detail: "target " + segment.Target + " is not there", wait: -1, retryAfter: noTargetRetryAfter}
	}
	if s.hasLeft(now, t) {
		return nil, &block{kind: fault.NoOwner, detail: "target " + t.ID + " leaves or is evacuated, and the key has not been moved", wait: -1, retryAfter: leavingRetryAfter}
	}
	if t.inConnectBackoff(now) {
		return nil, &block{kind: fault.NoOwner, detail: "target " + t.ID + " can't be reached", wait: -1, retryAfter: t.nextConnectAt.Sub(now) + minRetryAfter}
	}
	if t.rests(now) {
		return nil, s.restBlock(now, r, t, t)
	}
	if !s.admitsCold(now, t) {
		return nil, s.refuseColdHolder(now, t)
	}
	if s.lacksPermit(now, t) {
		return nil, s.refuseOverTargetLimit(now, t)
	}
	return t, nil
}

// hasLeft reports whether the target may have announced too long ago that it leaves, or its data centre may have been
// evacuated too long ago. The leader moves the keys before that, unless it is late.
func (s *Service) hasLeft(now time.Time, t *targetState) bool {
	return t.Draining && s.leavingLimit > 0 && now.Sub(t.LeavingAfter) >= s.leavingLimit ||
		t.Evacuated && s.evacuationLimit > 0 && now.Sub(t.EvacuatedAfter) >= s.evacuationLimit
}

// refuseIfHopeless refuses a request that can't be answered in time any more. Its caller can then
// retry while there is time left; queued, it would take the place of a request that can be
// answered in time.
func (s *Service) refuseIfHopeless(now time.Time, r *Request, b *block) (Decision, bool) {
	hopeless := b.wait < 0
	if !r.Deadline.IsZero() {
		left := r.Deadline.Sub(now).Seconds()
		hopeless = hopeless || b.wait+s.overallServiceTime > left
	}
	if b.maxWait > 0 && now.Sub(r.arrivedAt) > b.maxWait {
		hopeless = true
	}
	if !hopeless {
		return Decision{}, false
	}
	retryAfter := max(time.Duration(max(b.wait, 0)*float64(time.Second)), b.retryAfter)
	return Decision{Verdict: Refuse, Fault: b.kind, RetryAfter: retryAfter, Detail: b.detail}, true
}

// ServiceTime returns the target's mean service time in seconds; zero before its first answer.
func (s *Service) ServiceTime(id string) float64 {
	if t := s.targetByID[id]; t != nil {
		return t.meanServiceTime
	}
	return 0
}
