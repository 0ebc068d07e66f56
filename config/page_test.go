package config

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	pageFile   = "../docs/CONFIGURATION.md"
	sampleFile = "../examples/router.toml"
	beginMark  = "<!-- generated:begin -->\n"
	endMark    = "<!-- generated:end -->\n"
)

// go test ./config -run Generated -update rewrites the generated files.
func TestGeneratedPageIsCurrent(t *testing.T) {
	data, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	head, rest, found := strings.Cut(string(data), beginMark)
	assert.Assert(t, found, "%s lacks the mark %s", pageFile, beginMark)
	have, tail, found := strings.Cut(rest, endMark)
	assert.Assert(t, found, "%s lacks the mark %s", pageFile, endMark)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pageFile, []byte(head+beginMark+Page()+endMark+tail), 0o644))
		return
	}
	assert.Equal(t, have, Page())
}

func TestGeneratedSampleIsCurrent(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(sampleFile, []byte(Sample()), 0o644))
		return
	}
	data, err := os.ReadFile(sampleFile)
	assert.NilError(t, err)
	assert.Equal(t, string(data), Sample())
}

// The sample gives the defaults, and it is still valid with all settings uncommented: its
// names and defaults are those of the code.
func TestSampleIsValid(t *testing.T) {
	have, err := ParseRouter(File{"sample.toml", []byte(Sample())})
	assert.NilError(t, err)
	want := Defaults()
	want.Name, want.DataCentre = "router-1", "centre-1"
	want.Store.Addresses = []string{"http://127.0.0.1:9000"}
	want.VMs.Address = "http://127.0.0.1:9000"
	assert.DeepEqual(t, *have, want)

	var uncommented []string
	for line := range strings.Lines(Sample()) {
		if rest, found := strings.CutPrefix(line, "# "); found && strings.Contains(rest, " = ") {
			line = rest
		}
		uncommented = append(uncommented, line)
	}
	have, err = ParseRouter(File{"uncommented.toml", []byte(strings.Join(uncommented, ""))})
	assert.NilError(t, err)
	want.Listen.PeerAdvertised = "127.0.0.1:8082"
	own := CertFiles{Cert: "/etc/tarragongw/router-1.crt", Key: "/etc/tarragongw/router-1.key"}
	want.TLS.Callers = CallersTLS{
		CertFiles: CertFiles{Cert: "/etc/tarragongw/callers.crt", Key: "/etc/tarragongw/callers.key"},
		CA:        "/etc/tarragongw/callers-ca.crt", CRL: "/etc/tarragongw/callers-ca.crl",
	}
	want.TLS.Operator = MutualTLS{CertFiles: own, CA: "/etc/tarragongw/operators-ca.crt", CRL: "/etc/tarragongw/operators-ca.crl"}
	want.TLS.Peers = MutualTLS{CertFiles: own, CA: "/etc/tarragongw/routers-ca.crt", CRL: "/etc/tarragongw/routers-ca.crl"}
	want.TLS.Targets = TargetsTLS{
		CertFiles: own, CA: "/etc/tarragongw/targets-ca.crt", CRL: "/etc/tarragongw/targets-ca.crl",
		ServiceCA: map[string]string{"ledger-svc": "/etc/tarragongw/ledger-ca.crt"}, ServiceCRL: map[string]string{"ledger-svc": "/etc/tarragongw/ledger-ca.crl"},
	}
	want.TLS.Platform.CA = "/etc/tarragongw/platform-ca.crt"
	assert.DeepEqual(t, *have, want)
}

// Every definition has a unit and an effect, and its default is within its bounds.
func TestSettingsAreComplete(t *testing.T) {
	r := Defaults()
	for i := range Settings {
		s := &Settings[i]
		assert.Assert(t, s.Unit != "" && strings.HasSuffix(s.Effect, "."), s.Name)
		if s.Default != "" {
			text, _ := s.check(s.pointer(&r))
			assert.Equal(t, text, "", s.Name)
		}
	}
}
