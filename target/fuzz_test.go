package target

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParseOrder checks that request headers are refused or parsed within bounds, and that
// parsed values survive being set and parsed again.
func FuzzParseOrder(f *testing.F) {
	f.Add("id", "faq/7", "12", "8", "250")
	f.Add("", "", "", "", "")
	f.Add("x", "faq/7", "18446744073709551615", "-1", "1e9")
	f.Add("x", "a\x00b", "01", " 8", "18446744073709551615")
	f.Fuzz(func(t *testing.T, id, unit, token, term, deadline string) {
		h := http.Header{
			HeaderRequestID: {id}, HeaderUnit: {unit}, HeaderToken: {token}, HeaderTerm: {term}, HeaderDeadline: {deadline},
		}
		o, err := ParseRequestHeaders(h)
		if err != nil {
			return
		}
		assert.Assert(t, o.TimeLeft >= 0, "%v", o.TimeLeft)
		header := make(http.Header)
		o.Set(header)
		parsed, err := ParseRequestHeaders(header)
		assert.NilError(t, err)
		assert.Equal(t, parsed, o)
	})
}

// FuzzControlReply checks that a target's replies to grants and probes are either refused or
// decoded, and that replies over the size limit are refused.
func FuzzControlReply(f *testing.F) {
	f.Add(200, `{"accepted":true,"term":8,"busy":["faq/1"],"load":0.5}`)
	f.Add(409, `{"accepted":false,"cause":"term"}`)
	f.Add(500, `{}`)
	f.Add(200, `{"load":1e999}`)
	f.Add(200, strings.Repeat(`[`, 20_000))
	f.Fuzz(func(t *testing.T, status int, body string) {
		for _, reply := range []any{new(GrantReply), new(Health)} {
			resp := &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}
			err := decode(resp, reply)
			allowed := status == http.StatusOK || status == http.StatusConflict
			assert.Assert(t, err != nil || allowed && len(body) <= maxControlBytes)
		}
	})
}
