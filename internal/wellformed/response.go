// Package wellformed finds responses of HTTP/1 that net/http lets pass although they can't be trusted: their framing, their
// status or their fields may be others than those that the sender meant.
package wellformed

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// minStatus is the lowest status. RFC 9110 15 has those from 600 on treated as server errors, so that they are passed on.
const minStatus = 100

// Error says why a response is malformed.
type Error struct{ reason string }

func (e *Error) Error() string { return "malformed response: " + e.reason }

// ReadResponse is http.ReadResponse for responses that are to be passed on or acted on. A malformed one is an *Error, or an error of
// net/http.
func ReadResponse(br *bufio.Reader, r *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// CheckResponse returns an *Error if the head of a response that net/http has read is malformed.
func CheckResponse(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &Error{"version " + strconv.Quote(resp.Proto)}
	case resp.StatusCode < minStatus:
		return &Error{"status " + strconv.Quote(resp.Status)}
	case strings.ContainsFunc(resp.Status, isControl):
		return &Error{"a control byte in the status line " + strconv.Quote(resp.Status)}
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// Transport is an http.RoundTripper that returns an *Error in place of a malformed response. It may keep the connection if that
// has no body.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes those of the transport, for http.Client.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
