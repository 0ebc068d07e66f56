package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/router"
)

// testTimeout bounds the test and is far above its usual duration.
const testTimeout = 30 * time.Second

// An embedded router must answer callers and stop with the program. It has no
// configuration yet, so it refuses the request as not run.
func TestEmbeddedRouterServesAndStops(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	started := make(chan router.Addresses, 1)
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, func(a router.Addresses) { started <- a }) }()
	var a router.Addresses
	select {
	case a = <-started:
	case err := <-ended:
		t.Fatal(err)
	}
	resp, err := http.Get("http://" + a.Caller + "/faq-viewer/kiosk-7")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Tarragon-Ran"), "not-run")
	stop()
	assert.NilError(t, <-ended)
}
