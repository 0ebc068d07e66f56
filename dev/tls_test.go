package dev_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/fault"
	"tarragongw/dev"
	"tarragongw/eventlog"
	"tarragongw/keys"
	"tarragongw/operator"
	"tarragongw/peer"
	"tarragongw/target/sample"
)

func put(t *testing.T, file, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
}

func read(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	return string(data)
}

// Symptom: somebody on the network reads or changes what passes, or passes for a side.
// Sequence: callers, operators and a stranger speak to a system in which each side
// has TLS; requests go through one router and through two.
// Cause: a side that speaks plain text, an old version of TLS, or believes a name.
func TestWholePathOverTLS(t *testing.T) {
	s := startSecure(t, nil)
	c := s.callers()
	for i := range 40 {
		// One of the two is not the target's grantor and forwards over the routers' TLS.
		for router := range s.Routers {
			resp, got := get(t, c, fmt.Sprintf("%s/work/k%d", s.CallerURL(router), i))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 200, got.body)
			assert.Equal(t, tlsVersion(resp), uint16(tls.VersionTLS13))
			assert.Equal(t, resp.ProtoMajor, 2)
		}
	}
	assert.Equal(t, len(s.Log.All()), 2*40)

	plain := strings.Replace(s.CallerURL(0), "https", "http", 1)
	_, got := get(t, client, plain+"/work/k1")
	assert.Equal(t, got.status, http.StatusBadRequest, "%v %s", got.err, got.body)
	_, got = get(t, only12(c), s.CallerURL(0)+"/work/k1")
	assert.ErrorContains(t, got.err, "protocol version")
	_, got = get(t, client, s.CallerURL(0)+"/work/k1")
	assert.ErrorContains(t, got.err, "unknown authority")
}

// Symptom: somebody without the right changes the configuration or moves keys.
// Sequence: each role, nobody and a stranger make calls that need more than they have.
// Cause: a path without a check, or a certificate that is believed unverified.
func TestOperatorsWithoutTheRoleChangeNothing(t *testing.T) {
	s := startSecure(t, nil)
	ctx := context.Background()
	before, err := s.Operator(0).Config(ctx)
	assert.NilError(t, err)
	calls := map[string]func(*operator.Client) error{
		"status": func(c *operator.Client) error { _, err := c.Status(ctx); return err },
		"drain": func(c *operator.Client) error {
			_, err := c.Drain(ctx, &operator.DrainRequest{Target: "work-00", Author: "somebody"})
			return err
		},
		"apply": func(c *operator.Client) error {
			_, err := c.Apply(ctx, &operator.ApplyRequest{Base: before.Revision, Author: "somebody", Model: before.Model})
			return err
		},
		"confirm-dead": func(c *operator.Client) error {
			_, err := c.ConfirmDead(ctx, &operator.ConfirmDeadRequest{Target: "work-00", Author: "somebody"})
			return err
		},
	}
	refusals := map[keys.Role]map[string]operator.Code{
		keys.RoleNone:    {"status": operator.CodeUnauthenticated, "drain": operator.CodeUnauthenticated, "apply": operator.CodeUnauthenticated, "confirm-dead": operator.CodeUnauthenticated},
		keys.RoleRead:    {"drain": operator.CodeForbidden, "apply": operator.CodeForbidden, "confirm-dead": operator.CodeForbidden},
		keys.RoleOperate: {"apply": operator.CodeForbidden, "confirm-dead": operator.CodeForbidden},
	}
	for role, refused := range refusals {
		for call, code := range refused {
			assert.Equal(t, codeOf(calls[call](s.OperatorAs(0, role))), code, "%s %s", role, call)
		}
	}
	// A router's certificate is the routers' authority's, and a stranger's nobody's.
	router := s.operatorWith(keys.CertFile(s.folder, "hall-a"), keys.KeyFile(s.folder, "hall-a"))
	assert.Assert(t, calls["drain"](router) != nil)
	strange := s.operatorWith(stranger(t, keys.Subject{Name: "operator-administer", Role: keys.RoleAdminister, Use: keys.Client}))
	assert.Assert(t, calls["drain"](strange) != nil)

	after, err := s.Operator(0).Config(ctx)
	assert.NilError(t, err)
	assert.Equal(t, after.Revision, before.Revision)
	for _, reason := range []operator.Cause{operator.CauseNoCertificate, operator.CauseRole, operator.CauseHandshake} {
		s.tells(0, eventlog.OperatorRefused, string(reason))
		eventually(t, "the metric counts "+string(reason), func() bool {
			return strings.Contains(s.page("/metrics"), `operator_refused_total{cause="`+string(reason)+`"`)
		})
	}

	// The balancer has no certificate.
	_, got := get(t, s.OperatorAs(0, keys.RoleNone).HTTP, s.OperatorAs(0, keys.RoleNone).Base+"/readyz")
	assert.Equal(t, got.status, 200, "%v", got.err)
	assert.NilError(t, calls["status"](s.OperatorAs(0, keys.RoleRead)))
	assert.NilError(t, calls["drain"](s.OperatorAs(0, keys.RoleOperate)))
	// What is recorded is the certificate's name, not the one that the call gave.
	s.tells(0, eventlog.ConfigChanged, "operator-operate")
}

// Symptom: a process that is no router, or another one, takes targets over in a
// router's name.
// Sequence: it connects to a router's peer listener with no certificate, with one of
// another authority, with an operator's, and with a router's under another's name.
// Cause: the listener believes the name of the hello.
func TestRoutersRefuseStrangers(t *testing.T) {
	s := startSecure(t, func(cfg *dev.Config) { cfg.Model.Targets = cfg.Model.Targets[:1] })
	member := peer.Identity{Name: s.Routers[0].Name(), DataCentre: "hall", Address: s.Routers[0].Addresses().Peer}
	files := func(name string) (string, string) { return keys.CertFile(s.folder, name), keys.KeyFile(s.folder, name) }
	tests := []struct {
		what, claimed, want, cause string
		files                      func() (string, string)
	}{
		{"no certificate", "hall-z", "provide a certificate", "no_certificate", func() (string, string) { return "", "" }},
		{"another authority", "hall-z", "unknown authority", "unknown_authority", func() (string, string) {
			return stranger(t, keys.Subject{Name: "hall-z", DNS: true, Role: keys.RoleRouter, Use: keys.Both})
		}},
		{"an operator", "hall-z", "unknown authority", "unknown_authority", func() (string, string) { return files("administer") }},
		{"another router's name", "hall-z", "claimed", "wrong_name", func() (string, string) { return files("hall-b") }},
		{"a revoked certificate", "hall-z", "is revoked by list 2", "revoked", func() (string, string) {
			s.revoke("hall-z")
			return files("hall-z")
		}},
	}
	for _, tc := range tests {
		t.Run(tc.what, func(t *testing.T) {
			cert, key := tc.files()
			source := s.source(keys.Files{CA: keys.CertFile(s.folder, keys.AuthorityRouters), Cert: cert, Key: key, Use: keys.Client})
			node, err := peer.New(peer.Config{
				Self: peer.Identity{Name: tc.claimed, DataCentre: "hall", Incarnation: 1}, Listen: "127.0.0.1:0", DialTLS: source.ClientTLS,
			})
			assert.NilError(t, err)
			defer node.Close()
			node.Start(nobody{})
			node.SetPeers([]peer.Identity{member})
			// Events are bounded, so that one may pass over a try; the next one tells.
			eventually(t, "it is told of", func() bool {
				req, err := http.NewRequest("GET", "http://x/", nil)
				assert.NilError(t, err)
				_, f := node.RoundTrip(t.Context(), member.Name, req, &peer.Envelope{Service: "work", Target: "work-00"})
				assert.Assert(t, f != nil)
				assert.Equal(t, f.Ran, fault.NotRun)
				return s.told(0, eventlog.PeerRefused, tc.want) && s.told(0, eventlog.PeerRefused, "reason "+tc.cause)
			})
			eventually(t, "it is counted", func() bool {
				return strings.Contains(s.page("/metrics"), `peer_refused_total{cause="`+tc.cause+`"`)
			})
		})
	}
	assert.Equal(t, s.Targets["work-00"].Arrivals(), 0)
	for _, r := range s.Routers {
		assert.Assert(t, r.Ready())
	}
}

type nobody struct{}

func (nobody) ServeHTTP(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }
func (nobody) Control(peer.Identity, string, []byte)            {}

// Symptom: requests reach a server that is not the target that was meant.
// Sequence: a target's address goes to another server, whose certificate is another
// target's.
// Cause: the address is believed, or any certificate of the authority.
func TestATargetUnderAnothersCertificateGetsNoWork(t *testing.T) {
	s := startSecure(t, func(cfg *dev.Config) {
		cfg.Sample = func(c *sample.Config) {
			if c.Name != "work-00" {
				return
			}
			wrong, err := keys.Open(keys.Files{Cert: keys.CertFile(cfg.Keys, "work-01"), Key: keys.KeyFile(cfg.Keys, "work-01"), Use: keys.Server}, nil)
			assert.NilError(t, err)
			c.TLS = wrong.ServerTLS()
		}
	})
	c := s.callers()
	for i := range 40 {
		_, got := get(t, c, fmt.Sprintf("%s/work/k%d", s.CallerURL(0), i))
		assert.Equal(t, got.status, 200, "%v %s", got.err, got.body)
	}
	assert.Equal(t, s.Targets["work-00"].Arrivals(), 0)
}

// presented returns the certificate that the address presents now.
func presented(t *testing.T, address string, cfg *tls.Config) string {
	t.Helper()
	cfg = cfg.Clone()
	cfg.InsecureSkipVerify = true
	conn, err := (&tls.Dialer{Config: cfg}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	return string(conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Raw)
}

// Symptom: renewing certificates breaks requests, or nobody notices that it failed.
// Sequence: under load all files are replaced by those of new authorities, in the
// order that the operators' page gives; then a file is spoilt.
// Cause: listeners are opened anew, connections closed, or a bad file put in force.
func TestReloadUnderLoadCutsNothing(t *testing.T) {
	s := startSecure(t, nil)
	c := s.callers()
	old := presented(t, s.Routers[0].Addresses().Caller, &tls.Config{})
	// This client trusts the old authority alone: what it asks goes over the connections
	// that it opens now, and fails where one of them is closed.
	for i := range s.Routers {
		_, got := get(t, c, s.CallerURL(i)+"/work/k")
		assert.Equal(t, got.status, 200, "%v %s", got.err, got.body)
	}
	l := startLoad(8, func(caller, i int) reply {
		_, got := get(t, c, fmt.Sprintf("%s/work/k%d-%d", s.CallerURL(caller%2), caller, i%50))
		return got
	})
	next := s.renewed()
	// 1. Both authorities are trusted; 2. the new certificates are shown; 3. the old
	// authorities go.
	authorities := []string{keys.AuthorityRouters, keys.AuthorityOperators}
	for _, a := range authorities {
		put(t, keys.CertFile(s.folder, a), read(t, keys.CertFile(s.folder, a))+read(t, keys.CertFile(next, a)))
		put(t, keys.RevocationListFile(s.folder, a), read(t, keys.RevocationListFile(s.folder, a))+read(t, keys.RevocationListFile(next, a)))
	}
	s.look()
	for _, name := range []string{"hall-a", "hall-b", keys.CallerCertificate, "read", "operate", "administer"} {
		put(t, keys.CertFile(s.folder, name), read(t, keys.CertFile(next, name)))
		put(t, keys.KeyFile(s.folder, name), read(t, keys.KeyFile(next, name)))
	}
	s.look()
	for _, a := range authorities {
		put(t, keys.CertFile(s.folder, a), read(t, keys.CertFile(next, a)))
	}
	s.look()
	assert.Assert(t, presented(t, s.Routers[0].Addresses().Caller, &tls.Config{}) != old)
	s.tells(0, eventlog.KeysReloaded, "tls.callers")
	s.tells(1, eventlog.KeysReloaded, "tls.peers")
	assert.Equal(t, problems(t, s.System, 0), "")

	put(t, keys.KeyFile(s.folder, keys.CallerCertificate), "spoilt")
	s.look()
	now := presented(t, s.Routers[0].Addresses().Caller, &tls.Config{})
	assert.Equal(t, now, presented(t, s.Routers[1].Addresses().Caller, &tls.Config{}))
	s.tells(0, eventlog.KeysRefused, "holds no private key")
	assert.Assert(t, strings.Contains(problems(t, s.System, 0), "new files of tls.callers are refused"), problems(t, s.System, 0))
	l.end(t)
}

// renewed makes a second set of all files.
func (s *secure) renewed() string {
	s.t.Helper()
	cfg := dev.Config{RoutersPerDataCentre: 2, Model: small{targets: 4}.model()}
	return makeKeys(s.t, &cfg)
}

// Symptom: an operator whose authority was taken away goes on changing things.
// Sequence: a connection is opened, the authority leaves the file, and the connection
// is used again.
// Cause: certificates are checked when a connection begins only.
func TestAnOpenConnectionDoesNotOutliveItsAuthority(t *testing.T) {
	s := startSecure(t, nil)
	c := s.OperatorAs(0, keys.RoleAdminister)
	c.HTTP.Transport.(*http.Transport).DisableKeepAlives = false
	_, err := c.Status(t.Context())
	assert.NilError(t, err)
	ca := keys.CertFile(s.folder, keys.AuthorityOperators)
	next := s.renewed()
	put(t, ca, read(t, keys.CertFile(next, keys.AuthorityOperators)))
	put(t, keys.RevocationListFile(s.folder, keys.AuthorityOperators), read(t, keys.RevocationListFile(next, keys.AuthorityOperators)))
	s.look()
	_, err = c.Drain(t.Context(), &operator.DrainRequest{Target: "work-00"})
	assert.Assert(t, err != nil)
	current := s.operatorWith(keys.CertFile(next, "administer"), keys.KeyFile(next, "administer"))
	explained, err := current.ExplainTarget(t.Context(), "work-00")
	assert.NilError(t, err)
	assert.Assert(t, !explained.Draining)
	events, err := current.Events(t.Context(), time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, slices.ContainsFunc(events, func(e eventlog.Event) bool {
		return e.Kind == eventlog.CertRefused && strings.Contains(fmt.Sprint(e.Fields), "reason unknown_authority")
	}), "%v", events)
}

// Symptom: the holder of a revoked certificate goes on, or work is cut by a revocation.
// Sequence: under load the certificates of a target and of an operator are revoked, each
// with open connections.
// Cause: open connections are held against certificates when they begin only.
func TestRevocationUnderLoadCutsNothing(t *testing.T) {
	s := startSecure(t, nil)
	c, operate := s.callers(), s.OperatorAs(0, keys.RoleOperate)
	operate.HTTP.Transport.(*http.Transport).DisableKeepAlives = false
	_, err := operate.Status(t.Context())
	assert.NilError(t, err)
	l := startLoad(8, func(caller, i int) reply {
		_, got := get(t, c, fmt.Sprintf("%s/work/k%d-%d", s.CallerURL(caller%2), caller, i%50))
		return got
	})
	s.revoke("work-00", "operate")
	s.tells(0, eventlog.CertRefused, "operator-operate")
	_, err = operate.Status(t.Context())
	assert.Assert(t, err != nil)
	// As after any loss of a target, its keys pause: refusals are proofs of not run.
	eventually(t, "other targets have its keys", func() bool {
		before := s.Targets["work-00"].Arrivals()
		for i := range 40 {
			if _, got := get(t, c, fmt.Sprintf("%s/work/k%d", s.CallerURL(0), i)); got.status != 200 {
				return false
			}
		}
		return s.Targets["work-00"].Arrivals() == before
	})
	l.halt()
	assert.Equal(t, l.failed.Load(), int64(0), l.firstBad)
	assert.Assert(t, s.told(0, eventlog.CertRefused, "work-00") || s.told(1, eventlog.CertRefused, "work-00"))
}

// Symptom: a caller whose certificate was revoked goes on, or its last request is cut.
// Sequence: callers need certificates; one sends a request, over HTTP/1.1 and HTTP/2,
// whose body is under way when its certificate is revoked, and then another one on the
// same connection.
// Cause: a connection is held against certificates when it begins only.
func TestARevokedCallerEndsItsRequestAndBeginsNone(t *testing.T) {
	for _, major := range []int{1, 2} {
		t.Run(fmt.Sprint("HTTP/", major), func(t *testing.T) {
			s := startSecure(t, func(cfg *dev.Config) {
				cfg.Settings = func(r *config.Router) {
					dev.Patient(r)
					r.TLS.Callers.CA, r.TLS.Callers.CRL = keys.CertFile(cfg.Keys, keys.AuthorityCallers), keys.RevocationListFile(cfg.Keys, keys.AuthorityCallers)
				}
			})
			_, got := get(t, s.callers(), s.CallerURL(0)+"/work/k1")
			assert.Assert(t, got.err != nil)
			s.tells(0, eventlog.CallerRefused, "provide a certificate")

			shop := s.source(keys.Files{CA: keys.CertFile(s.folder, keys.AuthorityCallers), Cert: keys.CertFile(s.folder, "shop"), Key: keys.KeyFile(s.folder, "shop"), Use: keys.Client})
			var dials atomic.Int64
			c := &http.Client{Timeout: patience, Transport: &http.Transport{ForceAttemptHTTP2: major == 2, DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				cfg := shop.ClientTLS("127.0.0.1")
				cfg.NextProtos = []string{"http/1.1"}
				if major == 2 {
					cfg.NextProtos = []string{"h2"}
				}
				return (&tls.Dialer{Config: cfg}).DialContext(ctx, network, address)
			}}}
			resting, err := tls.Dial("tcp", s.Routers[0].Addresses().Caller, shop.ClientTLS("127.0.0.1"))
			assert.NilError(t, err)
			defer resting.Close()
			_, err = resting.Write([]byte("GET /work/k3 HTTP/1.1\r\nHost: x\r\n\r\n"))
			assert.NilError(t, err)
			first, err := http.ReadResponse(bufio.NewReader(resting), nil)
			assert.NilError(t, err)
			assert.Equal(t, readReply(first).status, 200)
			body, writer := io.Pipe()
			req, err := http.NewRequest("POST", s.CallerURL(0)+"/work/k1", body)
			assert.NilError(t, err)
			answered := make(chan reply, 1)
			go func() { answered <- answeredBy(c, req) }()
			_, err = writer.Write([]byte("part"))
			assert.NilError(t, err)
			eventually(t, "the request is under way", func() bool {
				return strings.Contains(s.page("/metrics"), "callers_in_flight{data_centre=\"hall\",router=\"hall-a\"} 1")
			})
			s.revoke("shop")
			s.tells(0, eventlog.CertRefused, "callers")
			assert.NilError(t, resting.SetReadDeadline(time.Now().Add(patience)))
			_, err = resting.Read(make([]byte, 1))
			assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			if major == 2 {
				_, got = get(t, c, s.CallerURL(0)+"/work/k2")
				assert.Equal(t, got.status, http.StatusUnauthorized, "%v", got.err)
				assert.Equal(t, got.header.Get("Tarragon-Ran"), "not-run")
			}
			assert.NilError(t, writer.Close())
			last := <-answered
			assert.NilError(t, last.err)
			assert.Equal(t, last.status, 200, last.body)
			eventually(t, "its connection is closed, and no other opened", func() bool {
				_, got := get(t, c, s.CallerURL(0)+"/work/k2")
				return got.err != nil && dials.Load() > 1
			})
			s.tells(0, eventlog.CallerRefused, "is revoked by list 2")
		})
	}
}
