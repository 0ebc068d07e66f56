package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"tarragongw/platform"
)

// BenchmarkForward measures a router's work on an ordinary request, the target on loopback included.
func BenchmarkForward(b *testing.B) {
	f := newFleet(b, 1, plainConfig, plainTarget("a"))
	h := f.gateways[0].handler
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/read/ordinary?lot=1", nil)
		r.Host = host
		r.Header.Set(platform.HeaderRequestID, "id")
		r.Header.Set(platform.HeaderDeadline, "5000")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body)
		}
	}
}
