package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseTLS(t *testing.T) {
	r, err := ParseRouter(File{"r.toml", []byte(requiredSettings + `
[tls.operator]
cert = "o.crt"
key = "o.key"
ca = "o-ca.crt"
[tls.peers]
plain_text = true
[tls.targets.service_ca]
ledger-svc = "l.crt"
`)})
	assert.NilError(t, err)
	assert.DeepEqual(t, r.TLS.Operator, MutualTLS{CertFiles: CertFiles{"o.crt", "o.key"}, CA: "o-ca.crt"})
	assert.Assert(t, r.TLS.Peers.PlainText)
	assert.DeepEqual(t, r.TLS.Targets.ServiceCA, map[string]string{"ledger-svc": "l.crt"})
}

func TestParseTLSErrors(t *testing.T) {
	_, err := ParseRouter(File{"r.toml", []byte(requiredSettings + `[tls.callers]
cert = "c.crt"
plain_text = true
[tls.operator]
cert = "o.crt"
key = "o.key"
[tls.peers]
plain_text = "yes"
ca = " "
[tls.targets]
cert = "t.crt"
key = "t.key"
service_ca = "one"
crl = "t.crl"
[tls.platform]
cert = "x"
`)})
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, strings.Split(err.Error(), "\n"), []string{
		`r.toml:6:8: tls.callers.cert is not enough for TLS; name tls.callers.key as well`,
		`r.toml:7:14: tls.callers.plain_text contradicts the files of tls.callers; remove it, or the files`,
		`r.toml:9:8: tls.operator.cert and tls.operator.key is not enough for TLS; name tls.operator.ca as well`,
		`r.toml:12:14: tls.peers.plain_text is a string, not a boolean; use true or false`,
		`r.toml:13:6: tls.peers.ca: the name is empty; name a file`,
		`r.toml:13:6: tls.peers.ca is not enough for TLS; name tls.peers.cert and tls.peers.key as well`,
		`r.toml:15:8: tls.targets.cert has no effect without an authority for the targets; name tls.targets.ca`,
		`r.toml:17:14: tls.targets.service_ca is a string, not a table; write a table: { name = "text" }`,
		`r.toml:18:7: tls.targets.crl names revocation lists, and tls.targets.ca no authority that signs them; name tls.targets.ca as well`,
		`r.toml:20:1: unknown field "cert"; remove it`,
	})
}

func TestIsLoopback(t *testing.T) {
	for address, want := range map[string]bool{
		"127.0.0.1:80": true, "127.9.9.9:0": true, "[::1]:80": true, "localhost:80": true,
		"0.0.0.0:80": false, ":80": false, "[::]:80": false, "10.0.0.1:80": false, "[::ffff:10.0.0.1]:80": false, "nothing": false,
	} {
		assert.Equal(t, IsLoopback(address), want, address)
	}
}
