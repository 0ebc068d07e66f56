package sample_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
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

// testTarget is a started target with the two clients that a router has for it.
type testTarget struct {
	*sample.Server
	pool    *target.Pool
	control *target.Control
}

func start(t *testing.T, cfg sample.Config) *testTarget {
	t.Helper()
	s := &testTarget{Server: sample.New(cfg)}
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

func (s *testTarget) send(t *testing.T, ctx context.Context, method, key, body string, headers target.RequestHeaders) (*sample.Result, *fault.Fault) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Addr()+"/stall/"+key, strings.NewReader(body))
	assert.NilError(t, err)
	headers.Set(r.Header)
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

func fullBatch(term, sequence uint64, units ...target.UnitGrant) *target.GrantBatch {
	return &target.GrantBatch{Grantor: "r1", Term: term, Sequence: sequence, TTLMillis: 60_000,
		Service: "faq", Full: true, Units: units, Digest: target.Digest(units)}
}

var tokensAndExpiry = model.GrantCheck{ChecksTokens: true, Expires: true}

func TestWriteThenReadUnderAGrant(t *testing.T) {
	s := start(t, sample.Config{Name: "t1", Grants: tokensAndExpiry, Slots: 3})
	ctx := context.Background()
	headers := target.RequestHeaders{RequestID: "a", Unit: "faq/1", Token: 1, Term: 1}

	_, f := s.send(t, ctx, "PUT", "k", "v", headers)
	faulttest.Is(t, f, fault.StaleRoute, fault.NotRun)
	assert.Equal(t, f.Detail, sample.CauseUnit)
	assert.Equal(t, f.RetryAfter, time.Second)

	reply, err := s.control.Grant(ctx, fullBatch(1, 1, target.UnitGrant{Unit: "faq/1", Token: 1}), math.MaxInt64)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, &target.GrantReply{Accepted: true, Term: 1})
	_, f = s.send(t, ctx, "PUT", "k", "v", headers)
	assert.Assert(t, f == nil)
	headers.RequestID = "b"
	result, f := s.send(t, ctx, "GET", "k", "", headers)
	assert.Assert(t, f == nil)
	assert.DeepEqual(t, result, &sample.Result{Target: "t1", Unit: "faq/1", Key: "k", Value: "v", Version: 1})
	assert.Equal(t, s.Log().Runs("a"), 1)

	reply, err = s.control.Grant(ctx, fullBatch(0, 9), math.MaxInt64)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, &target.GrantReply{Accepted: false, Term: 1, Cause: sample.CauseTerm})
}

func TestHealthReportsStateUnlessMisreported(t *testing.T) {
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
func (s *testTarget) waitForLoad(t *testing.T, load float64) {
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

func TestShedsRequestsBeyondSlots(t *testing.T) {
	s := start(t, sample.Config{Slots: 1, Work: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan *fault.Fault)
	go func() {
		_, f := s.send(t, ctx, "POST", "k", "v", target.RequestHeaders{RequestID: "a"})
		first <- f
	}()
	s.waitForLoad(t, 1)
	_, f := s.send(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: "b"})
	assert.Equal(t, f.Kind, fault.TargetRefused)
	assert.Equal(t, f.Detail, sample.CauseOverload)
	cancel()
	<-first
}

func TestCutPointDecidesWhetherRequestRuns(t *testing.T) {
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
			_, f := s.send(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: "a"})
			assert.Equal(t, f.Kind, c.kind)
			assert.Equal(t, s.Log().Runs("a"), c.runs)
		})
	}
}

// Guards against cancelled work that takes effect later: a caller cancels a request in
// flight and the router closes the connection, but the target runs the work because it
// doesn't check the connection first.
func TestCancelledWorkIsNotRun(t *testing.T) {
	s := start(t, sample.Config{Slots: 1, Work: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		s.waitForLoad(t, 1)
		cancel()
	}()
	_, f := s.send(t, ctx, "POST", "k", "v", target.RequestHeaders{RequestID: "a"})
	faulttest.Is(t, f, fault.CallerGone, fault.RanUnknown)
	s.waitForLoad(t, 0)
	assert.Equal(t, s.Log().Runs("a"), 0)
}

// A target that freezes with a request in flight may run it after the deadline has passed.
// The router can't prevent this, so it must report "unknown" and not "not run".
func TestFrozenTargetRunsExpiredRequestAfterUnfreeze(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	expireDeadline := func(*http.Request) { cancel(context.DeadlineExceeded) }
	s := start(t, sample.Config{Seen: expireDeadline})
	s.Faults.IgnoreCancel(true)
	s.Faults.Freeze()
	// The request has no body, because the end of a body might not have been sent when the
	// context is cancelled.
	_, f := s.send(t, ctx, "POST", "k", "", target.RequestHeaders{RequestID: "a"})
	faulttest.Is(t, f, fault.DeadlineExceeded, fault.RanUnknown)
	assert.Equal(t, s.Log().Runs("a"), 0)
	s.Faults.Unfreeze()
	for s.Log().Runs("a") == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	s := start(t, sample.Config{Work: time.Hour})
	_, f := s.send(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: "a", TimeLeft: time.Second})
	assert.Equal(t, f.Ran, fault.NotRun)
	assert.Equal(t, f.Detail, sample.CauseDeadline)
	assert.Equal(t, s.Log().Runs("a"), 0)
}

// Guards against handlers that start after Close has returned or race with its wait.
func TestCloseWaitsForConcurrentRequests(t *testing.T) {
	for round := range 600 {
		s := sample.New(sample.Config{Work: time.Millisecond})
		assert.NilError(t, s.Start())
		var callers sync.WaitGroup
		callers.Go(func() { requestUntilError(s.Addr()) })
		time.Sleep(time.Duration(round%30) * 70 * time.Microsecond)
		s.Close()
		arrived := s.Arrivals()
		callers.Wait()
		assert.Equal(t, s.Arrivals(), arrived)
	}
}

// requestUntilError sends requests one after another until one fails.
func requestUntilError(address string) {
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

func TestOverlapsAndRepeatsAreFound(t *testing.T) {
	log := sample.NewLog(100)
	run := func(name, id string, token uint64) {
		s := start(t, sample.Config{Name: name, Log: log})
		_, f := s.send(t, context.Background(), "POST", "k", "v", target.RequestHeaders{RequestID: id, Unit: "faq/1", Token: token})
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

func TestRepeatedReadsAreNotInRepeatedOnce(t *testing.T) {
	s := start(t, sample.Config{Name: "t1"})
	for range 2 {
		_, f := s.send(t, context.Background(), "GET", "k", "", target.RequestHeaders{RequestID: "a"})
		assert.Assert(t, f == nil)
	}
	assert.DeepEqual(t, s.Log().Repeated(), []string{"a"})
	assert.Equal(t, len(s.Log().RepeatedOnce()), 0)
}
