// Package wellformed finds responses of HTTP/1 that net/http lets pass although they can't be trusted: their framing, their
// status or their fields may be others than those that the sender meant.
package wellformed

import (
	"bufio"
	"bytes"
	"io"
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
	coded, err := hasIgnoredCoding(br)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if coded {
		return nil, &Error{"a transfer coding in HTTP/1.0"}
	}
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// hasIgnoredCoding reports whether the response that is read next is of HTTP/1.0 and names a transfer coding. net/http ignores it,
// but RFC 9112 6.1 has the framing count as faulty. A head that is longer than the buffer is not looked at.
func hasIgnoredCoding(br *bufio.Reader) (bool, error) {
	const version = "HTTP/1.0"
	for n := 1; n <= br.Size(); n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return false, err
		}
		read, err := br.Peek(br.Buffered())
		if err != nil {
			return false, err
		}
		known := min(len(read), len(version))
		if string(read[:known]) != version[:known] {
			return false, nil
		}
		if coded, whole := namesCoding(read); whole {
			return coded, nil
		}
	}
	return false, nil
}

// namesCoding reports whether a head, or what has been read of it, names a transfer coding, and whether it is whole.
func namesCoding(head []byte) (coded, whole bool) {
	for line := range bytes.Lines(head) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 && line[len(line)-1] == '\n' {
			return coded, true
		}
		name, _, isField := bytes.Cut(line, []byte(":"))
		coded = coded || isField && bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return coded, false
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
	if err := CheckFields(resp.Header); err != nil {
		return err
	}
	return CheckFields(resp.Trailer) // those that the head announces
}

// CheckFields returns an *Error if the name of a field is no token. net/http allows blanks in names, and then doesn't know the
// fields by which a response is framed.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return &Error{"a field with the name " + strconv.Quote(name)}
		}
	}
	return nil
}

func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes are the bytes of tokens (RFC 9110 5.6.2).
var tokenBytes = func() (token [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		token[b] = true
	}
	return token
}()

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
