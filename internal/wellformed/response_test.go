package wellformed

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func read(text string) (*http.Response, error) {
	return ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
}

// checkMalformed checks that heads are refused, by this package or by net/http.
func checkMalformed(t *testing.T, heads ...string) {
	t.Helper()
	for _, head := range heads {
		_, err := read(head + "Content-Length: 0\r\n\r\n")
		assert.Check(t, err != nil, "%q", head)
	}
}

// Guards against an answer without a valid status that is taken for an informational one, and the next bytes for the answer.
func TestMalformedStatusLinesAreRefused(t *testing.T) {
	checkMalformed(t, "HTTP/1.1 000 OK\r\n", "HTTP/1.1 007 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 -20 OK\r\n", "HTTP/1.1 -00 OK\r\n",
		"HTTP/1.1 2e2 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 O\rK\r\n")
}

// Guards against sound answers that are refused.
func TestSoundResponsesAreRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.2 200 OK\r\n", "HTTP/1.1 200 OK\n",
		"HTTP/1.1 599 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1 999 \xe9\t\r\n", "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: 1\r\n", "HTTP/1.1 200 OK\r\nX:\r\n",
		"HTTP/1.1 200 OK\r\nX: 1\r\n folded\r\n", "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.0 200 OK\r\nTransfer: x\r\n", "HTTP/1.0 200 OK\r\nX: " + strings.Repeat("x", 5000) + "\r\n",
	} {
		resp, err := read(head + "Content-Length: 4\r\n\r\nbody")
		assert.Check(t, err, "%q", head)
		if err == nil && resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			assert.Check(t, err == nil && string(body) == "body", "%q: %q %v", head, body, err)
		}
	}
}

// Guards against an error that the end of the stream hides.
func TestCutHeadIsNoEnd(t *testing.T) {
	const whole = "HTTP/1.0 200 OK\r\nX: 1\r\n\r\n"
	for n := range len(whole) {
		_, err := read(whole[:n])
		assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF) || err != nil && err != io.EOF, "%d bytes: %v", n, err)
	}
}

// Guards against an answer with a name that is no token: net/http allows blanks in it, and frames the body without that field.
func TestMalformedFieldNamesAreRefused(t *testing.T) {
	for _, field := range []string{
		"X Y: 1", "X : 1", "Content-Length : 4", "Transfer-Encoding : chunked", "X\t: 1", "X\x00Y: 1", "X\x01Y: 1", "X\x7fY: 1", "X\rY: 1", "X\xe9Y: 1", "X(Y: 1", ": 1", "X",
		"Trailer: X Y\r\nTransfer-Encoding: chunked",
	} {
		checkMalformed(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n")
	}
	checkMalformed(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\nX: 1\r\ntransfer-encoding:x\r\n")
}
