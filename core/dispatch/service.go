package dispatch

import (
	"math/rand/v2"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/fault"
	"tarragongw/core/keyspace"
)

const (
	// initialService is the service time assumed before any answer came.
	initialService = 0.15
	// meanGain is the weight of a new answer in the service's mean.
	meanGain = 0.02
	// movePatience is how long a request waits for a key that is being handed over; the
	// work that runs on it has to end first.
	movePatience = 800 * time.Millisecond
	// lapseRetryAfter is the advice where a key's holder is lost and its grant has to lapse.
	lapseRetryAfter = 700 * time.Millisecond
	// emptyRetryAfter is the advice where no target is there at all.
	emptyRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the least advice where all targets are full.
	minRetryAfter = 100 * time.Millisecond
)

// Request asks for a place.
type Request struct {
	// ID names the request among all that the Service holds.
	ID uint64
	// Key is set for services that are divided by key.
	Key *keyspace.Key
	// Rank is the urgency, zero the highest.
	Rank int
	// Due is when the answer loses most of its worth, and Deadline when it must have
	// begun; zero means never.
	Due, Deadline time.Time
	// Bytes is the expected size of request and answer.
	Bytes int64
	// Avoid names the target of the attempt before, which is taken only where no other is.
	Avoid string
	// Admitted says that the request was sent before, so that no limit applies to it.
	Admitted bool
	// since is when the request came.
	since time.Time
	// target is the one that it waits for; nil where any will do.
	target *Load
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	Send Verdict = iota
	Wait
	Refuse
)

// Decision answers a request.
type Decision struct {
	Verdict Verdict
	// Target is where to send; its work counts from now on until Done.
	Target directory.Target
	// Work is what was expected at the target, and ReportAge how old the last report of
	// it was; negative where there was none.
	Work      float64
	ReportAge time.Duration
	// Turns is how many service times the request is expected to stay there.
	Turns float64
	// Fault and RetryAfter say why and for how long a request is refused.
	Fault      fault.Kind
	RetryAfter time.Duration
	Detail     string
}

// Result is how work at a target ended.
type Result uint8

// The results.
const (
	// Answered work has its answer, whatever its status.
	Answered Result = iota
	// Failed work has none that holds.
	Failed
	// Shed work was not run for want of room.
	Shed
	// Misplaced work was not run because the target doesn't hold the key.
	Misplaced
	// TimedOut work was sent and had no answer when its time was over.
	TimedOut
	// Unreached work was not sent, because no connection could be opened.
	Unreached
	// Left work ended because the caller did or its time was over.
	Left
)

// Service decides for all requests of one service. It is not safe for concurrent use.
type Service struct {
	dataCentre string
	byKey      bool
	table      *keyspace.Table
	loads      map[string]*Load
	order      []*Load
	near       int
	mean       float64
	random     *rand.Rand
	queue      queue
	// serviceTimes are what answers showed since DrainServiceTimes.
	serviceTimes map[string]*TargetStats
	limits       limits
}

// New returns the decisions of a router in the data centre.
func New(dataCentre string, byKey bool, random *rand.Rand) *Service {
	return &Service{
		dataCentre: dataCentre, byKey: byKey, loads: map[string]*Load{}, mean: initialService, random: random,
		serviceTimes: map[string]*TargetStats{},
	}
}

// SetTargets puts the targets that there are in force; what is known of those that stay is kept.
func (s *Service) SetTargets(targets []directory.Target) {
	loads := make(map[string]*Load, len(targets))
	s.order, s.near = s.order[:0], 0
	for _, t := range targets {
		l, known := s.loads[t.ID]
		if !known || l.Born != t.Born {
			l = newLoad(t)
		}
		l.Target = t
		loads[t.ID] = l
		s.order = append(s.order, l)
		if t.DataCentre == s.dataCentre {
			last := len(s.order) - 1
			s.order[s.near], s.order[last] = s.order[last], s.order[s.near]
			s.near++
		}
	}
	s.loads = loads
	for id := range s.serviceTimes {
		if loads[id] == nil {
			delete(s.serviceTimes, id)
		}
	}
}

// SetTable puts the division of the keys in force.
func (s *Service) SetTable(t *keyspace.Table) { s.table = t }

// Offer decides on a new request. One that waits is answered by Poll.
func (s *Service) Offer(now time.Time, r Request) Decision {
	r.since = now
	if refusal, over := s.overLimit(now, &r); over {
		return refusal
	}
	d, blocked := s.place(now, &r)
	if blocked == nil {
		return d
	}
	blocked.behind(s.queue.waitingFor(blocked.target, now))
	if refusal, hopeless := s.hopeless(now, &r, blocked); hopeless {
		return refusal
	}
	r.target = blocked.target
	s.queue.add(&r)
	return Decision{Verdict: Wait}
}

// Poll returns the decisions on requests that need not wait any longer.
func (s *Service) Poll(now time.Time) map[uint64]Decision {
	if s.queue.empty() {
		return nil
	}
	decided, ahead := map[uint64]Decision{}, map[*Load]int{}
	for _, r := range s.queue.ordered(now) {
		d, blocked := s.place(now, r)
		if blocked != nil {
			blocked.behind(ahead[blocked.target])
			ahead[blocked.target]++
			r.target = blocked.target
			refusal, hopeless := s.hopeless(now, r, blocked)
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

// Cancel forgets a request that waits; false means that it was decided already.
func (s *Service) Cancel(id uint64) bool { return s.queue.remove(id) }

// Report notes what an answer of the target tells of its work.
func (s *Service) Report(now time.Time, id string, r Report) {
	if l := s.loads[id]; l != nil {
		l.report(now, r)
		s.notePressed(now, l, r.Waiting, 0)
	}
}

// Done ends work at a target that took so long; turns are those of its Decision.
func (s *Service) Done(now time.Time, id string, result Result, took time.Duration, turns float64) {
	l := s.loads[id]
	if l == nil {
		return
	}
	l.end(now)
	sample := took.Seconds() / max(l.stayed(now, turns), 1)
	switch result {
	case Answered:
		l.outcome(now, 0)
		l.answered(sample, s.mean)
		s.mean += (sample - s.mean) * meanGain
		s.note(id, sample)
	case TimedOut:
		l.outcome(now, 1)
		l.full()
		if l.overran(sample, s.mean) {
			s.note(id, sample)
		}
	case Failed:
		l.outcome(now, 1)
		l.full()
		s.notePressed(now, l, 0, 1)
	case Shed:
		l.outcome(now, shedFailure)
		l.full()
		s.notePressed(now, l, 0, 1)
	case Unreached:
		l.outcome(now, 1)
		l.unreachable(now)
	case Misplaced, Left:
	}
}

// shedFailure is what a refusal for want of room counts as: it costs a try, not the work.
const shedFailure = 0.5

// block says why a request can't be placed now.
type block struct {
	kind   fault.Kind
	detail string
	// target is the one that is full; nil where it is all of them, or another thing.
	target *Load
	// turn is the time in seconds after which one request after the other that waits here
	// gets a place.
	turn float64
	// wait is the time until a place is expected, in seconds; negative means that it is
	// not to be waited for.
	wait float64
	// patience bounds the wait; zero means by the request's own times.
	patience time.Duration
	// advice is what a refusal says at least.
	advice time.Duration
}

// place finds the target for a request and counts the work, or says what is in the way.
func (s *Service) place(now time.Time, r *Request) (Decision, *block) {
	l, blocked := s.find(now, r)
	if blocked != nil {
		return Decision{}, blocked
	}
	if !l.hasRoom(now) {
		return Decision{}, s.full(now, l)
	}
	if l.inFlight > 0 && !s.worthwhile(now, r, l) {
		return Decision{}, s.tooLate(now, l)
	}
	d := Decision{Verdict: Send, Target: l.Target, Work: l.work(now), ReportAge: -1, Turns: l.turns(now)}
	if !l.lastReport.IsZero() {
		d.ReportAge = now.Sub(l.lastReport)
	}
	l.send(now)
	return d, nil
}

// full says how long a request waits where the target has no room.
//
// It answers load beyond what a target can do, which comes through many routers: this one
// gets a place each time that one of its own requests there ends. The queue at the target
// alone would tell of a short wait, while the routers' own grow; requests are then kept
// until their time is over and refused in the end.
func (s *Service) full(now time.Time, l *Load) *block {
	b := &block{kind: fault.QueueFull, detail: "target " + l.ID, target: l, advice: minRetryAfter}
	b.turn = l.stay(now, s.mean) / float64(max(l.inFlight, 1))
	if s.byKey {
		return b
	}
	// The next place at any target will do.
	b.target, b.turn = nil, 0
	for _, other := range s.order {
		if other.inFlight > 0 {
			b.turn += float64(other.inFlight) / other.stay(now, s.mean)
		}
	}
	b.turn = 1 / max(b.turn, 1/l.stay(now, s.mean))
	return b
}

// worthwhile reports whether a place in the target's queue is well spent on the request.
//
// It answers one key that is asked for more than its holder can do. With a long queue each
// answer comes late and is worth a third; as many are given in time with a short one. So a
// request that would be late goes only where nobody else has to wait for it.
func (s *Service) worthwhile(now time.Time, r *Request, l *Load) bool {
	if r.Due.IsZero() || l.waiting(now) == 0 {
		return true
	}
	stay := time.Duration(l.stay(now, s.mean) * float64(time.Second))
	return !now.Add(stay).After(r.Due)
}

// tooLate refuses a request at once that is to come back when nobody waits for the target.
// Kept for 120 ms, most were refused in the end, and late.
func (s *Service) tooLate(now time.Time, l *Load) *block {
	return &block{
		kind: fault.QueueFull, detail: "target " + l.ID + ", too late for its objective", target: l, wait: -1,
		advice: max(time.Duration(l.wait(now, s.mean)*float64(time.Second)), minRetryAfter),
	}
}

// behind sets the wait of a request that so many others go before.
func (b *block) behind(ahead int) {
	if b.wait >= 0 && b.turn > 0 {
		b.wait = float64(ahead+1) * b.turn
	}
}

func (s *Service) find(now time.Time, r *Request) (*Load, *block) {
	if s.byKey {
		return s.holder(now, r)
	}
	if l := s.best(now, r); l != nil {
		return l, nil
	}
	return nil, &block{kind: fault.NoOwner, detail: "no target takes work", wait: -1, advice: emptyRetryAfter}
}

// holder returns the target that holds the request's key.
func (s *Service) holder(now time.Time, r *Request) (*Load, *block) {
	if s.table == nil {
		return nil, &block{kind: fault.NotReady, detail: "the division of the keys is not known yet", wait: -1, advice: emptyRetryAfter}
	}
	segment := s.table.Find(*r.Key)
	if segment.Moving {
		if segment.Lost {
			return nil, &block{kind: fault.NoOwner, detail: "the grant of " + segment.Target + " has to lapse", wait: -1, advice: lapseRetryAfter}
		}
		return nil, &block{kind: fault.Moving, detail: "from " + segment.Target, patience: movePatience, advice: minRetryAfter}
	}
	l := s.loads[segment.Target]
	if l == nil || l.Holder() != segment.Holder {
		return nil, &block{kind: fault.NoOwner, detail: "target " + segment.Target + " is not there", wait: -1, advice: emptyRetryAfter}
	}
	if l.away(now) {
		return nil, &block{kind: fault.NoOwner, detail: "target " + l.ID + " can't be reached", wait: -1, advice: l.triedAgain.Sub(now) + minRetryAfter}
	}
	return l, nil
}

// hopeless refuses a request whose answer can't be in time any more. Refused at once it
// may be back while there is time left; kept, it would take the place of one that can.
func (s *Service) hopeless(now time.Time, r *Request, b *block) (Decision, bool) {
	hopeless := b.wait < 0
	if !r.Deadline.IsZero() {
		left := r.Deadline.Sub(now).Seconds()
		hopeless = hopeless || b.wait+s.mean > left
	}
	if b.patience > 0 && now.Sub(r.since) > b.patience {
		hopeless = true
	}
	if !hopeless {
		return Decision{}, false
	}
	advice := max(time.Duration(max(b.wait, 0)*float64(time.Second)), b.advice)
	return Decision{Verdict: Refuse, Fault: b.kind, RetryAfter: advice, Detail: b.detail}, true
}

// ServiceTime is how long the target takes for a request, in seconds; zero where no answer
// came yet.
func (s *Service) ServiceTime(id string) float64 {
	if l := s.loads[id]; l != nil {
		return l.service
	}
	return 0
}
