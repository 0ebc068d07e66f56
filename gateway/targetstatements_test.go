package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

const (
	// askedRest is the rest that targets ask for, and restGrace how long after its beginning requests may arrive that were
	// sent before.
	askedRest = 3 * time.Second
	restGrace = 500 * time.Millisecond
)

// newStatementFleet starts gateways in front of targets with and without keys, and waits until all serve. No target may get
// requests later than drainLimit after its leaving was acknowledged.
func newStatementFleet(t *testing.T, gateways int) *fleet {
	f := newFleet(t, 0, mixedConfig, mixedTargets()...)
	f.knownWithin = drainLimit
	for i := range gateways {
		f.start(routerName(i))
	}
	f.awaitSubscribed()
	f.awaitServed()
	return f
}

// byID returns the callers' first tries by ID.
func (l *callerLoad) byID() map[string]firstTry {
	l.mu.Lock()
	defer l.mu.Unlock()
	tries := make(map[string]firstTry, len(l.tries))
	for _, try := range l.tries {
		tries[try.id] = try
	}
	return tries
}

// toldToLeave returns when each router first passed on an answer that states that the target leaves.
func (l *callerLoad) toldToLeave(target string) map[string]time.Time {
	tries, told := l.byID(), map[string]time.Time{}
	for _, answered := range l.f.targets[target].LeavingAnswers() {
		try, known := tries[answered.ID]
		if at, again := told[try.router]; known && (!again || try.sent.Add(try.took).Before(at)) {
			told[try.router] = try.sent.Add(try.took)
		}
	}
	return told
}

// errLateAtLeaving returns an error if requests reached a target later than drainLimit after their router had passed on that it
// leaves.
func (l *callerLoad) errLateAtLeaving(target string) error {
	told, tries, late := l.toldToLeave(target), l.byID(), 0
	var latest time.Duration
	for _, arrival := range l.f.targets[target].Arrivals() {
		at, isTold := told[tries[arrival.ID].router]
		if after := arrival.At.Sub(at); isTold && after > drainLimit {
			late, latest = late+1, max(latest, after)
		}
	}
	if late > 0 {
		return errors.Errorf("%d requests reached %s later than %v after their router had passed on that it leaves, up to %v", late, target, drainLimit, latest)
	}
	return nil
}

// errInRest returns an error if a router sends a target more than a number of requests between restGrace after it was turned
// away and the end of the rest that was asked for.
func (l *callerLoad) errInRest(target string, rest time.Duration, allowed int) error {
	tries := l.byID()
	asked, arrived := map[string][]time.Time{}, map[string][]time.Time{}
	for _, r := range l.f.targets[target].TurnedAway() {
		asked[tries[r.ID].router] = append(asked[tries[r.ID].router], r.At)
	}
	for _, r := range l.f.targets[target].Arrivals() {
		arrived[tries[r.ID].router] = append(arrived[tries[r.ID].router], r.At)
	}
	for router, times := range asked {
		for _, at := range times {
			n := 0
			for _, arrival := range arrived[router] {
				if after := arrival.Sub(at); after > restGrace && after < rest {
					n++
				}
			}
			if n > allowed {
				return errors.Errorf("%s asked %s for %v without requests and got %d", target, router, rest, n)
			}
		}
	}
	return nil
}

// Guards against routers that go on sending to a target that has said in an answer that it leaves, while its entry says that it
// stays.
func TestTargetsThatSayTheyLeaveGetNoLateRequests(t *testing.T) {
	for name, trouble := range map[string]func(f *fleet){
		"the store is up":   func(*fleet) {},
		"the store is down": func(f *fleet) { f.cutStore(true) },
		"the store is down and the leader lost": func(f *fleet) {
			f.cutStore(true)
			abandon(f.leader())
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStatementFleet(t, 5)
			load := startLoad(f)
			keyed, plain := f.busiest("keyed"), f.busiest("any")
			trouble(f)
			f.targets[keyed].StateLeaving("1")
			f.targets[plain].StateLeaving("1")
			waittest.Until(t, "a router was told", func() bool { return len(load.toldToLeave(plain)) > 0 && len(load.toldToLeave(keyed)) > 0 })
			time.Sleep(2 * drainLimit)
			load.end()
			assert.Check(t, load.errLateAtLeaving(plain))
			assert.Check(t, load.errLateAtLeaving(keyed))
			load.checkPromises()
		})
	}
}

// askRests makes all targets of a service turn requests away, or none any more.
func (f *fleet) askRests(service string, rest *platformtest.Rest) {
	for _, target := range f.targets {
		if target.Service == service {
			target.AskRest(rest)
		}
	}
}

// arrivals returns how many requests have reached the targets of a service.
func (f *fleet) arrivals(service string) (n int) {
	for _, target := range f.targets {
		if target.Service == service {
			n += len(target.Arrivals())
		}
	}
	return n
}

// Guards against routers that go on sending to a target that has turned them away and asked for a rest.
func TestRestingTargetsGetNoRequests(t *testing.T) {
	for name, rest := range map[string]*platformtest.Rest{
		"said not to have run": {RetryAfter: []string{"3"}},
		"not said":             {RetryAfter: []string{"3"}, Unstated: true},
	} {
		for _, service := range []string{"keyed", "any"} {
			t.Run(service+", "+name, func(t *testing.T) {
				f := newStatementFleet(t, 5)
				load := startLoad(f)
				f.askRests(service, rest)
				time.Sleep(askedRest + 2*time.Second)
				load.end()
				turnedAway := 0
				for id, target := range f.targets {
					if target.Service == service {
						turnedAway += len(target.TurnedAway())
						assert.Check(t, load.errInRest(id, askedRest, 0))
					}
				}
				assert.Check(t, turnedAway > 0)
				load.checkPromises()
			})
		}
	}
}

// knowsLeaving reports whether a gateway knows an instance of a target to leave.
func (g *Gateway) knowsLeaving(id string, start int64) bool {
	t, known := g.targetOf(keyspace.Holder{Target: id, StartUnixMilli: start})
	return known && t.Draining
}

// Guards against a leaving that only the router knows that was told, while the store is down, and against one that holds on for
// the next life of the target.
func TestAllRoutersLearnThatATargetSaysItLeaves(t *testing.T) {
	f := newStatementFleet(t, 3)
	f.cutStore(true)
	id := f.busiest("any")
	f.targets[id].StateLeaving("1")
	told := f.gateways[0]
	waittest.Until(t, "one router is told", func() bool {
		f.send(told, call{method: http.MethodGet, path: "/read/1", key: -1})
		return told.knowsLeaving(id, 1)
	})
	for _, g := range f.gateways {
		waittest.Until(t, "all know", func() bool { return g.knowsLeaving(id, 1) })
	}
	arrivals := len(f.targets[id].Arrivals())
	for _, g := range f.gateways {
		for range 20 {
			assert.Equal(t, f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1}).status, http.StatusOK)
		}
	}
	assert.Equal(t, len(f.targets[id].Arrivals()), arrivals)
	f.cutStore(false)
	f.targets[id].StateLeaving("")
	f.targets[id].Restart(f.store)
	for _, g := range f.gateways {
		waittest.Until(t, "the next life is known to stay", func() bool {
			t, known := g.targetOf(keyspace.Holder{Target: id, StartUnixMilli: 2})
			return known && !t.Draining
		})
	}
}

// Guards against a holder that says that it leaves to the leader only, by its answers to orders.
func TestHolderThatSaysItLeavesToTheLeaderLosesItsKeys(t *testing.T) {
	f := newStatementFleet(t, 3)
	id := f.holder(100)
	f.targets[id].StateLeaving("1")
	waittest.Until(t, "the keys have moved", func() bool { held := f.holder(100); return held != "" && held != id })
}

// Guards against targets that get no requests any more because of a value that can't be read.
func TestUnreadableStatementsHarmNobody(t *testing.T) {
	f := newStatementFleet(t, 2)
	for _, text := range []string{"", "abc", "-3", "NaN", "+Inf"} {
		for _, target := range f.targets {
			target.StateLeaving("no " + text)
			target.AskRest(&platformtest.Rest{RetryAfter: []string{text}})
		}
		for _, g := range f.gateways {
			f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1})
			f.send(g, call{method: http.MethodGet, path: "/look/1", key: 100})
		}
		for _, target := range f.targets {
			target.AskRest(nil)
		}
		for _, g := range f.gateways {
			assert.Equal(t, f.send(g, call{method: http.MethodGet, path: "/read/1", key: -1}).status, http.StatusOK)
			assert.Equal(t, f.send(g, call{method: http.MethodGet, path: "/look/1", key: 100}).status, http.StatusOK)
		}
	}
	for _, message := range []string{"leaving of a target not read", "rest of a target not read"} {
		logged := strings.Count(f.log.String(), message)
		assert.Assert(t, logged > 0 && logged <= 2*len(f.gateways), "%s: %d", message, logged)
	}
}

// Guards against a router that sends to a target for others, or for itself, what that wants no requests from it for.
func TestRestHoldsForTheRouterOnTheWayToo(t *testing.T) {
	f, cut, leader := cutFollower(t, plainTarget("p0"), plainTarget("p1"))
	read := call{method: http.MethodGet, path: "/read/1", key: -1}
	for _, first := range []*Gateway{cut, leader} {
		f.askRests("any", &platformtest.Rest{RetryAfter: []string{"1.5"}})
		waittest.Until(t, "both rest", func() bool {
			f.send(first, read)
			return len(first.rests.current()) == 2
		})
		f.askRests("any", nil)
		arrivals := f.arrivals("any")
		for _, g := range []*Gateway{leader, cut} {
			a := f.send(g, read)
			assert.Equal(t, a.status, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			assert.Assert(t, err == nil && wait > 0.5 && wait < 4, "Retry-After: %v", a.header)
			assert.Equal(t, f.runsOf(a.id), 0)
		}
		assert.Equal(t, f.arrivals("any"), arrivals)
		f.sendUntilServed(leader, read)
		f.sendUntilServed(cut, read)
	}
}

// Guards against refusals that come late or without what is left of the rest, and against a rest that never ends or that the
// callers of other targets notice.
func TestCallersOfARestingTargetAreToldWhenToReturn(t *testing.T) {
	f := newStatementFleet(t, 2)
	load := startLoad(f)
	id := f.holder(100)
	began := time.Now()
	f.targets[id].AskRest(&platformtest.Rest{RetryAfter: []string{"2"}})
	g, look := f.gateways[0], call{method: http.MethodGet, path: "/look/1", key: 100}
	var refused answer
	waittest.Until(t, "a request is turned away", func() bool {
		refused = f.send(g, look)
		return refused.status == http.StatusServiceUnavailable
	})
	wait, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.Assert(t, err == nil && wait >= 1 && wait <= 5, "Retry-After: %v", refused.header)
	f.targets[id].AskRest(nil)
	f.sendUntilServed(g, look)
	waittest.Until(t, "no rest is left", func() bool { return len(g.rests.current()) == 0 })
	load.end()
	assert.Check(t, load.errSlowRefusal(began))
	assert.Check(t, load.share(began, "/read/", f.routerNames()) > 0.9)
	load.checkPromises()
}

// movesKey reports whether a key is being moved by what a gateway knows.
func (g *Gateway) movesKey(service string, key keyspace.Key) bool {
	table, _ := g.service(service).currentTable()
	return table != nil && table.Find(key).Moving
}

// Guards against requests that wait most of a second each to be refused, for all of an outage of the store, because their key was
// being moved away from a leaving target as it began.
func TestKeysInAMoveAreRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	f := newStatementFleet(t, 3)
	holder := f.holder(100)
	f.targets[holder].StateLeaving("1")
	waittest.Until(t, "the key moves", func() bool { return f.leader().movesKey("keyed", 100) })
	f.cutStore(true)
	look := call{method: http.MethodGet, path: "/look/1", key: 100}
	time.Sleep(storeSuspectAfter + time.Second)
	for _, g := range f.gateways {
		assert.Assert(t, g.movesKey("keyed", 100))
		began := time.Now()
		a := f.send(g, look)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "refused after %v", time.Since(began))
	}
	f.cutStore(false)
	f.sendUntilServed(f.gateways[0], look)
}

// Guards against a target that gets no more work for what another target has stated that has its address now.
func TestStatementsOfTheTargetThatHasAnAddressNowAreItsOwn(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	f.awaitTarget("a")
	g := f.gateways[0]
	a, known := g.targetOf(keyspace.Holder{Target: "a", StartUnixMilli: 1})
	assert.Assert(t, known)
	for _, by := range []string{"b", "a"} {
		h := http.Header{"Tarragongw-Instance-Id": {by}, "Server-Leaving": {"1"}, "Server-Limit": {"3"}, "Retry-After": {"9"}}
		g.observeAnswer(&a, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: h}, time.Now())
		_, resting := g.rests.left(a.Holder())
		assert.Equal(t, len(g.statedLeaving.all()) > 0, by == "a")
		assert.Equal(t, len(g.statedLimits.current()) > 0, by == "a")
		assert.Equal(t, resting, by == "a")
	}
}
