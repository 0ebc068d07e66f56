package main

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/target"
	"tarragongw/target/sample"
)

const (
	// targetConns is the connection budget of a target, targetSlots its slots.
	targetConns = 130
	targetSlots = 128
	answerBytes = 512
	// holdPath marks requests that the target keeps until release.
	holdPath = "/hold"
)

// fastTarget obeys grants as the sample target does and answers work at once, so
// that what is measured is the way there and back.
type fastTarget struct {
	listener net.Listener
	server   *http.Server
	control  http.Handler
	answer   []byte
	length   []string
	// held counts the requests that wait for release.
	held    atomic.Int64
	release chan struct{}
}

func startTarget(name, keyFolder string) (*fastTarget, error) {
	l, err := listenTarget(name, keyFolder)
	if err != nil {
		return nil, err
	}
	t := &fastTarget{
		listener: l,
		control:  sample.New(sample.Config{Name: name, Grants: model.GrantCheck{ChecksTokens: true, Expires: true}}).Handler(),
		answer:   bytes.Repeat([]byte("x"), answerBytes),
		length:   []string{strconv.Itoa(answerBytes)},
		release:  make(chan struct{}),
	}
	t.server = &http.Server{Handler: t}
	// Serve ends when stop closes the server.
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// listenTarget listens in plain text where there is no folder.
func listenTarget(name, keyFolder string) (net.Listener, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil || keyFolder == "" {
		return l, err
	}
	source, err := dev.OpenTargetKeys(keyFolder, name)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, dev.TargetTLS(source)), nil
}

func (t *fastTarget) address() string { return t.listener.Addr().String() }

func (t *fastTarget) stop() { _ = t.server.Close() }

// ServeHTTP implements http.Handler.
func (t *fastTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == target.PathGrants || r.URL.Path == target.PathHealth:
		t.control.ServeHTTP(w, r)
		return
	case strings.HasSuffix(r.URL.Path, holdPath):
		t.held.Add(1)
		<-t.release
	}
	if r.ContentLength != 0 {
		_, _ = io.Copy(io.Discard, r.Body) // a broken body shows as the router's fault
	}
	h := w.Header()
	h["Content-Length"] = t.length
	h.Set("Content-Type", "text/plain")
	_, _ = w.Write(t.answer)
}
