package operator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/history"
	"tarragongw/eventlog"
	"tarragongw/operator"
)

// fakeBackend answers with fixed values and records the arguments of calls.
type fakeBackend struct {
	err   error
	apply operator.ApplyRequest
	drain operator.DrainRequest
	// released is the request of the last call to Release.
	released operator.ReleaseRequest
	since    time.Time
	query    operator.EventQuery
	key      string
	// passedOn is the router and URI of the last call to PassOn, which passOn answers.
	passedOn string
	passOn   func(ctx context.Context) (*http.Response, error)
}

func (f *fakeBackend) Config(context.Context) (*operator.Config, error) {
	return &operator.Config{Revision: 7, Model: []byte(`{}`)}, f.err
}

func (f *fakeBackend) Apply(_ context.Context, req *operator.ApplyRequest) (*operator.ApplyReply, error) {
	f.apply = *req
	return &operator.ApplyReply{Revision: 8}, f.err
}

func (f *fakeBackend) Drain(_ context.Context, req *operator.DrainRequest) (*operator.ApplyReply, error) {
	f.drain = *req
	return &operator.ApplyReply{Revision: 9}, f.err
}

func (f *fakeBackend) ConfirmDead(_ context.Context, req *operator.ConfirmDeadRequest) (*operator.ConfirmDeadReply, error) {
	return &operator.ConfirmDeadReply{Target: req.Target, Dead: []string{"a", "b"}}, f.err
}

func (f *fakeBackend) Revisions(_ context.Context, all bool) ([]operator.RouterRevision, error) {
	out := []operator.RouterRevision{{Router: "a"}}
	if all {
		out = append(out, operator.RouterRevision{Router: "b"})
	}
	return out, f.err
}

func (f *fakeBackend) Status(context.Context) (*operator.Status, error) {
	return &operator.Status{Router: "a"}, f.err
}

func (f *fakeBackend) Events(_ context.Context, query operator.EventQuery) (*operator.EventPage, error) {
	f.since, f.query = query.Since, query
	return &operator.EventPage{Router: "a", Life: 5, Next: 3, Events: []eventlog.Event{{Seq: 3, Kind: eventlog.OwnerChanged}}}, f.err
}

func (f *fakeBackend) Routers(context.Context) ([]operator.RouterState, error) {
	return []operator.RouterState{{Router: "a"}, {Router: "b"}}, f.err
}

func (f *fakeBackend) Series(_ context.Context, since time.Time) (*operator.Series, error) {
	f.since = since
	return &operator.Series{Router: "a", Series: history.Series{Step: time.Second}}, f.err
}

func (f *fakeBackend) Self() string { return "a" }

func (f *fakeBackend) PassOn(ctx context.Context, router, uri string) (*http.Response, error) {
	if f.passOn == nil {
		return nil, operator.Errorf(operator.CodeUnavailable, "router %s was not reached", router)
	}
	f.passedOn = router + " " + uri
	return f.passOn(ctx)
}

func (f *fakeBackend) ExplainKey(_ context.Context, service, key string) (*operator.KeyExplanation, error) {
	f.key = service + "/" + key
	return &operator.KeyExplanation{Service: service, Key: key}, f.err
}

func (f *fakeBackend) ExplainRequest(_ context.Context, id string) (*operator.RequestExplanation, error) {
	return &operator.RequestExplanation{ID: id}, f.err
}

func (f *fakeBackend) ExplainTarget(_ context.Context, name string) (*operator.TargetExplanation, error) {
	return &operator.TargetExplanation{Target: name}, f.err
}

func (f *fakeBackend) Quarantine(context.Context) (*operator.Quarantine, error) {
	return &operator.Quarantine{Router: f.Self(), Requests: []operator.SuspectedRequest{{Fingerprint: "f", Crashes: 3, Refused: true}}}, f.err
}

func (f *fakeBackend) Release(_ context.Context, req *operator.ReleaseRequest) (*operator.ReleaseReply, error) {
	f.released = *req
	return &operator.ReleaseReply{Fingerprint: req.Fingerprint}, f.err
}

func serve(t *testing.T, f *fakeBackend) *operator.Client {
	t.Helper()
	server := httptest.NewServer(operator.NewHandler(f))
	t.Cleanup(server.Close)
	return &operator.Client{Base: server.URL}
}

func TestCallsReachBackendWithAllArguments(t *testing.T) {
	f := &fakeBackend{}
	c := serve(t, f)
	ctx := context.Background()

	config, err := c.Config(ctx)
	assert.NilError(t, err)
	assert.Equal(t, config.Revision, uint64(7))

	applied, err := c.Apply(ctx, &operator.ApplyRequest{Base: 7, Author: "ann", Model: []byte(`{"a":1}`)})
	assert.NilError(t, err)
	assert.Equal(t, applied.Revision, uint64(8))
	assert.Equal(t, f.apply.Base, uint64(7))
	assert.Equal(t, f.apply.Author, "ann")
	assert.Equal(t, string(f.apply.Model), `{"a":1}`)
	assert.Assert(t, !f.apply.DryRun)

	_, err = c.Drain(ctx, &operator.DrainRequest{Target: "t", Undo: true, Author: "ann"})
	assert.NilError(t, err)
	assert.Equal(t, f.drain, operator.DrainRequest{Target: "t", Undo: true, Author: "ann"})

	dead, err := c.ConfirmDead(ctx, &operator.ConfirmDeadRequest{Target: "t", Author: "ann"})
	assert.NilError(t, err)
	assert.Equal(t, dead.Target, "t")
	assert.Equal(t, len(dead.Dead), 2)

	quarantined, err := c.Quarantine(ctx)
	assert.NilError(t, err)
	assert.Equal(t, quarantined.Requests[0].Crashes, 3)
	released, err := c.Release(ctx, &operator.ReleaseRequest{Fingerprint: "f", Author: "ann"})
	assert.NilError(t, err)
	assert.Equal(t, released.Fingerprint, "f")
	assert.Equal(t, f.released, operator.ReleaseRequest{Fingerprint: "f", Author: "ann"})

	all, err := c.Revisions(ctx, true)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 2)

	_, err = c.ExplainKey(ctx, "faq", "a b/ü?&")
	assert.NilError(t, err)
	assert.Equal(t, f.key, "faq/a b/ü?&")

	_, err = c.Events(ctx, time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(f.since) >= time.Hour)
}

func TestErrorsKeepTheirCodeAndStatus(t *testing.T) {
	cases := []struct {
		err    error
		code   operator.Code
		status int
	}{
		{operator.Errorf(operator.CodeInvalid, "x"), operator.CodeInvalid, 422},
		{operator.Errorf(operator.CodeConflict, "x"), operator.CodeConflict, 409},
		{operator.Errorf(operator.CodeNotFound, "x"), operator.CodeNotFound, 404},
		{operator.Errorf(operator.CodeUnavailable, "x"), operator.CodeUnavailable, 503},
		{operator.Errorf(operator.CodeUnknown, "x"), operator.CodeUnknown, 504},
		{errors.New("untyped"), operator.CodeInternal, 500},
	}
	for _, tc := range cases {
		c := serve(t, &fakeBackend{err: tc.err})
		_, err := c.Status(context.Background())
		var e *operator.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Code, tc.code)
		resp, err := http.Get(c.Base + operator.PathStatus)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, tc.status)
	}
}

func TestMalformedCallsChangeNothing(t *testing.T) {
	cases := []struct{ name, method, path, body, want string }{
		{"not JSON", "PUT", operator.PathConfig, "{", "not a valid call"},
		{"unknown field", "PUT", operator.PathConfig, `{"base":1,"modle":{}}`, "modle"},
		{"wrong type", "POST", operator.PathDrain, `{"target":5}`, "target"},
		{"wrong duration", "GET", operator.PathEvents + "?since=soon", "", "not a duration"},
		{"negative duration", "GET", operator.PathEvents + "?since=-5s", "", "not a duration"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeBackend{}
			c := serve(t, f)
			req, err := http.NewRequest(tc.method, c.Base+tc.path, strings.NewReader(tc.body))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 422)
			assert.Assert(t, strings.Contains(string(text), tc.want), string(text))
			assert.Equal(t, f.apply.Base, uint64(0))
			assert.Equal(t, f.drain.Target, "")
		})
	}
}

func TestCheckNeverWrites(t *testing.T) {
	f := &fakeBackend{}
	c := serve(t, f)
	resp, err := http.Post(c.Base+operator.PathCheck, "application/json", strings.NewReader(`{"base":7,"author":"ann","model":{}}`))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 200)
	assert.Assert(t, f.apply.DryRun)
}

func TestUnreachableRouter(t *testing.T) {
	_, err := (&operator.Client{Base: "http://127.0.0.1:1"}).Status(context.Background())
	assert.ErrorContains(t, err, "not reached")
}

// Guards against calls that each open a new connection: the end of an answer arrives after
// its content, and the client closes the body before it has read the end.
func TestCallsShareAConnection(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{}`)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	for range 3 {
		_, err := (&operator.Client{Base: server.URL}).Status(context.Background())
		assert.NilError(t, err)
	}
	assert.Equal(t, opened.Load(), int32(1))
}

// The next page is requested by the page's Next and Life.
func TestEventsAfterContinuesPage(t *testing.T) {
	f := &fakeBackend{}
	c := serve(t, f)
	page, err := c.EventPage(context.Background(), time.Hour)
	assert.NilError(t, err)
	assert.Equal(t, page.Life, uint64(5))
	_, err = c.EventsAfter(context.Background(), page)
	assert.NilError(t, err)
	assert.Equal(t, f.query.After, uint64(3))
	assert.Equal(t, f.query.Life, uint64(5))
}

func answerWith(status int, body string) func(context.Context) (*http.Response, error) {
	return func(context.Context) (*http.Response, error) {
		header := http.Header{"Content-Type": {"application/json"}}
		return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// A call for another router is passed on without that router's name; a call for the router
// itself is not passed on.
func TestCallsArePassedOn(t *testing.T) {
	f := &fakeBackend{passOn: answerWith(200, `{"router":"b","step_ns":7}`)}
	c := serve(t, f)
	ctx := context.Background()
	series, err := c.Of("b").Series(ctx, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, series.Router, "b")
	assert.Equal(t, series.Step, time.Duration(7))
	assert.Equal(t, f.passedOn, "b /v1/series?since=1m0s")
	f.passedOn = ""
	series, err = c.Of("a").Series(ctx, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, series.Router, "a")
	assert.Equal(t, f.passedOn, "")

	f.passOn = answerWith(404, `{"code":"not_found","message":"no such request"}`)
	_, err = c.Of("b").ExplainRequest(ctx, "x")
	var e *operator.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Code, operator.CodeNotFound)
}

// Calls that change something are not passed on, nor is Config, which reads the store.
func TestChangesAreNotPassedOn(t *testing.T) {
	f := &fakeBackend{passOn: answerWith(200, `{}`)}
	c := serve(t, f).Of("b")
	ctx := context.Background()
	_, err := c.Drain(ctx, &operator.DrainRequest{Target: "t"})
	assert.ErrorContains(t, err, "can't be passed on")
	_, err = c.Apply(ctx, &operator.ApplyRequest{})
	assert.ErrorContains(t, err, "can't be passed on")
	_, err = c.Config(ctx)
	assert.ErrorContains(t, err, "can't be passed on")
	assert.Equal(t, f.passedOn, "")
	assert.Equal(t, f.drain, operator.DrainRequest{})
}

// Guards against a report that takes a part of a router's measurements for all of them: an
// answer that is passed on exceeds the limit or is truncated, and the router in between
// ends its own answer normally.
func TestTruncatedAnswersAreAborted(t *testing.T) {
	long := `{"router":"` + strings.Repeat("x", 17<<20) + `"}`
	truncated := func(context.Context) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader(`{"router":"b"}`), &failingReader{})
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}
	for _, passOn := range []func(context.Context) (*http.Response, error){answerWith(200, long), truncated} {
		resp, err := http.Get(serve(t, &fakeBackend{passOn: passOn}).Base + operator.PathSeries + "?router=b")
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
		assert.Assert(t, err != nil, "a truncated answer ended normally")
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("connection broken") }
