package httpstore

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzReadReply checks that an answer of the platform, with records or the list of VMs, is
// decoded completely or rejected, and that no other page is accepted as an answer.
func FuzzReadReply(f *testing.F) {
	f.Add(200, `{"code":"ok","record":{"key":"a","value":"dg==","revision":7}}`)
	f.Add(200, `{"code":"ok","vms":[{"name":"a","data_centre":"lapu","peer_address":"10.0.0.1:1","leaving":true}]}`)
	f.Add(409, `{"code":"conflict"}`)
	f.Add(200, `{"code":"conflict"}`)
	f.Add(502, `<html>Bad Gateway</html>`)
	f.Add(200, strings.Repeat(`{"record":`, 12_000))
	f.Fuzz(func(t *testing.T, status int, body string) {
		const limit = 1 << 16
		resp := &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}
		reply, err := readReply(resp, limit)
		if err != nil {
			return
		}
		assert.Assert(t, len(body) <= limit)
		assert.Equal(t, statuses[reply.Code], status)
		// A lease may be absent.
		_ = reply.Lease.decode()
	})
}
