package main

import (
	"context"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/dev"
	"tarragongw/examples"
	"tarragongw/keys"
)

func TestKeysInitAndCheck(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	out := mustRun(t, "", "keys", "init", folder, "--for-router", "shop-a", "--host", "10.1.2.3")
	file := func(name string) string { return filepath.Join(folder, name) }
	for _, name := range []string{"shop-a.crt", "shop-a.key", "read.crt", "operate.crt", "administer.key", "callers.crt", "routers-ca.crt"} {
		assert.Assert(t, strings.Contains(out, file(name)+"\n"), out)
	}
	again := runCommand(t, "", "keys", "init", folder, "--for-router", "shop-a")
	assert.ErrorContains(t, again.err, "nothing was written")

	out = mustRun(t, "", "keys", "check", file("shop-a.crt"), file("shop-a.key"), file("routers-ca.crt"))
	for _, want := range []string{`certificate "shop-a", role router, names shop-a, localhost, 127.0.0.1, ::1, 10.1.2.3`, "89 days left: valid", `private key of "shop-a": valid`, `authority "routers-ca"`} {
		assert.Assert(t, strings.Contains(out, want), "%s\n%s", want, out)
	}
	out = mustRun(t, "", "keys", "revoke", folder, file("shop-a.crt"), file("read.crt"))
	assert.Assert(t, strings.HasPrefix(out, file("routers-ca.crl")+"\n"+file("operators-ca.crl")+"\n"), out)
	out = mustRun(t, "", "keys", "check", file("routers-ca.crl"))
	assert.Assert(t, strings.Contains(out, `revocation list 2 of "routers-ca" with 1 certificates`), out)
	assert.ErrorContains(t, runCommand(t, "", "keys", "revoke", folder).err, "keys revoke DIR FILE...")
	wrong := runCommand(t, "", "--output", "json", "keys", "check", file("read.crt"), file("shop-a.key"), file("none"))
	assert.ErrorContains(t, wrong.err, "2 of 3 files are not valid")
	assert.Equal(t, wrong.code, exitFailure)
	var reports []keyReport
	assert.NilError(t, json.Unmarshal([]byte(wrong.out), &reports))
	assert.Equal(t, reports[0].Fault, "")
	assert.Equal(t, reports[1].Fault, "it is the key of none of the certificates that were named")
	assert.Assert(t, strings.Contains(reports[2].Fault, "no such file"), reports[2].Fault)
}

func TestKeysCheckReportsValidityPeriod(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	now := time.Now()
	_, err := keys.Initialise(keys.Plan{Folder: folder, Routers: []string{"r"}, Valid: time.Hour, Now: now})
	assert.NilError(t, err)
	files := []string{keys.CertFile(folder, "r")}
	for at, want := range map[time.Duration]string{0: "", 2 * time.Hour: "has ended", -time.Hour: "valid only from"} {
		reports, _ := checkFiles(files, now.Add(at))
		assert.Assert(t, strings.Contains(reports[0].Fault, want) && (want != "" || reports[0].Fault == ""), reports[0].Fault)
	}
}

// The TLS flags must apply to the connection: a call without a certificate is refused, a
// call with the certificate of a sufficient role is not, and changes are recorded under
// the name in the certificate.
func TestCommandsOverTLS(t *testing.T) {
	m, err := config.LoadModelFS(examples.FS, "shiretoko")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cfg := dev.Config{Model: m, Settings: dev.Patient, Keys: filepath.Join(t.TempDir(), "keys")}
	_, err = keys.Initialise(dev.KeyPlan(cfg.Keys, &cfg))
	assert.NilError(t, err)
	s, err := dev.Start(ctx, cfg)
	assert.NilError(t, err)
	defer s.Stop(ctx)
	url := s.Operator(0).Base
	as := func(role keys.Role) []string {
		return []string{"--ca", keys.CertFile(cfg.Keys, keys.AuthorityRouters), "--cert", keys.CertFile(cfg.Keys, string(role)), "--key", keys.KeyFile(cfg.Keys, string(role))}
	}
	mustRun(t, url, append(as(keys.RoleRead), "status")...)
	assert.ErrorContains(t, runCommand(t, url, append(as(keys.RoleRead), "drain", m.Targets[0].Name)...).err, "needs the role operate")
	mustRun(t, url, append(as(keys.RoleOperate), "drain", m.Targets[0].Name)...)
	assert.Assert(t, strings.Contains(mustRun(t, url, append(as(keys.RoleRead), "events")...), "author=operator-operate"))
	assert.ErrorContains(t, runCommand(t, url, append(as(keys.RoleRead)[:2], "status")...).err, "needs a certificate")
	assert.ErrorContains(t, runCommand(t, url, "status").err, "certificate")
	assert.ErrorContains(t, runCommand(t, url, append(as(keys.RoleRead)[:4], "status")...).err, "belong together")
	assert.ErrorContains(t, runCommand(t, url, "--ca", filepath.Join(cfg.Keys, "none"), "status").err, "no such file")
}
