package sample_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/internal/faulttest"
	"tarragongw/target"
	"tarragongw/target/sample"
)

// side is a started target with the router's two sides of it.
type side struct {
	*sample.Server
	pool    *target.Pool
	control *target.Control
}

func start(t *testing.T, cfg sample.Config) *side {
	t.Helper()
	s := &side{Server: sample.New(cfg)}
	assert.NilError(t, s.Start())
	t.Cleanup(s.Server.Close)
	var err error
	s.pool, err = target.New(target.PoolConfig{Address: s.Addr(), MaxConns: 10})
	assert.NilError(t, err)
	s.control, err = target.NewControl(s.pool)
	assert.NilError(t, err)
	t.Cleanup(s.pool.Close)
	t.Cleanup(s.control.Close)
	return s
}

func (s *side) do(t *testing.T, ctx context.Context, method, key, body string, order target.RequestHeaders) (*sample.Result, *fault.Fault) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Addr()+"/stall/"+key, strings.NewReader(body))
	assert.NilError(t, err)
	order.Set(r.Header)
	resp, f := s.pool.Attempt(ctx, r)
	if f != nil {
		return nil, f
	}
	defer resp.Body.Close()
	encoded, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err.(*fault.Fault)
	}
	result := new(sample.Result)
	assert.NilError(t, json.Unmarshal(encoded, result))
	return result, nil
}

func grant(term, sequence uint64, units ...target.UnitGrant) *target.GrantBatch {
	return &target.GrantBatch{Grantor: "r1", Term: term, Sequence: sequence, TTLMillis: 60_000,
		Service: "faq", Full: true, Units: units, Digest: target.Digest(units)}
}

var both = model.GrantCheck{ChecksTokens: true, Expires: true}

func TestWriteThenReadUnderAGrant(t *testing.T) {
	s := start(t, sample.Config{Name: "t1", Grants: both, Slots: 3})
	ctx := context.Background()
	order := target.RequestHeaders{RequestID: "a", Unit: "faq/1", Token: 1, Term: 1}

	_, f := s.do(t, ctx, "PUT", "k", "v", order)
	faulttest.Is(t, f, fault.StaleRoute, fault.NotRun)
	assert.Equal(t, f.Detail, sample.CauseUnit)
	assert.Equal(t, f.RetryAfter, time.Second)

	reply, err := s.control.Grant(ctx, grant(1, 1, target.UnitGrant{Unit: "faq/1", Token: 1}))
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, &target.GrantReply{Accepted: true, Term: 1})
	_, f = s.do(t, ctx, "PUT", "k", "v", order)
	assert.Assert(t, f == nil)
	order.RequestID = "b"
	result, f := s.do(t, ctx, "GET", "k", "", order)
	assert.Assert(t, f == nil)
	assert.DeepEqual(t, result, &sample.Result{Target: "t1", Unit: "faq/1", Key: "k", Value: "v", Version: 1})
	assert.Equal(t, s.Log().Runs("a"), 1)

	reply, err = s.control.Grant(ctx, grant(0, 9))
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, &target.GrantReply{Accepted: false, Term: 1, Cause: sample.CauseTerm})
}

func TestHealthAndItsLies(t *testing.T) {
	s := start(t, sample.Config{Slots: 3, ColdFor: time.Hour})
	ctx := context.Background()
	s.Drain(true)
	h, err := s.control.Probe(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, h, &target.Health{Ready: true, Draining: true, Cold: true})
	s.Faults.LieReady(true)
	s.Faults.LieLoad(true, 0.5)
	h, err = s.control.Probe(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, h, &target.Health{Ready: true, Load: 0.5})
}

// waitForLoad polls until the target reports the load.
func (s *side) waitForLoad(t *testing.T, load float64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		h, err := s.control.Probe(ctx)
		assert.NilError(t, err)
		if h.Load == load {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestShedsLoadOverItsSlots(t *testing.T) {
	s := start(t, sample.Config{Slots: 1, Work: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan *fault.Fault)
	go func() {
		_, f := s.do(t, ctx, "POST", "k", "v", target.RequestHeaders{RequestID: "a"})
		first <- f
	}()
	s.waitForLoad(t, 1)
	_, f := s.do(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: "b"})
	assert.Equal(t, f.Kind, fault.TargetRefused)
	assert.Equal(t, f.Detail, sample.CauseOverload)
	cancel()
	<-first
}

func TestCutsAndWhatRan(t *testing.T) {
	cases := []struct {
		cut  sample.Cut
		runs int
		kind fault.Kind
	}{
		{sample.CutBeforeRun, 0, fault.TargetLost},
		{sample.CutAfterRun, 1, fault.TargetLost},
		{sample.CutMidAnswer, 1, fault.AnswerTruncated},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.cut), func(t *testing.T) {
			s := start(t, sample.Config{})
			s.Faults.CutNext(c.cut)
			_, f := s.do(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: "a"})
			assert.Equal(t, f.Kind, c.kind)
			assert.Equal(t, s.Log().Runs("a"), c.runs)
		})
	}
}

// Symptom: work of a caller who gave up takes effect much later.
// Sequence: a request is at work, its caller cancels, the router closes the
// connection, the work goes on and is run.
// Cause: a target that doesn't look at the connection before it runs the work.
func TestCancelledWorkIsNotRun(t *testing.T) {
	s := start(t, sample.Config{Slots: 1, Work: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		s.waitForLoad(t, 1)
		cancel()
	}()
	_, f := s.do(t, ctx, "POST", "k", "v", target.RequestHeaders{RequestID: "a"})
	faulttest.Is(t, f, fault.CallerGone, fault.RanUnknown)
	s.waitForLoad(t, 0)
	assert.Equal(t, s.Log().Runs("a"), 0)
}

// Symptom: a request whose deadline passed is found to have run.
// Sequence: the target freezes with the request in it, the deadline passes, the
// target returns as if nothing had happened.
// Cause: none that the router could mend, so it must say "unknown" and not "not run".
func TestFrozenTargetRunsOnReturn(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	passed := func(*http.Request) { cancel(context.DeadlineExceeded) }
	s := start(t, sample.Config{Seen: passed})
	s.Faults.IgnoreCancel(true)
	s.Faults.Freeze()
	// Without a body, of which the end may not have been sent when the caller gives up.
	_, f := s.do(t, ctx, "POST", "k", "", target.RequestHeaders{RequestID: "a"})
	faulttest.Is(t, f, fault.DeadlineExceeded, fault.RanUnknown)
	assert.Equal(t, s.Log().Runs("a"), 0)
	s.Faults.Unfreeze()
	for s.Log().Runs("a") == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestDeadlineThatWorkCannotMeetIsRefused(t *testing.T) {
	s := start(t, sample.Config{Work: time.Hour})
	_, f := s.do(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: "a", TimeLeft: time.Second})
	assert.Equal(t, f.Ran, fault.NotRun)
	assert.Equal(t, f.Detail, sample.CauseDeadline)
	assert.Equal(t, s.Log().Runs("a"), 0)
}

// It guards against handlers that begin after Close has returned, or race with its wait.
func TestCloseWaitsForRequestsThatArriveWithIt(t *testing.T) {
	for round := range 600 {
		s := sample.New(sample.Config{Work: time.Millisecond})
		assert.NilError(t, s.Start())
		var callers sync.WaitGroup
		callers.Go(func() { askUntilCut(s.Addr()) })
		time.Sleep(time.Duration(round%30) * 70 * time.Microsecond)
		s.Close()
		arrived := s.Arrivals()
		callers.Wait()
		assert.Equal(t, s.Arrivals(), arrived)
	}
}

// askUntilCut sends one request after the other until one fails.
func askUntilCut(address string) {
	client := &http.Client{Transport: &http.Transport{}}
	for {
		resp, err := client.Get("http://" + address + "/stall/x")
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func TestOverlapsAreFound(t *testing.T) {
	log := sample.NewLog(100)
	run := func(name, id string, token uint64) {
		s := start(t, sample.Config{Name: name, Log: log})
		_, f := s.do(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: id, Unit: "faq/1", Token: token})
		assert.Assert(t, f == nil)
	}
	run("t1", "a", 1)
	run("t2", "b", 2)
	assert.Equal(t, len(log.Overlaps()), 0)
	run("t1", "c", 1)
	assert.Equal(t, len(log.Overlaps()), 1)
	assert.Equal(t, log.Overlaps()[0].Later.RequestID, "c")
	run("t1", "c", 3)
	assert.DeepEqual(t, log.Repeated(), []string{"c"})
	assert.DeepEqual(t, log.RepeatedOnce(), []string{"c"})
}

func TestRepeatedReadsAreNoRepeatedWrites(t *testing.T) {
	s := start(t, sample.Config{Name: "t1"})
	for range 2 {
		_, f := s.do(t, context.Background(), "GET", "k", "", target.RequestHeaders{RequestID: "a"})
		assert.Assert(t, f == nil)
	}
	assert.DeepEqual(t, s.Log().Repeated(), []string{"a"})
	assert.Equal(t, len(s.Log().RepeatedOnce()), 0)
}
