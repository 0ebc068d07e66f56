package caller

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzHeaders checks that for any headers from a caller, no hop-by-hop or reserved router
// header is forwarded, the request ID is fit for a log line, and the deadline is refused or
// within range.
func FuzzHeaders(f *testing.F) {
	f.Add("X-Request-Id", "id-1", "close", "250")
	f.Add("Tarragon-Token", "99", "keep-alive, Tarragon-Term", "1.5s")
	f.Add("traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", ",,;", "-1")
	f.Add("Te", "trailers;q=1, gzip", "te", "9223372036854775807")
	f.Add("X-Request-Id", strings.Repeat("x", 129), "\x00", "1e400h")
	f.Fuzz(func(t *testing.T, name, value, connection, deadline string) {
		h := make(http.Header)
		h.Set(name, value)
		h.Set("Connection", connection)
		dropConnectionHeaders(h)
		dropUnforwarded(h)
		for key := range h {
			assert.Assert(t, !isRouterHeader(key), "%q went on", key)
			assert.Assert(t, !isHopByHop(key) || key == "Te" && h.Get(key) == "trailers", "%q went on", key)
		}
		id := requestID(h, headerRequestID)
		assert.Assert(t, id != "" && len(id) <= maxIDBytes)
		assert.Assert(t, !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f }), "%q", id)
		left, ok := parseTimeLeft(deadline)
		if millis, err := strconv.ParseInt(deadline, 10, 64); err == nil && ok {
			// An overflow would turn a long wait into a deadline that has passed.
			assert.Equal(t, left > 0, millis > 0, "%q gives %v", deadline, left)
		}
	})
}
