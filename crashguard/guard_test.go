package crashguard

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/quarantine"
	"tarragongw/replay"
)

// newTestGuard returns a guard, and the lists that it publishes.
func newTestGuard(t *testing.T, router string) (*Guard, *[]*quarantine.List) {
	t.Helper()
	var published []*quarantine.List
	g := New(Options{
		Router: router, Log: slog.New(slog.DiscardHandler), Lifetime: t.Context(), Run: func(job func()) { go job() },
		IsActive: func(*Target) bool { return true }, Publish: func(l *quarantine.List) { published = append(published, l) },
	})
	return g, &published
}

func newRequest(uri string) *Request {
	return &Request{HTTP: httptest.NewRequest(http.MethodGet, uri, nil), ID: "id", Service: "s"}
}

// crashedUnder returns a crash with the request in flight.
func crashedUnder(r *Request, target string) *quarantine.Observations {
	suspect, _ := r.Fingerprint()
	crash := quarantine.Crash{Service: "s", Instance: quarantine.Instance{Target: target, StartUnixMilli: 1}, Suspects: []quarantine.Suspect{suspect}}
	return &quarantine.Observations{Crashes: []quarantine.Crash{crash}}
}

func refuse(g *Guard, r *Request) {
	for _, target := range []string{"a", "b", "c"} {
		g.Observe("other", crashedUnder(r, target))
	}
}

// Guards against an ordinary request whose body is awaited, or whose fingerprint is computed.
func TestNothingIsComputedForRequestsThatResembleNoSuspectedOne(t *testing.T) {
	g, _ := newTestGuard(t, "a")
	g.Keep(1)
	refuse(g, newRequest("/deadly"))
	body, never := io.Pipe()
	defer never.Close()
	r := newRequest("/ordinary")
	r.HTTP.Body, r.HTTP.ContentLength = body, 10
	r.Body = replay.New(r.HTTP, 1<<10)
	assert.Assert(t, g.Check(r) == nil && g.Begin(r) == nil)
	g.Answered(r)
	assert.Assert(t, r.suspect == nil)
	assert.Equal(t, testing.AllocsPerRun(100, func() { g.Check(r) }), 0.0)
}

// Guards against routers that learn of a crash from nobody because its reports went to a router that no
// longer keeps the list.
func TestCrashesAreToldToTheNextKeeper(t *testing.T) {
	follower, _ := newTestGuard(t, "follower")
	suspect, _ := newRequest("/deadly").Fingerprint()
	follower.observeCrash(&Target{Service: "s", ID: "a", StartUnixMilli: 1}, []quarantine.Suspect{suspect})
	<-follower.Wake()
	assert.Equal(t, len(follower.Take().Crashes), 1)
	assert.Assert(t, follower.Take().Empty())
	follower.Retell()
	<-follower.Wake()
	told := follower.Take()
	assert.Equal(t, len(told.Crashes), 1)
	keeper, published := newTestGuard(t, "keeper")
	keeper.Keep(1)
	keeper.Observe("follower", told)
	keeper.Observe("follower", crashedUnder(newRequest("/deadly"), "b"))
	last := (*published)[len(*published)-1]
	assert.Equal(t, last.Entries[0].Crashes, 2)
}

// Guards against a former leader's list that undoes what the present one has sent.
func TestListOfAnEarlierTermIsIgnored(t *testing.T) {
	old, oldLists := newTestGuard(t, "old")
	old.Keep(1)
	refuse(old, newRequest("/deadly"))
	next, nextLists := newTestGuard(t, "next")
	next.Keep(2)
	follower, _ := newTestGuard(t, "follower")
	follower.Adopt((*nextLists)[0])
	for _, l := range *oldLists {
		follower.Adopt(l)
	}
	assert.Equal(t, len(follower.List().Entries), 0)
	next.Yield()
	next.Adopt((*oldLists)[0])
	assert.Equal(t, len(next.List().Entries), 0)
}

// Guards against routers that ignore the right keeper's lists for good because another one kept a list in
// a higher term for a moment.
func TestKeeperTakesOverTheListOfAnotherKeeper(t *testing.T) {
	right, lists := newTestGuard(t, "a")
	right.Keep(0)
	other, otherLists := newTestGuard(t, "b")
	other.Adopt((*lists)[0])
	other.Keep(0)
	refuse(other, newRequest("/deadly"))
	follower, _ := newTestGuard(t, "c")
	follower.Adopt((*otherLists)[len(*otherLists)-1])
	right.Contest((*otherLists)[len(*otherLists)-1])
	last := (*lists)[len(*lists)-1]
	assert.Assert(t, last.Entries[0].Refused())
	right.Release(last.Entries[0].Fingerprint)
	follower.Adopt((*lists)[len(*lists)-1])
	assert.Equal(t, len(follower.List().Entries), 0)
}

// Guards against a trial that several copies of the request make use of.
func TestTrialLetsOneRequestThrough(t *testing.T) {
	g, _ := newTestGuard(t, "a")
	g.Keep(1)
	refuse(g, newRequest("/deadly"))
	f := g.Check(newRequest("/deadly"))
	assert.Assert(t, f != nil && f.Kind == fault.Quarantined && f.Ran == fault.NotRun)
	// The crashes came at the same moment, so that the refusal has made a trial due here.
	first, second := newRequest("/deadly"), newRequest("/deadly")
	assert.Assert(t, g.Check(first) == nil && g.Check(second) == nil)
	assert.Assert(t, g.Begin(first) == nil)
	assert.Assert(t, g.Begin(second) != nil)
	g.Answered(first)
	assert.Assert(t, g.Begin(second) == nil)
}

// Guards against a flood of refused requests that keeps the router busy with reports.
func TestRefusalsAreToldOnceInABatch(t *testing.T) {
	g, _ := newTestGuard(t, "b")
	keeper, lists := newTestGuard(t, "a")
	keeper.Keep(1)
	refuse(keeper, newRequest("/deadly"))
	g.Adopt((*lists)[len(*lists)-1])
	for range 1000 {
		assert.Assert(t, g.Check(newRequest("/deadly")) != nil)
	}
	select {
	case <-g.Wake():
		t.Error("a refusal is not urgent")
	case <-time.After(10 * time.Millisecond):
	}
	assert.Equal(t, len(g.Take().Refused), 1)
}

func TestRequestIsNotSentAgainAfterTwoBrokenSends(t *testing.T) {
	g, _ := newTestGuard(t, "a")
	r, target := newRequest("/deadly"), &Target{Service: "s", ID: "a"}
	for range MaxBrokenSends {
		assert.Assert(t, r.MayResend())
		g.Failed(r, target, fault.New(fault.TargetUnreachable, ""))
		assert.Assert(t, g.Failed(r, target, fault.New(fault.TargetLost, "")) != "")
	}
	assert.Assert(t, !r.MayResend())
}
