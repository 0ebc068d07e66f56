package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
	"tarragongw/telemetry"
)

// answerEndlessly makes the target answer without end; closed is closed once its caller has closed the connection.
func answerEndlessly(t *testing.T, target *platformtest.Target, kind string) (closed chan struct{}) {
	t.Helper()
	answer := platformtest.AnswerOfKind(platformtest.EndlessAnswers, kind)
	assert.Assert(t, answer != nil, kind)
	closed = make(chan struct{})
	target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		ended := answer.To(w, r)
		go func() {
			<-ended
			close(closed)
		}()
		return true
	})
	return closed
}

func assertClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(3 * time.Second):
		t.Fatal("the connection to the target is still open")
	}
}

// Guards against bytes that are no answer, come without end, and are read until the deadline or for good.
func TestEndlessBytesInAHeadEndTheAttempt(t *testing.T) {
	for kind, bound := range map[string]string{
		"no answer": "", "a line of the head": "answer_head", "lines of the head": "answer_head", "interim answers": "interim_answers", "another's answer": "earlier_answers",
	} {
		t.Run(kind, func(t *testing.T) {
			f := newFleet(t, 0, plainConfig, plainTarget("a"))
			f.metrics = telemetry.New(telemetry.Config{Interval: time.Millisecond})
			t.Cleanup(func() { assert.Check(t, f.metrics.Close()) })
			waittest.Until(t, "the gateway is ready", f.start("router-0").synced.Load)
			closed := answerEndlessly(t, f.targets["a"], kind)
			began := time.Now()
			got := f.send(f.gateways[0], call{method: http.MethodPost, path: "/pay/1", key: -1, body: "body"})
			assert.Equal(t, got.status, http.StatusBadGateway, "%v %v", got.err, time.Since(began))
			assert.Assert(t, time.Since(began) < 900*time.Millisecond, "after %v", time.Since(began))
			assertClosed(t, closed)
			if bound != "" {
				counted := fmt.Sprintf("tarragongw_answer_bounds_exceeded_total{bound=%q}", bound)
				waittest.Until(t, "the bound is counted", func() bool { return strings.Contains(f.metricsPage(f.gateways[0]), counted) })
			}
		})
	}
}

// Guards against a body without end that is read on after its caller has left.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	for _, kind := range []string{"short chunks", "no chunks"} {
		t.Run(kind, func(t *testing.T) {
			f := newFleet(t, 1, plainConfig, plainTarget("a"))
			closed := answerEndlessly(t, f.targets["a"], kind)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.gateways[0].callerListener.Addr().String()+"/read/1", http.NoBody)
			assert.NilError(t, err)
			req.Host = host
			req.Header.Set(platform.HeaderRequestID, f.newID())
			req.Header.Set(platform.HeaderDeadline, "5000")
			resp, err := f.client.Do(req)
			if err == nil {
				// Of the bytes that are no chunks nothing comes; either way the caller leaves.
				_, _ = io.CopyN(io.Discard, resp.Body, 1<<20)
				resp.Body.Close()
			}
			assertClosed(t, closed)
		})
	}
}

// Guards against an answer without end that is passed on past its route's timeout, for as long as the caller reads it.
func TestEndlessBodyEndsAfterTheRoutesTimeout(t *testing.T) {
	const timeout = time.Second // that of the route
	f := newFleet(t, 1, plainConfig, plainTarget("a"))
	closed := answerEndlessly(t, f.targets["a"], "short chunks")
	began := time.Now()
	got := f.send(f.gateways[0], call{method: http.MethodGet, path: "/read/1", key: -1})
	assert.Assert(t, got.err != nil, "the answer looks whole")
	assert.Assert(t, got.status == http.StatusOK && len(got.body) > 0, "%d", got.status)
	took := time.Since(began)
	assert.Assert(t, took > timeout-answerMargin && took < timeout+500*time.Millisecond, "after %v", took)
	assertClosed(t, closed)
}

// discard sends a request and reads its answer to the end, however long. A status of zero means that there was none.
func (f *fleet) discard(client *http.Client, g *Gateway, method, path string) (status int, err error) {
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+g.callerListener.Addr().String()+path, http.NoBody)
	assert.NilError(f.t, err)
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, f.newID())
	req.Header.Set(platform.HeaderDeadline, "5000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// checkBrokenAnswers asks for all kinds of answers that don't end, and returns how many requests it sent.
func (f *fleet) checkBrokenAnswers(client *http.Client, g *Gateway) (sent int) {
	for _, a := range slices.Concat(platformtest.UnfinishedAnswers, platformtest.EndlessAnswers) {
		for _, target := range f.targets {
			target.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
				a.To(w, r)
				return true
			})
		}
		var sending sync.WaitGroup
		for method, path := range map[string]string{http.MethodGet: "/read/1", http.MethodPost: "/pay/1"} {
			sent++
			sending.Go(func() {
				began := time.Now()
				status, err := f.discard(client, g, method, path)
				assert.Check(f.t, time.Since(began) < 1500*time.Millisecond, "%s %s after %v", method, a.Kind, time.Since(began))
				assert.Check(f.t, !a.Short || err == nil && status >= http.StatusInternalServerError, "%s %s: %d %v", method, a.Kind, status, err)
			})
		}
		sending.Wait()
	}
	return sent
}

// Guards against requests that outlast their route's timeout on their way through another router.
func TestRelayedRequestsEndSoonAfterTheRoutesTimeout(t *testing.T) {
	f, cut, _ := cutFollower(t, plainTarget("p0"), plainTarget("p1"), plainTarget("p2"))
	before := f.relayedRequests()
	sent := f.checkBrokenAnswers(f.client, cut)
	assert.Assert(t, f.relayedRequests()-before >= sent)
}

// Guards against streams of HTTP/2 that outlast their route's timeout, or are kept from their answers by others on their connection.
func TestRequestsOverHTTP2EndSoonAfterTheRoutesTimeout(t *testing.T) {
	f := newFleet(t, 1, plainConfig, plainTarget("p0"), plainTarget("p1"), plainTarget("p2"))
	f.awaitTarget("p2")
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	f.checkBrokenAnswers(&http.Client{Transport: transport}, f.gateways[0])
}
