package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout bounds every wait; it is far longer than any wait of a passing test.
const waitTimeout = 30 * time.Second

// slowBackend blocks each Status call until release is closed.
type slowBackend struct {
	Backend
	entered chan struct{}
	release chan struct{}
}

func (b *slowBackend) Self() string { return "a" }

func (b *slowBackend) Status(context.Context) (*Status, error) {
	b.entered <- struct{}{}
	<-b.release
	return &Status{Router: "a"}, nil
}

func (b *slowBackend) Drain(context.Context, *DrainRequest) (*ApplyReply, error) {
	return &ApplyReply{Revision: 2}, nil
}

// Guards against a router that runs out of memory when a program calls it continuously:
// calls arrive faster than they are answered, each holds megabytes, and nothing bounds the
// number in flight.
func TestConcurrentCallsAreBounded(t *testing.T) {
	b := &slowBackend{entered: make(chan struct{}, maxConcurrentCalls), release: make(chan struct{})}
	server := httptest.NewServer(newServer(b))
	defer server.Close()
	c := &Client{Base: server.URL, HTTP: &http.Client{Timeout: waitTimeout}}
	answers := make(chan error, maxConcurrentCalls)
	for range maxConcurrentCalls {
		go func() {
			_, err := c.Status(t.Context())
			answers <- err
		}()
	}
	for range maxConcurrentCalls {
		<-b.entered
	}
	_, err := c.Status(t.Context())
	assert.ErrorContains(t, err, "operators' calls are under way")
	close(b.release)
	for range maxConcurrentCalls {
		assert.NilError(t, <-answers)
	}
	_, err = c.Drain(t.Context(), &DrainRequest{Target: "t"})
	assert.NilError(t, err, "finished calls must free their slots")
}

// Guards against operator connections that accumulate with incomplete calls: a client sends
// a part of its body and then nothing, and the server waits for the rest without a timeout.
func TestIncompleteBodyTimesOut(t *testing.T) {
	s := newServer(&slowBackend{})
	s.bodyTimeout = 50 * time.Millisecond
	server := httptest.NewServer(s)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"target\":", PathDrain)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var e Error
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&e))
	assert.Equal(t, e.Code, CodeInvalid)
}

// A body that is too long, nested too deeply, or has data after the call is refused.
func TestBodiesAreBounded(t *testing.T) {
	s := newServer(&slowBackend{})
	for name, body := range map[string]string{
		"long":  `{"target":"` + strings.Repeat("x", maxBodyBytes) + `"}`,
		"deep":  strings.Repeat(`{"target":`, 20_000),
		"twice": `{"target":"t"} {"target":"u"}`,
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, PathDrain, strings.NewReader(body)))
		assert.Equal(t, w.Code, httpStatuses[CodeInvalid], name)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, PathDrain, strings.NewReader("{\"target\":\"t\"}\n")))
	assert.Equal(t, w.Code, http.StatusOK)
}
