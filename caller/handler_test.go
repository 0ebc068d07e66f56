package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

func TestExtractedFieldsAreForwarded(t *testing.T) {
	var got request.Meta
	var path string
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		got, path = *m, r.URL.Path
		return answerWhole(w, r, m)
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "POST", s.url+"/faq/stall-7/answers?repeat=true", nil,
			"X-Caller", "ramen-kai", "X-Class", "batch", "X-Deadline", "1500", "X-Request-Id", "id-1")
		assert.Equal(t, readBody(t, resp), "whole")
		assert.Equal(t, resp.Header.Get("X-Request-Id"), "id-1")
		assert.Equal(t, path, "/stall-7/answers")
		outcome := <-s.observer.outcomes
		assert.Equal(t, got.Deadline, outcome.Began.Add(1500*time.Millisecond))
		assert.Equal(t, got.Arrived, outcome.Began)
		got.Arrived, got.Deadline = time.Time{}, time.Time{}
		assert.DeepEqual(t, got, request.Meta{
			ID: "id-1", Service: "faq-viewer", Model: 1, Key: "stall-7", Caller: "ramen-kai",
			CallerLabels: map[string]string{"tier": "gold"}, Class: request.Batch, Repeatable: true,
		})
		assert.Equal(t, outcome.Status, 200)
		assert.Equal(t, outcome.BytesOut, int64(5))
		assert.Assert(t, outcome.Fault == nil && !outcome.Aborted)
	})
}

func TestFaultsAreAnsweredFromTheTable(t *testing.T) {
	var next *fault.Fault
	s := startServer(t, Config{}, func(w http.ResponseWriter, _ *http.Request, _ *request.Meta) *fault.Fault {
		w.Header().Set("X-Left-Over", "1")
		return next
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		for _, kind := range fault.Kinds() {
			if kind == fault.CallerGone {
				continue
			}
			next = fault.New(kind, "because")
			row := kind.Row()
			resp := do(t, c, "GET", s.url+"/x", nil, "X-Request-Id", "id-2")
			assert.Equal(t, resp.StatusCode, row.Status)
			assert.Equal(t, resp.Header.Get("Tarragon-Error"), row.Code)
			assert.Equal(t, resp.Header.Get("Tarragon-Ran"), row.Ran.String())
			assert.Equal(t, resp.Header.Get("X-Left-Over"), "")
			var answer Answer
			assert.NilError(t, json.Unmarshal([]byte(readBody(t, resp)), &answer))
			least := row.RetryAfter.Milliseconds()
			assert.Assert(t, answer.RetryAfterMillis >= least && answer.RetryAfterMillis <= 2*least, "%d", answer.RetryAfterMillis)
			answer.RetryAfterMillis = 0
			assert.DeepEqual(t, answer, Answer{Code: row.Code, Ran: row.Ran.String(), Detail: "because", RequestID: "id-2"})
			assert.Equal(t, resp.Header.Get("Retry-After") != "", row.RetryAfter > 0)
			outcome := <-s.observer.outcomes
			assert.Equal(t, outcome.Fault.Kind, kind)
		}
	})
}

// Guards against refusals that come in waves: if callers that are refused at the same moment
// all get the same retry delay, they all return at the same moment.
func TestRetryAfterIsRoundedUpAndSpread(t *testing.T) {
	wait := fault.New(fault.QueueFull, "")
	s := startServer(t, Config{}, func(http.ResponseWriter, *http.Request, *request.Meta) *fault.Fault { return wait })
	c := newClient(t, 1)
	for _, example := range []struct {
		wait            time.Duration
		seconds, millis [2]int
	}{
		{time.Nanosecond, [2]int{1, 2}, [2]int{1, 2}},
		{time.Second, [2]int{1, 2}, [2]int{1000, 2000}},
		{time.Second + time.Nanosecond, [2]int{2, 4}, [2]int{1001, 2002}},
	} {
		wait.RetryAfter = example.wait
		seen := map[int]bool{}
		for range 64 {
			resp := do(t, c, "GET", s.url+"/x", nil)
			<-s.observer.outcomes
			seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
			assert.NilError(t, err)
			millis, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms"))
			assert.NilError(t, err)
			assert.Assert(t, seconds >= example.seconds[0] && seconds <= example.seconds[1], "%d s", seconds)
			assert.Assert(t, millis >= example.millis[0] && millis <= example.millis[1], "%d ms", millis)
			seen[seconds] = true
		}
		// The chance that 64 draws of two or three values miss one is below 1e-10.
		assert.Equal(t, len(seen), example.seconds[1]-example.seconds[0]+1)
	}
}

func TestHeadHasNoBody(t *testing.T) {
	s := startServer(t, Config{}, func(http.ResponseWriter, *http.Request, *request.Meta) *fault.Fault {
		return fault.New(fault.NoOwner, "")
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "HEAD", s.url+"/x", nil)
		assert.Equal(t, resp.StatusCode, 503)
		assert.Equal(t, readBody(t, resp), "")
	})
}

func TestNotReadyWithoutModel(t *testing.T) {
	s := startServer(t, Config{}, answerWhole)
	s.server.rules.Store(nil)
	resp := do(t, newClient(t, 1), "GET", s.url+"/x", nil)
	assert.Equal(t, resp.Header.Get("Tarragon-Error"), "not_ready")
	assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "not-run")
}
