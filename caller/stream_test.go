package caller

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Each part is sent only after the echo of the previous one arrived, so the test blocks if a
// body is buffered as a whole in either direction.
func TestBodiesStreamBothWays(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		return CopyAnswer(w, &http.Response{StatusCode: 200, ContentLength: -1, Body: r.Body, Request: r})
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		reader, writer := io.Pipe()
		go func() { _, _ = writer.Write([]byte("part")) }()
		resp := do(t, c, "POST", s.url+"/x", reader)
		part := make([]byte, 4)
		for range 8 {
			_, err := io.ReadFull(resp.Body, part)
			assert.NilError(t, err)
			go func() { _, _ = writer.Write([]byte("part")) }()
		}
		_, err := io.ReadFull(resp.Body, part)
		assert.NilError(t, err)
		assert.NilError(t, writer.Close())
		assert.Equal(t, readBody(t, resp), "")
		outcome := <-s.observer.outcomes
		assert.Equal(t, outcome.BytesIn, int64(36))
		assert.Equal(t, outcome.BytesOut, int64(36))
	})
}

const (
	largeBytes = 64 * mebibyte
	stepBytes  = 8 * mebibyte
)

func TestLargeUploadInBoundedMemory(t *testing.T) {
	var most uint64
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
		for err := error(nil); err == nil; {
			_, err = io.CopyN(io.Discard, r.Body, stepBytes)
			most = max(most, liveHeap())
		}
		return answerWhole(w, r, m)
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		before := liveHeap()
		most = 0
		resp := do(t, c, "PUT", s.url+"/x", io.LimitReader(zeros{}, largeBytes))
		assert.Equal(t, readBody(t, resp), "whole")
		assert.Assert(t, most < before+stepBytes, "%d bytes are live above %d", most-before, before)
		assert.Equal(t, (<-s.observer.outcomes).BytesIn, int64(largeBytes))
	})
}

// liveHeap returns the size of the live heap.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestTrailersPassThrough(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		resp := &http.Response{StatusCode: 200, ContentLength: -1, Trailer: http.Header{"X-Sum": nil}}
		resp.Body = &endBody{data: "whole", atEnd: func() {
			resp.Trailer["X-Sum"] = []string{"42"}
			if r.URL.Path == "/more" {
				resp.Trailer["X-Late"] = []string{"late"}
			}
		}}
		return CopyAnswer(w, resp)
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "GET", s.url+"/announced", nil)
		assert.Equal(t, len(resp.Trailer), 1)
		assert.Equal(t, readBody(t, resp), "whole")
		assert.DeepEqual(t, resp.Trailer, http.Header{"X-Sum": {"42"}})
		resp = do(t, c, "GET", s.url+"/more", nil)
		assert.Equal(t, readBody(t, resp), "whole")
		assert.DeepEqual(t, resp.Trailer, http.Header{"X-Sum": {"42"}, "X-Late": {"late"}})
	})
}

// endBody is a body that ends with err if it is not nil, and otherwise calls atEnd before it
// returns io.EOF.
type endBody struct {
	data  string
	atEnd func()
	err   error
}

func (b *endBody) Read(p []byte) (int, error) {
	if b.data != "" {
		n := copy(p, b.data)
		b.data = b.data[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.atEnd != nil {
		b.atEnd()
	}
	return 0, io.EOF
}

func (b *endBody) Close() error { return nil }

func TestCancellationReachesTheForwarder(t *testing.T) {
	entered := make(chan struct{}, 1)
	s := startServer(t, Config{}, func(_ http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		entered <- struct{}{}
		<-r.Context().Done()
		return fault.Wrap(fault.CallerGone, r.Context().Err(), "")
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, "POST", s.url+"/x", nil)
		assert.NilError(t, err)
		go func() {
			<-entered
			cancel()
		}()
		_, err = c.Do(r)
		assert.ErrorIs(t, err, context.Canceled)
		outcome := <-s.observer.outcomes
		assert.Equal(t, outcome.Status, 499)
		assert.Equal(t, outcome.Fault.Kind, fault.CallerGone)
		assert.Assert(t, outcome.Aborted)
	})
}

// Guards against a caller whose deadline passed and that gets no answer because it is taken
// for disconnected. The forwarder, or a context derived from the request's, only sees a
// cancellation and reports CallerGone, since both ends of the context look alike to it.
func TestDeadlineIsAnswered(t *testing.T) {
	s := startServer(t, Config{}, func(_ http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		<-ctx.Done()
		f := fault.Wrap(fault.CallerGone, ctx.Err(), "")
		f.Ran = fault.NotRun
		return f
	})
	onBothVersions(t, func(t *testing.T, c *http.Client) {
		resp := do(t, c, "GET", s.url+"/faq/k", nil, "X-Deadline", "20")
		assert.Equal(t, resp.StatusCode, 504)
		assert.Equal(t, resp.Header.Get("Tarragon-Error"), "deadline_exceeded")
		assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "not-run")
	})
}
