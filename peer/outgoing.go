package peer

import (
	"io"
	"maps"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// outgoing returns the request to write, with the envelope and without the
// headers that govern one connection.
func outgoing(r *http.Request, envelope string) *http.Request {
	h := r.Header
	if hasBody(r) || h == nil {
		// The body's writer may outlast RoundTrip.
		h = make(http.Header, len(r.Header)+2)
		maps.Copy(h, r.Header)
	}
	for _, name := range perConnection {
		delete(h, name)
	}
	h[HeaderEnvelope] = []string{envelope}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method:           r.Method,
		URL:              r.URL,
		Host:             r.Host,
		Header:           h,
		Body:             r.Body,
		ContentLength:    r.ContentLength,
		TransferEncoding: r.TransferEncoding,
		Trailer:          r.Trailer,
	}
	if out.Host == "" && r.URL.Host == "" {
		out.Host = "router"
	}
	return out
}

// perConnection are the fields that govern one connection and have no place on
// another.
var perConnection = [...]string{"Connection", "Keep-Alive", "Upgrade", "Expect", "Te"}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// takeBack removes what outgoing put into a header that is the caller's.
func takeBack(out *http.Request) {
	delete(out.Header, HeaderEnvelope)
	if agent := out.Header["User-Agent"]; len(agent) == 1 && agent[0] == "" {
		delete(out.Header, "User-Agent")
	}
}

var errBroken = errors.New("peer: the request's body broke off")

// callerBody is the body of the request on the caller's side, which it does not
// close.
type callerBody struct {
	io.Reader
	broken *atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.broken.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *callerBody) Close() error { return nil }
