package dev_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/eventlog"
	"tarragongw/keys"
	"tarragongw/operator"
)

// makeKeys makes the certificates of a system in a new folder.
func makeKeys(t *testing.T, cfg *dev.Config) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "keys")
	plan := dev.KeyPlan(folder, cfg)
	plan.Callers = []string{"shop"}
	// One that no router of the system has.
	plan.Routers = append(plan.Routers, "hall-z")
	_, err := keys.Initialise(plan)
	assert.NilError(t, err)
	return folder
}

// secure is a system whose sides all speak TLS: two routers of one data centre and
// four targets.
type secure struct {
	*dev.System
	t      *testing.T
	folder string
	// ticks makes the routers look at their files.
	ticks []chan time.Time
}

func startSecure(t *testing.T, change func(*dev.Config)) *secure {
	t.Helper()
	m := small{division: model.ByKey, targets: 4, slots: 6, timeout: patience, queue: 100}.model()
	cfg := dev.Config{Model: m, RoutersPerDataCentre: 2}
	s := &secure{t: t, folder: makeKeys(t, &cfg)}
	cfg.Keys = s.folder
	cfg.KeyTicks = func(string) <-chan time.Time {
		ticks := make(chan time.Time)
		s.ticks = append(s.ticks, ticks)
		return ticks
	}
	if change != nil {
		change(&cfg)
	}
	s.System = start(t, cfg)
	return s
}

// look makes the targets and each router look at their files once, and returns when
// they have.
func (s *secure) look() {
	assert.NilError(s.t, s.ReloadTargetKeys())
	s.lookAtRouters()
}

func (s *secure) lookAtRouters() {
	s.t.Helper()
	for _, ticks := range s.ticks {
		// The second is only taken once the first was worked off.
		for range 2 {
			select {
			case ticks <- time.Now():
			case <-time.After(patience):
				s.t.Fatal("a router does not look at its files")
			}
		}
	}
}

// revoke revokes certificates of the folder and puts the lists in force everywhere.
func (s *secure) revoke(names ...string) {
	s.t.Helper()
	r := keys.Revocation{Folder: s.folder, Now: time.Now(), Valid: time.Hour}
	for _, name := range names {
		r.Files = append(r.Files, keys.CertFile(s.folder, name))
	}
	_, err := keys.Revoke(r)
	assert.NilError(s.t, err)
	s.look()
}

// source opens files of the folder.
func (s *secure) source(f keys.Files) *keys.Source {
	s.t.Helper()
	source, err := keys.Open(f, nil)
	assert.NilError(s.t, err)
	return source
}

// callers returns a client that trusts the callers' authority alone.
func (s *secure) callers() *http.Client {
	cfg := s.source(keys.Files{CA: keys.CertFile(s.folder, keys.AuthorityCallers)}).ClientTLS("")
	return &http.Client{Timeout: patience, Transport: &http.Transport{TLSClientConfig: cfg, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 64}}
}

// operatorWith returns a client of the first router that shows the files'
// certificate.
func (s *secure) operatorWith(cert, key string) *operator.Client {
	cfg := s.source(keys.Files{CA: keys.CertFile(s.folder, keys.AuthorityRouters), Cert: cert, Key: key, Use: keys.Client}).ClientTLS("")
	return &operator.Client{Base: s.OperatorAs(0, keys.RoleNone).Base, HTTP: &http.Client{Timeout: patience, Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}}
}

// page returns what a page of the first router's operators' endpoint says to the
// administrator.
func (s *secure) page(path string) string {
	s.t.Helper()
	c := s.OperatorAs(0, keys.RoleAdminister)
	req, err := http.NewRequest("GET", c.Base+path, nil)
	assert.NilError(s.t, err)
	got := answeredBy(c.HTTP, req)
	assert.NilError(s.t, got.err)
	assert.Equal(s.t, got.status, 200, got.body)
	return got.body
}

// tells waits for an event of the kind at a router whose text holds want.
func (s *secure) tells(router int, kind eventlog.Kind, want string) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("router %d tells %s %q", router, kind, want), func() bool { return s.told(router, kind, want) })
}

func (s *secure) told(router int, kind eventlog.Kind, want string) bool {
	s.t.Helper()
	events, err := s.Operator(router).Events(context.Background(), time.Hour)
	assert.NilError(s.t, err)
	for _, e := range events {
		if e.Kind == kind && strings.Contains(fmt.Sprint(e.Cause, e.Fields), want) {
			return true
		}
	}
	return false
}

func codeOf(err error) operator.Code {
	var e *operator.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// stranger makes an authority of its own and a certificate that says all that a
// right one would.
func stranger(t *testing.T, subject keys.Subject) (cert, key string) {
	t.Helper()
	a, _, err := keys.NewAuthority("stranger", time.Now(), time.Hour)
	assert.NilError(t, err)
	return issued(t, a, subject)
}

func issued(t *testing.T, a *keys.Authority, subject keys.Subject) (cert, key string) {
	t.Helper()
	pair, err := a.Issue(subject, time.Now(), time.Hour)
	assert.NilError(t, err)
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "x.crt"), filepath.Join(dir, "x.key")
	put(t, cert, string(pair.Cert))
	put(t, key, string(pair.Key))
	return cert, key
}

func get(t *testing.T, c *http.Client, url string) (*http.Response, reply) {
	t.Helper()
	resp, err := c.Get(url)
	if err != nil {
		return nil, reply{err: err}
	}
	defer resp.Body.Close()
	return resp, readReply(resp)
}

func tlsVersion(resp *http.Response) uint16 {
	if resp == nil || resp.TLS == nil {
		return 0
	}
	return resp.TLS.Version
}

// only12 is for a client that can't speak TLS 1.3.
func only12(c *http.Client) *http.Client {
	cfg := c.Transport.(*http.Transport).TLSClientConfig.Clone()
	cfg.MinVersion, cfg.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	return &http.Client{Timeout: patience, Transport: &http.Transport{TLSClientConfig: cfg}}
}
