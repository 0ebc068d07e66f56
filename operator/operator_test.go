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

// fake answers with what it was given and remembers what it was asked.
type fake struct {
	err   error
	apply operator.ApplyRequest
	drain operator.DrainRequest
	since time.Time
	query operator.EventQuery
	key   string
	// passedOn is what was to be passed on, and passOn answers it.
	passedOn string
	passOn   func(ctx context.Context) (*http.Response, error)
}

func (f *fake) Config(context.Context) (*operator.Config, error) {
	return &operator.Config{Revision: 7, Model: []byte(`{}`)}, f.err
}

func (f *fake) Apply(_ context.Context, req *operator.ApplyRequest) (*operator.ApplyReply, error) {
	f.apply = *req
	return &operator.ApplyReply{Revision: 8}, f.err
}

func (f *fake) Drain(_ context.Context, req *operator.DrainRequest) (*operator.ApplyReply, error) {
	f.drain = *req
	return &operator.ApplyReply{Revision: 9}, f.err
}

func (f *fake) ConfirmDead(_ context.Context, req *operator.ConfirmDeadRequest) (*operator.ConfirmDeadReply, error) {
	return &operator.ConfirmDeadReply{Target: req.Target, Dead: []string{"a", "b"}}, f.err
}

func (f *fake) Revisions(_ context.Context, all bool) ([]operator.RouterRevision, error) {
	out := []operator.RouterRevision{{Router: "a"}}
	if all {
		out = append(out, operator.RouterRevision{Router: "b"})
	}
	return out, f.err
}

func (f *fake) Status(context.Context) (*operator.Status, error) {
	return &operator.Status{Router: "a"}, f.err
}

func (f *fake) Events(_ context.Context, query operator.EventQuery) (*operator.EventPage, error) {
	f.since, f.query = query.Since, query
	return &operator.EventPage{Router: "a", Life: 5, Next: 3, Events: []eventlog.Event{{Seq: 3, Kind: eventlog.OwnerChanged}}}, f.err
}

func (f *fake) Routers(context.Context) ([]operator.RouterState, error) {
	return []operator.RouterState{{Router: "a"}, {Router: "b"}}, f.err
}

func (f *fake) Series(_ context.Context, since time.Time) (*operator.Series, error) {
	f.since = since
	return &operator.Series{Router: "a", Series: history.Series{Step: time.Second}}, f.err
}

func (f *fake) Self() string { return "a" }

func (f *fake) PassOn(ctx context.Context, router, uri string) (*http.Response, error) {
	if f.passOn == nil {
		return nil, operator.Errorf(operator.CodeUnavailable, "router %s was not reached", router)
	}
	f.passedOn = router + " " + uri
	return f.passOn(ctx)
}

func (f *fake) ExplainKey(_ context.Context, service, key string) (*operator.KeyExplanation, error) {
	f.key = service + "/" + key
	return &operator.KeyExplanation{Service: service, Key: key}, f.err
}

func (f *fake) ExplainRequest(_ context.Context, id string) (*operator.RequestExplanation, error) {
	return &operator.RequestExplanation{ID: id}, f.err
}

func (f *fake) ExplainTarget(_ context.Context, name string) (*operator.TargetExplanation, error) {
	return &operator.TargetExplanation{Target: name}, f.err
}

func serve(t *testing.T, f *fake) *operator.Client {
	t.Helper()
	server := httptest.NewServer(operator.NewHandler(f))
	t.Cleanup(server.Close)
	return &operator.Client{Base: server.URL}
}

func TestCallsArriveWhole(t *testing.T) {
	f := &fake{}
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

func TestErrorsKeepTheirCode(t *testing.T) {
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
		c := serve(t, &fake{err: tc.err})
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
			f := &fake{}
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
	f := &fake{}
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

// Symptom: each call of a program opens a connection, now and then.
// Sequence: the end of an answer arrives after its content.
// Cause: the client closes the answer before it has read the end.
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

// What follows a page is asked for by its last number and its life.
func TestEventsGoOnAfterAPage(t *testing.T) {
	f := &fake{}
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

// A call for another router is passed on without that router's name; one for the
// router itself is not.
func TestCallsArePassedOn(t *testing.T) {
	f := &fake{passOn: answerWith(200, `{"router":"b","step_ns":7}`)}
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

// Nothing that changes something is passed on.
func TestChangesAreNotPassedOn(t *testing.T) {
	f := &fake{passOn: answerWith(200, `{}`)}
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

// Symptom: a report takes half of a router's measures for all of them.
// Sequence: the answer that is passed on is longer than the limit, or breaks off.
// Cause: the router in between ends its own answer as if it were whole.
func TestCutAnswersAreNotPassedOnAsWhole(t *testing.T) {
	long := `{"router":"` + strings.Repeat("x", 17<<20) + `"}`
	broken := func(context.Context) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader(`{"router":"b"}`), &failingReader{})
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}
	for _, passOn := range []func(context.Context) (*http.Response, error){answerWith(200, long), broken} {
		resp, err := http.Get(serve(t, &fake{passOn: passOn}).Base + operator.PathSeries + "?router=b")
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
		assert.Assert(t, err != nil, "a cut answer ended cleanly")
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("broke off") }
