package caller

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/model"
	"tarragongw/core/request"
)

// forwardFunc is a function that implements Forwarder.
type forwardFunc func(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault

func (f forwardFunc) Forward(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
	return f(w, r, m)
}

// recorder is an Observer that passes outcomes to the test.
type recorder struct{ outcomes chan Outcome }

func newRecorder() *recorder { return &recorder{outcomes: make(chan Outcome, 64)} }

func (o *recorder) Observe(outcome *Outcome) { o.outcomes <- *outcome }

// testModel returns a model with one service divided by key and one that is not.
func testModel() *model.Model {
	return &model.Model{
		Revision: 1,
		Services: []model.Service{
			{
				Name: "faq-viewer", Division: model.ByKey, PathPrefix: "/faq", StripPrefix: true,
				Key:        model.Extract{From: model.FromPath, Segment: 0},
				Caller:     model.Extract{From: model.FromHeader, Name: "x-caller"},
				Class:      model.Extract{From: model.FromHeader, Name: "X-Class"},
				Deadline:   model.Extract{From: model.FromHeader, Name: "X-Deadline"},
				Repeatable: model.Extract{From: model.FromQuery, Name: "repeat"},
				Timeout:    time.Minute,
			},
			{Name: "media-vault", Division: model.Any, PathPrefix: "/"},
		},
		Callers: []model.Caller{{Name: "ramen-kai", Labels: model.Labels{"tier": "gold"}}},
	}
}

// testServer is a running server with its observer and address.
type testServer struct {
	server   *Server
	observer *recorder
	address  string
	url      string
}

func startServer(t testing.TB, cfg Config, f forwardFunc) *testServer {
	t.Helper()
	return startServerWith(t, cfg, f, nil)
}

// startTLSServer starts a server with the test certificate of net/http/httptest.
func startTLSServer(t testing.TB, f forwardFunc) *testServer {
	t.Helper()
	certServer := httptest.NewUnstartedServer(nil)
	certServer.StartTLS()
	t.Cleanup(certServer.Close)
	s := startServerWith(t, Config{}, f, &tls.Config{Certificates: certServer.TLS.Certificates})
	s.url = "https://" + s.address
	return s
}

func startServerWith(t testing.TB, cfg Config, f forwardFunc, tlsConfig *tls.Config) *testServer {
	t.Helper()
	observer := newRecorder()
	handler := NewHandler(cfg, f, observer)
	handler.SetModel(testModel())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{server: NewServer(handler, tlsConfig), observer: observer, address: listener.Addr().String()}
	s.url = "http://" + s.address
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.server.Shutdown(ctx)
		assert.NilError(t, <-served)
	})
	return s
}

// newClient returns a client for HTTP/1.1 (major 1) or clear-text HTTP/2 (major 2).
func newClient(t testing.TB, major int) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP1(major == 1)
	protocols.SetUnencryptedHTTP2(major == 2)
	transport := &http.Transport{Protocols: &protocols, TLSClientConfig: &tls.Config{}, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// onBothVersions runs the test over HTTP/1.1 and HTTP/2.
func onBothVersions(t *testing.T, test func(t *testing.T, c *http.Client)) {
	for major, name := range map[int]string{1: "http1", 2: "http2"} {
		t.Run(name, func(t *testing.T) { test(t, newClient(t, major)) })
	}
}

func do(t testing.TB, c *http.Client, method, url string, body io.Reader, header ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	resp, err := c.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func readBody(t testing.TB, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// answerWhole is a forwarder that writes a complete answer.
func answerWhole(w http.ResponseWriter, _ *http.Request, _ *request.Meta) *fault.Fault {
	_, _ = io.WriteString(w, "whole")
	return nil
}

// gate lets a test block a forwarder and wait until it was entered.
type gate struct {
	entered chan struct{}
	opened  chan struct{}
	once    sync.Once
}

func newGate() *gate {
	return &gate{entered: make(chan struct{}, 16), opened: make(chan struct{})}
}

func (g *gate) pass() {
	g.entered <- struct{}{}
	<-g.opened
}

// forward is a forwarder that answers once the gate is open.
func (g *gate) forward(w http.ResponseWriter, r *http.Request, m *request.Meta) *fault.Fault {
	g.pass()
	return answerWhole(w, r, m)
}

func (g *gate) open() { g.once.Do(func() { close(g.opened) }) }
