// Package crashguard keeps requests that crash targets from being sent again: it finds out which
// targets crashed, exchanges that with the other routers, and refuses the requests that
// core/quarantine has found. One router keeps the list; the others tell it what they observe.
package crashguard

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/quarantine"
	"tarragongw/telemetry"
)

const (
	// maxObserved bounds the observations of each kind that wait to be told.
	maxObserved = 256
	// crashRetention is how long a router tells a new keeper of the list about crashes that it
	// observed: the former keeper may have been lost with them.
	crashRetention = 30 * time.Second
	// refusedInterval is how often the router that keeps the list looks for trials that are due.
	refusedInterval = 200 * time.Millisecond
)

// Options configures a Guard. Telemetry may be nil.
type Options struct {
	// Router is this router's name.
	Router    string
	Log       *slog.Logger
	Telemetry *telemetry.Telemetry
	// Run runs a short job in a goroutine, until Lifetime ends.
	Run      func(job func())
	Lifetime context.Context
	// Dial opens a connection to a target; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IsActive reports whether a target is known and is not planned to end.
	IsActive func(t *Target) bool
	// Publish sends a list that this router keeps to the others. It is called in order of the lists
	// and must not block.
	Publish func(l *quarantine.List)
}

// Guard is one router's part. It is safe for concurrent use.
type Guard struct {
	opts  Options
	watch *watch
	// set is what the request path reads; nil while no request is suspected.
	set atomic.Pointer[quarantine.Set]
	// wake has a value while observations wait to be told.
	wake chan struct{}

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// term and sequence are those of the list in force.
	term, sequence uint64
	// keeps says that this router keeps the list.
	keeps bool
	// refusedAt is when this router, keeping the list, last looked for trials that are due.
	refusedAt time.Time
	// observed waits to be told to the router that keeps the list.
	observed quarantine.Observations
	// crashes are those that this router observed within crashRetention.
	crashes []observedCrash
	// begun has the number of the last trial of a request that this router has begun.
	begun map[quarantine.Fingerprint]int
}

type observedCrash struct {
	at    time.Time
	crash quarantine.Crash
}

// New returns a guard with an empty list.
func New(opts Options) *Guard {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	g := &Guard{opts: opts, tracker: quarantine.NewTracker(), wake: make(chan struct{}, 1), begun: map[quarantine.Fingerprint]int{}}
	g.watch = newWatch(&g.opts, g.observeCrash)
	return g
}

// find returns the request's entry, or nil. Nothing is computed for a request whose path and query
// no suspected one has.
func (g *Guard) find(r *Request) *quarantine.Entry {
	set := g.set.Load()
	if !set.Resembles(r.HTTP.RequestURI) {
		return nil
	}
	suspect, known := r.awaitFingerprint()
	if !known {
		return nil
	}
	return set.Find(suspect)
}

// Check returns a fault if the request is not to be sent. It is called before a place is looked for.
func (g *Guard) Check(r *Request) *fault.Fault {
	e := g.find(r)
	if e == nil || !e.Refused() || g.mayTry(e) {
		return nil
	}
	return g.refuse(r, e)
}

// Begin returns a fault if the request is not to be sent. It is called right before each send, and
// begins a trial if this router may.
func (g *Guard) Begin(r *Request) *fault.Fault {
	e := g.find(r)
	if e == nil || !e.Refused() || g.beginTrial(r, e) {
		return nil
	}
	return g.refuse(r, e)
}

func (g *Guard) refuse(r *Request, e *quarantine.Entry) *fault.Fault {
	g.noteRefused(e.Fingerprint)
	g.opts.count("requests_quarantined_total", r.Service)
	g.opts.Log.Info("quarantined request refused", "id", r.ID, "service", r.Service, "fingerprint", e.Fingerprint, "crashes", e.Crashes,
		"age", time.Since(e.Last), "trials", e.Trials)
	return fault.New(fault.Quarantined, "fingerprint "+e.Fingerprint.String()+", "+strconv.Itoa(e.Crashes)+" crashes")
}

// noteRefused notes a refused request, which may be due for a trial. It does not wake anybody, because
// such a request may come often.
func (g *Guard) noteRefused(f quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.observed.Refused, f) && len(g.observed.Refused) < maxObserved {
		g.observed.Refused = append(g.observed.Refused, f)
	}
	if now := time.Now(); g.keeps && now.Sub(g.refusedAt) >= refusedInterval {
		g.refusedAt = now
		g.observe(g.opts.Router, g.takeObserved())
	}
}

// mayTry reports whether this router may begin the next trial of a refused request.
func (g *Guard) mayTry(e *quarantine.Entry) bool {
	if e.TrialRouter != g.opts.Router {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun[e.Fingerprint] <= e.Trials
}

// beginTrial begins the next trial of a refused request, if this router may.
func (g *Guard) beginTrial(r *Request, e *quarantine.Entry) bool {
	if e.TrialRouter != g.opts.Router {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun[e.Fingerprint] > e.Trials {
		return false
	}
	g.begun[e.Fingerprint] = e.Trials + 1
	g.note(&quarantine.Observations{Tried: []quarantine.Fingerprint{e.Fingerprint}})
	g.opts.Log.Warn("quarantined request tried", "id", r.ID, "service", r.Service, "fingerprint", e.Fingerprint, "crashes", e.Crashes, "trial", e.Trials+1)
	return true
}

// Answered records that a target has answered the request wholly and without a server error.
func (g *Guard) Answered(r *Request) {
	e := g.find(r)
	if e == nil {
		return
	}
	g.opts.Log.Info("suspected request answered", "id", r.ID, "service", r.Service, "fingerprint", e.Fingerprint, "crashes", e.Crashes)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgetCrashes(e.Fingerprint)
	g.note(&quarantine.Observations{Answered: []quarantine.Fingerprint{e.Fingerprint}})
}

// Release has a request sent again, by an operator's command. It reports whether the request was
// suspected, as far as this router knows.
func (g *Guard) Release(f quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.tracker.Known(f)
	g.opts.Log.Warn("quarantined request released by an operator", "fingerprint", f, "known", known)
	g.forgetCrashes(f)
	g.note(&quarantine.Observations{Released: []quarantine.Fingerprint{f}})
	return known
}

// forgetCrashes removes a request from the crashes that a new keeper of the list would be told; the
// caller holds the lock.
func (g *Guard) forgetCrashes(f quarantine.Fingerprint) {
	for i := range g.crashes {
		c := &g.crashes[i].crash
		var kept []quarantine.Suspect
		for _, s := range c.Suspects {
			if s.Fingerprint != f {
				kept = append(kept, s)
			}
		}
		c.Suspects = kept
	}
}

// Failed records a failed send, and has the target checked if it broke off the request. It returns the
// request's fingerprint for the log; empty if the target didn't.
func (g *Guard) Failed(r *Request, t *Target, f *fault.Fault) string {
	if f.Kind == fault.TargetUnreachable {
		g.watch.connectFailed(t, f)
	}
	if !brokeOff(f) {
		return ""
	}
	r.broken++
	suspect := r.asSuspect()
	g.watch.brokeOff(t, suspect)
	return suspect.Fingerprint.String()
}

func (g *Guard) observeCrash(t *Target, suspects []quarantine.Suspect) {
	c := quarantine.Crash{Service: t.Service, Instance: t.instance(), Suspects: suspects}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOldCrashes(now)
	if len(g.crashes) < maxObserved {
		g.crashes = append(g.crashes, observedCrash{now, c})
	}
	g.note(&quarantine.Observations{Crashes: []quarantine.Crash{c}})
}

func (g *Guard) dropOldCrashes(now time.Time) {
	for len(g.crashes) > 0 && now.Sub(g.crashes[0].at) >= crashRetention {
		g.crashes = g.crashes[1:]
	}
}

// note records an observation of this router and wakes whoever tells it to the router that keeps the
// list; the caller holds the lock. It is in force here at once, also while no router keeps the list.
func (g *Guard) note(o *quarantine.Observations) {
	if g.keeps {
		g.observe(g.opts.Router, o)
		return
	}
	if changed, _ := g.tracker.Observe(time.Now(), g.opts.Router, o); changed {
		g.set.Store(quarantine.NewSet(g.tracker.Entries()))
	}
	g.observed.Crashes = appendBounded(g.observed.Crashes, o.Crashes)
	g.observed.Answered = appendBounded(g.observed.Answered, o.Answered)
	g.observed.Released = appendBounded(g.observed.Released, o.Released)
	g.observed.Tried = appendBounded(g.observed.Tried, o.Tried)
	g.signal()
}

// appendBounded appends to a list up to maxObserved elements.
func appendBounded[T any](list, more []T) []T {
	return append(list, more[:min(len(more), max(maxObserved-len(list), 0))]...)
}

func (g *Guard) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Guard) takeObserved() *quarantine.Observations {
	o := g.observed
	g.observed = quarantine.Observations{}
	return &o
}

// Wake receives a value when Take has something urgent to return.
func (g *Guard) Wake() <-chan struct{} { return g.wake }

// Take returns what this router has to tell the router that keeps the list.
func (g *Guard) Take() *quarantine.Observations {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.takeObserved()
}

// Observe records what another router has observed, if this one keeps the list.
func (g *Guard) Observe(router string, o *quarantine.Observations) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keeps {
		g.observe(router, o)
	}
}

func (g *Guard) observe(router string, o *quarantine.Observations) {
	changed, refused := g.tracker.Observe(time.Now(), router, o)
	for i := range refused {
		e := &refused[i]
		g.opts.Log.Warn("request quarantined", "service", e.Service, "fingerprint", e.Fingerprint, "crashes", e.Crashes, "instances", e.Instances,
			"first_crash_ago", time.Since(e.First), "seen_by", router)
	}
	if changed {
		g.publish()
	}
}

// publish puts the list that this router keeps in force and sends it to the others.
func (g *Guard) publish() {
	g.sequence++
	l := g.list()
	g.putInForce(l)
	g.opts.Publish(l)
}

func (g *Guard) putInForce(l *quarantine.List) {
	g.set.Store(quarantine.NewSet(l.Entries))
	refused := 0
	for i := range l.Entries {
		if l.Entries[i].Refused() {
			refused++
		}
	}
	if g.opts.Telemetry != nil {
		g.opts.Telemetry.Scope().Gauge("quarantined_requests").Update(float64(refused))
	}
	for f := range g.begun {
		if !g.tracker.Known(f) {
			delete(g.begun, f)
		}
	}
}

func (g *Guard) list() *quarantine.List {
	return &quarantine.List{Term: g.term, Sequence: g.sequence, Entries: g.tracker.Entries()}
}

// List returns the list in force.
func (g *Guard) List() *quarantine.List {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list()
}

// Contest answers a list of another router that keeps one although this one does: this router takes
// over what that one knows, in a higher term.
func (g *Guard) Contest(l *quarantine.List) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.keeps || !l.Newer(g.term, g.sequence) {
		return
	}
	g.term, g.sequence = l.Term+1, 0
	g.tracker.Merge(l.Entries)
	g.publish()
}

// Keep makes this router keep the list from now on, in the term or a higher one than it has seen.
func (g *Guard) Keep(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keeps, g.term, g.sequence = true, max(term, g.term+1), 0
	g.retell()
	g.tracker.Observe(time.Now(), g.opts.Router, g.takeObserved())
	g.publish()
}

// Yield makes this router no longer keep the list.
func (g *Guard) Yield() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keeps = false
}

// Retell makes Take return the crashes that this router observed lately once more. It is called when
// another router has begun to keep the list: the former one may not have passed them on.
func (g *Guard) Retell() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keeps {
		return
	}
	g.retell()
	g.signal()
}

func (g *Guard) retell() {
	g.dropOldCrashes(time.Now())
	g.observed.Crashes = nil
	for _, c := range g.crashes {
		g.observed.Crashes = append(g.observed.Crashes, c.crash)
	}
}

// Adopt puts a list of the router that keeps it in force, unless a newer one is.
func (g *Guard) Adopt(l *quarantine.List) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keeps || !l.Newer(g.term, g.sequence) {
		return
	}
	g.term, g.sequence = l.Term, l.Sequence
	g.tracker.Replace(l.Entries)
	g.putInForce(l)
}

// count increases a counter of the service.
func (o *Options) count(name, service string) {
	if o.Telemetry != nil {
		o.Telemetry.Scope().Tagged(map[string]string{"service": service}).Counter(name).Inc(1)
	}
}
