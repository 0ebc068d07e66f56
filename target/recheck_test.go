package target

import (
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sending work to a target whose certificate was revoked. One connection is idle
// and one has a response in flight when the certificate is refused; both would be used again
// if certificates were checked only when a connection is opened.
func TestRefusedCertificateClosesConnectionsOnceIdle(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			_ = http.NewResponseController(w).Flush()
			<-release
		}
		_, _ = io.WriteString(w, r.Method)
	}))
	defer server.Close()
	var checks int
	var refuse error
	p := newPool(t, server.Listener.Addr().String(), func(cfg *PoolConfig) {
		cfg.TLS = func() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }
		cfg.Accepts = func(*tls.ConnectionState) error { checks++; return refuse }
	})
	busy := attempt(t, p, t.Context(), newRequest(t, http.MethodPut, nil))
	exchange := func() {
		_, err := io.ReadAll(attempt(t, p, t.Context(), newRequest(t, http.MethodGet, nil)).Body)
		assert.NilError(t, err)
	}
	exchange()
	assert.Equal(t, p.Stats().Idle, 1)
	p.Recheck()
	assert.Equal(t, p.Stats().Idle, 1)
	exchange()
	assert.Equal(t, checks, 1)
	assert.Equal(t, p.Stats().Dials, uint64(2))

	refuse = errors.New("revoked")
	p.Recheck()
	assert.Equal(t, p.Stats().Open, 1)
	close(release)
	body, err := io.ReadAll(busy.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), http.MethodPut)
	assert.Equal(t, p.Stats().Open, 0)
}
