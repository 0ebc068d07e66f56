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

// Symptom: work goes to the holder of a certificate that was revoked.
// Sequence: one connection rests and one has an answer under way; the certificate is
// refused; the answer ends.
// Cause: a connection is held against certificates when it is opened only.
func TestRefusedCertificateClosesConnectionsOnceIdle(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			_ = http.NewResponseController(w).Flush()
			<-hold
		}
		_, _ = io.WriteString(w, r.Method)
	}))
	defer server.Close()
	var asked int
	var refuse error
	p := newPool(t, server.Listener.Addr().String(), func(cfg *PoolConfig) {
		cfg.TLS = func() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }
		cfg.Accepts = func(*tls.ConnectionState) error { asked++; return refuse }
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
	assert.Equal(t, asked, 1)
	assert.Equal(t, p.Stats().Dials, uint64(2))

	refuse = errors.New("revoked")
	p.Recheck()
	assert.Equal(t, p.Stats().Open, 1)
	close(hold)
	body, err := io.ReadAll(busy.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), http.MethodPut)
	assert.Equal(t, p.Stats().Open, 0)
}
