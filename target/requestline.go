package target

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// writeRequest writes a request as http.Request.Write does. net/url takes an opaque URI that begins with two slashes for one with a
// host and would write its scheme before it, so that it is put in place of the one that net/http writes.
func writeRequest(w *bufio.Writer, r *http.Request) error {
	if r.URL == nil || !strings.HasPrefix(r.URL.Opaque, "//") {
		return r.Write(w)
	}
	u := *r.URL
	u.Opaque = "/"
	out := *r
	out.URL = &u
	return out.Write(&requestLineWriter{Writer: w, uri: r.URL.Opaque})
}

// requestLineWriter writes a request with another URI than that of its first write, which has the request line.
type requestLineWriter struct {
	*bufio.Writer
	uri     string
	written bool
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(b []byte) (int, error) {
	if w.written {
		return w.Writer.Write(b)
	}
	w.written = true
	method, rest, _ := bytes.Cut(b, []byte(" "))
	_, version, found := bytes.Cut(rest, []byte(" "))
	if !found {
		return 0, fmt.Errorf("target: %q has no whole request line", b)
	}
	_, err := fmt.Fprintf(w.Writer, "%s %s %s", method, w.uri, version)
	return len(b), err
}
