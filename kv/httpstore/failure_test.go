package httpstore_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/internal/waittest"
	"tarragongw/kv"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
)

// newClient returns a client with a dial timeout that is long enough for a busy machine.
func newClient(t *testing.T, cfg httpstore.Config) *httpstore.Client {
	t.Helper()
	cfg.DialTimeout = waittest.Patience
	c, err := httpstore.New(cfg)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// serve runs a handler instead of the platform and returns a client of it.
func serve(t *testing.T, cfg httpstore.Config, handler http.HandlerFunc) *httpstore.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	cfg.Addresses = []string{server.Listener.Addr().String()}
	return newClient(t, cfg)
}

// refusingAddress is an address on which nothing listens. The operating system never assigns this
// port, while it may assign again a port that a test has opened and closed.
const refusingAddress = "127.0.0.1:1"

func casError(c *httpstore.Client) error {
	_, err := c.CompareAndSwap(context.Background(), "k", 0, []byte("v"))
	return err
}

func getError(c *httpstore.Client) error {
	_, err := c.Get(context.Background(), "k")
	return err
}

func TestRefusedDialIsUnavailable(t *testing.T) {
	c := newClient(t, httpstore.Config{Addresses: []string{refusingAddress, refusingAddress}})
	assert.ErrorIs(t, casError(c), kv.ErrUnavailable)
	assert.ErrorIs(t, getError(c), kv.ErrUnavailable)
}

func TestNextAddressIsUsedAfterARefusedDial(t *testing.T) {
	p, _ := newPlatform()
	server := serveStore(t, p)
	c := newClient(t, httpstore.Config{Addresses: []string{refusingAddress, server.Listener.Addr().String()}})
	assert.NilError(t, casError(c))
	assert.NilError(t, getError(c))
	assert.DeepEqual(t, p.Calls(), map[kv.CallKind]uint64{kv.CallCAS: 1, kv.CallGet: 1})
}

// Guards against a change that is made twice: a call is sent on a reused connection, the platform
// executes it, and the connection breaks before the answer. After that net/http repeats some
// requests by itself.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	var runs atomic.Int32
	c := serve(t, httpstore.Config{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1)%2 == 1 {
			_, _ = io.WriteString(w, `{"code":"ok","record":{"key":"k","value":"","revision":1},"revision":1}`)
			return
		}
		panic(http.ErrAbortHandler)
	})
	assert.NilError(t, casError(c))
	assert.ErrorIs(t, casError(c), kv.ErrUnknown)
	assert.Equal(t, runs.Load(), int32(2))
	assert.NilError(t, getError(c))
	assert.ErrorIs(t, getError(c), kv.ErrUnavailable)
	assert.Equal(t, runs.Load(), int32(4))
}

// Guards against a write that the platform executed being reported as failed: an intermediary
// answers instead of the platform, or the answer is truncated or a redirect, and the client takes
// any status for the platform's.
func TestAnswerNotFromThePlatformLeavesWriteUnknown(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"error page": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "bad gateway", http.StatusBadGateway)
		},
		"unavailable from an intermediary": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, `{"message":"no backend"}`, http.StatusServiceUnavailable)
		},
		"code and status differ": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, `{"code":"unavailable"}`, http.StatusOK)
		},
		"truncated answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"code":"ok"`)
		},
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/v1/cas", http.StatusTemporaryRedirect)
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			c := serve(t, httpstore.Config{}, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				answer(w, r)
			})
			assert.ErrorIs(t, casError(c), kv.ErrUnknown)
			assert.Equal(t, runs.Load(), int32(1))
			assert.ErrorIs(t, getError(c), kv.ErrUnavailable)
		})
	}
}

func TestTimeoutLeavesWriteUnknown(t *testing.T) {
	// The timeout is long enough to open a connection on a busy machine. Without a connection the
	// call counts as not sent.
	c := serve(t, httpstore.Config{Timeout: time.Second}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	assert.ErrorIs(t, casError(c), kv.ErrUnknown)
	assert.ErrorIs(t, getError(c), kv.ErrUnavailable)
}

// Guards against a router that serves with an old configuration for hours: an intermediary loses the
// state of the connection that a watch waits on, and the watch has no timeout.
func TestSilentWatchTimesOut(t *testing.T) {
	p, _ := newPlatform()
	server := serveStore(t, p)
	p.SetWatchFault(standin.WatchSilent)
	c := newClient(t, httpstore.Config{
		Addresses:  []string{server.Listener.Addr().String()},
		WatchWait:  20 * time.Millisecond,
		WatchGrace: 30 * time.Millisecond,
	})
	_, _, err := c.Watch(context.Background(), "a/", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
}

func TestWatchWithoutChangesIsOneCallAndAdvancesTheRevision(t *testing.T) {
	p, _ := newPlatform()
	server := serveStore(t, p)
	c := newClient(t, httpstore.Config{
		Addresses: []string{server.Listener.Addr().String()},
		WatchWait: 20 * time.Millisecond,
	})
	assert.NilError(t, casError(c))
	records, revision, err := c.Watch(context.Background(), "elsewhere/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
	assert.Equal(t, revision, kv.Revision(1))
	assert.Equal(t, p.Calls()[kv.CallWatch], uint64(1))
}

// Guards against watches that continue in the platform after their client has disconnected, because
// the handler does not detect that.
func TestWatchEndsWithItsClient(t *testing.T) {
	ended := make(chan struct{})
	p, _ := newPlatform()
	handler := httpstore.NewHandler(func(name string) httpstore.Backend { return p.Client(name) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := serve(t, httpstore.Config{}, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		handler.ServeHTTP(w, r)
	})
	watched := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, "a/", 0)
		watched <- err
	}()
	waittest.Until(t, "the watch is counted", func() bool { return p.Calls()[kv.CallWatch] == 1 })
	cancel()
	assert.ErrorIs(t, <-watched, context.Canceled)
	<-ended
}

func TestMalformedCallIsInvalid(t *testing.T) {
	p, _ := newPlatform()
	server := serveStore(t, p)
	response, err := http.Post(server.URL+"/v1/cas", "application/json", http.NoBody)
	assert.NilError(t, err)
	response.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Equal(t, len(p.Calls()), 0)
}

func TestTLS(t *testing.T) {
	p, _ := newPlatform()
	server := httptest.NewUnstartedServer(httpstore.NewHandler(func(name string) httpstore.Backend { return p.Client(name) }))
	server.Config.ErrorLog = discardLog
	server.StartTLS()
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	addresses := []string{server.Listener.Addr().String()}
	trusting := newClient(t, httpstore.Config{Addresses: addresses, TLS: &tls.Config{RootCAs: roots, ServerName: "example.com"}})
	assert.NilError(t, casError(trusting))
	untrusting := newClient(t, httpstore.Config{Addresses: addresses, TLS: &tls.Config{RootCAs: x509.NewCertPool()}})
	assert.ErrorIs(t, casError(untrusting), kv.ErrUnavailable)
	assert.Equal(t, p.Calls()[kv.CallCAS], uint64(1))
}

func TestBadAddressIsRefused(t *testing.T) {
	for _, addresses := range [][]string{nil, {"nowhere"}} {
		_, err := httpstore.New(httpstore.Config{Addresses: addresses})
		assert.Assert(t, err != nil)
	}
}

// discardLog drops the handshake errors that TestTLS causes.
var discardLog = log.New(io.Discard, "", 0)
