package router

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/keys"
	"tarragongw/kv/standin"
	"tarragongw/operator"
)

// newTestRouter makes a router that listens and was not started.
func newTestRouter(t *testing.T, change func(*Options)) (*Router, error) {
	t.Helper()
	settings := config.Defaults()
	settings.Name, settings.DataCentre = "r1", "hall"
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	client := standin.New(standin.Config{}).Client("r1")
	o := Options{Settings: &settings, Store: client, Directory: client}
	if change != nil {
		change(&o)
	}
	r, err := New(o)
	if err == nil {
		r.Start()
		t.Cleanup(r.Abort)
	}
	return r, err
}

// No path of the operators' listener may be without a role, and no role without a
// path.
func TestNoEndpointLacksARole(t *testing.T) {
	r, err := newTestRouter(t, nil)
	assert.NilError(t, err)
	served := append(r.admin.Patterns(), operator.Patterns()...)
	assert.Assert(t, len(served) > 15, "%v", served)
	var listed []string
	for _, e := range operator.Endpoints {
		listed = append(listed, e.Pattern)
	}
	slices.Sort(served)
	slices.Sort(listed)
	assert.DeepEqual(t, served, listed)
}

// Without TLS the VM itself may do all, other machines may read.
func TestPlainTextLetsOtherMachinesOnlyRead(t *testing.T) {
	assert.Equal(t, plainIdentity("127.0.0.1:5").Role, keys.RoleAdminister)
	assert.Equal(t, plainIdentity("[::1]:5").Role, keys.RoleAdminister)
	for _, remote := range []string{"10.0.0.1:5", "[fe80::1%eth0]:5", "nonsense", ""} {
		assert.Equal(t, plainIdentity(remote).Role, keys.RoleRead, remote)
	}
}

// Each listener off loopback needs TLS or the setting that allows plain text.
func TestPlainTextNeedsItsSetting(t *testing.T) {
	tests := map[string]struct{ open, allow func(*config.Router) }{
		"listen.caller":   {func(s *config.Router) { s.Listen.Caller = "0.0.0.0:0" }, func(s *config.Router) { s.TLS.Callers.PlainText = true }},
		"listen.operator": {func(s *config.Router) { s.Listen.Operator = ":0" }, func(s *config.Router) { s.TLS.Operator.PlainText = true }},
		"listen.peer":     {func(s *config.Router) { s.Listen.Peer = "10.1.2.3:0" }, func(s *config.Router) { s.TLS.Peers.PlainText = true }},
	}
	for setting, tc := range tests {
		settings := config.Defaults()
		settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = "127.0.0.1:0", "localhost:0", "[::1]:0"
		o := Options{Settings: &settings}
		_, err := openSecurity(&o)
		assert.NilError(t, err)
		tc.open(&settings)
		_, err = openSecurity(&o)
		assert.ErrorContains(t, err, setting)
		assert.ErrorContains(t, err, "plain_text = true")
		tc.allow(&settings)
		_, err = openSecurity(&o)
		assert.NilError(t, err)
	}
}

// A target off loopback that no authority is named for gets no work in plain text.
func TestTargetsOffLoopbackNeedTLSOrTheSetting(t *testing.T) {
	spec := &model.Target{Name: "t", Service: "s", Address: "10.1.2.3:80"}
	d := &dialling{security: &security{}}
	_, err := d.dialFor(spec)(t.Context(), "tcp", spec.Address)
	assert.ErrorContains(t, err, "tls.targets.plain_text")
	assert.Assert(t, d.tlsFor(spec) == nil)
	near := *spec
	near.Address = "127.0.0.1:80"
	assert.Assert(t, d.dialFor(&near) == nil)
	d.plain = true
	assert.Assert(t, d.dialFor(spec) == nil)
}

// A service's own authority goes before that for all.
func TestTargetsOfAServiceHaveTheirOwnAuthority(t *testing.T) {
	all, own := &keys.Source{}, &keys.Source{}
	s := &security{targets: all, byService: map[string]*keys.Source{"ledger": own}}
	assert.Assert(t, s.forService("ledger") == own)
	assert.Assert(t, s.forService("other") == all)
	s.targets = nil
	assert.Assert(t, s.forService("other") == nil)
}

// Wrong files end the start with the table, the file and the fix.
func TestWrongFilesEndTheStart(t *testing.T) {
	_, err := newTestRouter(t, func(o *Options) {
		o.Settings.TLS.Peers = config.MutualTLS{CertFiles: config.CertFiles{Cert: "/none.crt", Key: "/none.key"}, CA: "/none-ca.crt"}
	})
	assert.ErrorContains(t, err, "tls.peers: /none-ca.crt: no such file")
}

// Symptom: the journal holds nothing but refused calls.
// Sequence: somebody calls again and again without a certificate.
// Cause: an event for each.
func TestRefusalsDoNotFloodTheJournal(t *testing.T) {
	var q refusals
	now := time.Unix(100, 0)
	_, ok := q.admit("a", now)
	assert.Assert(t, ok)
	for range 10 {
		_, ok = q.admit("a", now.Add(refusalEvery-1))
		assert.Assert(t, !ok)
	}
	_, ok = q.admit("b", now)
	assert.Assert(t, ok)
	untold, ok := q.admit("a", now.Add(refusalEvery))
	assert.Assert(t, ok)
	assert.Equal(t, untold, 10)
}

// Only the line of a failed handshake counts as a refusal.
func TestFailedHandshakesAreRefusals(t *testing.T) {
	r, err := newTestRouter(t, nil)
	assert.NilError(t, err)
	h := &handshakeLog{r.log, r.operatorHandshakeFailed}
	for _, line := range []string{"http: response.WriteHeader on hijacked connection\n", handshakeMark + "10.1.2.3:4: tls: unknown certificate authority\n"} {
		n, err := h.Write([]byte(line))
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	page, err := (&backend{r}).Events(t.Context(), operator.EventQuery{})
	assert.NilError(t, err)
	var told []string
	for _, e := range page.Events {
		if strings.Contains(e.Cause, "unknown certificate authority") {
			told = append(told, string(e.Kind))
		}
	}
	assert.DeepEqual(t, told, []string{"operator_refused"})
}
