package peer

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"tarragongw/core/fault"
)

// Headers that carry a fault from the router that refused to the entry router.
const (
	HeaderError      = "Tarragon-Error"
	HeaderRan        = "Tarragon-Ran"
	HeaderRetryAfter = "Tarragon-Retry-After-Ms"
	HeaderDetail     = "Tarragon-Detail"
)

// maxDetail bounds the detail that a fault carries between routers, in bytes.
const maxDetail = 512

var faultHeaders = []string{HeaderError, HeaderRan, HeaderRetryAfter, HeaderDetail}

// answerWriter keeps a target's own headers from passing for a router's fault.
//
// What would go wrong: a target answers with Tarragon-Error and Tarragon-Ran:
// not-run although it ran the request; the entry router would believe it and
// send at-most-once work again. Only WriteFault may set these headers.
type answerWriter struct {
	http.ResponseWriter
	// body is nil where the request has none.
	body    *requestBody
	isFault bool
	started bool
}

// requestBody notices the end of a request's body.
type requestBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if !w.isFault {
		dropFaultHeaders(w.Header())
	}
	keepUntyped(w.Header())
	// What would go wrong: net/http drains a request's body before it writes the
	// answer, so that a refusal waits for a slow upload and the entry router does not
	// learn in time that it may ask elsewhere. It does not where the connection ends
	// with the answer; the entry router then does not use the stream again.
	if w.body != nil && !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
	if status >= http.StatusOK {
		w.started = true
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// FlushError is what http.ResponseController looks for.
func (w *answerWriter) FlushError() error {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController the other features of the writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// keepUntyped keeps net/http from guessing a type that the target did not state.
func keepUntyped(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

func dropFaultHeaders(h http.Header) {
	for _, name := range faultHeaders {
		delete(h, name)
	}
}

// WriteFault answers a forwarded request with f, so that the entry router's
// RoundTrip returns an equal fault. Nothing may have been written to w before.
func WriteFault(w http.ResponseWriter, f *fault.Fault) {
	markFault(w)
	h := w.Header()
	h.Set(HeaderError, f.Kind.String())
	h.Set(HeaderRan, f.Ran.String())
	if f.RetryAfter > 0 {
		millis := (f.RetryAfter + time.Millisecond - 1) / time.Millisecond
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64(millis), 10))
	}
	if f.Detail != "" {
		h.Set(HeaderDetail, url.QueryEscape(f.Detail[:min(len(f.Detail), maxDetail)]))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(f.Kind.Row().Status)
}

// markFault finds the answerWriter below the handler's own wrappers.
func markFault(w http.ResponseWriter) {
	for {
		if a, ok := w.(*answerWriter); ok {
			a.isFault = true
			return
		}
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return
		}
		w = u.Unwrap()
	}
}

// ReadFault rebuilds the fault that the headers carry, or returns nil. A code of
// a newer release becomes Internal and keeps what was said about execution; a
// missing or unknown statement about execution is RanUnknown.
func ReadFault(h http.Header) *fault.Fault {
	code := h.Get(HeaderError)
	if code == "" {
		return nil
	}
	detail, err := url.QueryUnescape(h.Get(HeaderDetail))
	if err != nil {
		detail = ""
	}
	kind, known := fault.ByCode(code)
	if !known {
		detail = "unknown code " + strconv.Quote(code) + " " + detail
	}
	f := &fault.Fault{Kind: kind, Ran: readRan(h.Get(HeaderRan)), Detail: detail}
	if millis, err := strconv.ParseInt(h.Get(HeaderRetryAfter), 10, 32); err == nil && millis > 0 {
		f.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return f
}

func readRan(text string) fault.Ran {
	for _, ran := range []fault.Ran{fault.NotRun, fault.RanFully} {
		if ran.String() == text {
			return ran
		}
	}
	return fault.RanUnknown
}
