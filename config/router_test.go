package config

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const requiredSettings = `name = "r1"
data_centre = "dc1"
store.addresses = ["http://127.0.0.1:9000"]
vms.address = "http://127.0.0.1:9000"
`

func TestParseRouter(t *testing.T) {
	r, err := ParseRouter(File{"r.toml", []byte(requiredSettings + `
[timers]
grant_ttl = "1s"
[limits]
header_size = "32KiB"
retry_share = 0
[listen]
caller = "127.0.0.1:0"
operator = "127.0.0.1:0"
`)})
	assert.NilError(t, err)
	want := Defaults()
	want.Name, want.DataCentre = "r1", "dc1"
	want.Store.Addresses = []string{"http://127.0.0.1:9000"}
	want.VMs.Address = "http://127.0.0.1:9000"
	want.Timers.GrantTTL = time.Second
	want.Limits.HeaderSize = 32 << 10
	want.Limits.RetryShare = 0
	want.Listen.Caller, want.Listen.Operator = "127.0.0.1:0", "127.0.0.1:0"
	assert.DeepEqual(t, *r, want)
}

func TestParseRouterErrors(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{
			"r.toml:1:1: the setting name is missing; add name = ...",
			"r.toml:1:1: the setting data_centre is missing; add data_centre = ...",
			"r.toml:1:1: the setting store.addresses is missing; add store.addresses = ...",
			"r.toml:1:1: the setting vms.address is missing; add vms.address = ...",
		}},
		{"unknown fields and tables", requiredSettings + "nam = \"x\"\n[timer]\nprobe = \"1s\"\n[drain]\nlimits = \"1s\"\nfoobar = 1\n", []string{
			`r.toml:5:1: unknown field "nam"; did you mean "name"?`,
			`r.toml:6:2: unknown field "timer"; did you mean "timers"?`,
			`r.toml:9:1: unknown field "limits"; did you mean "limit"?`,
			`r.toml:10:1: unknown field "foobar"; remove it`,
		}},
		{"types and units", requiredSettings + `[drain]
limit = 30
[limits]
header_size = "64 kb"
in_flight = "many"
retry_share = true
mailbox = 1.5
[timers]
probe = "1 parsec"
[log]
level = 3
`, []string{
			`r.toml:6:9: drain.limit is an integer, not a duration; write a number with its unit in quotes, for instance "250ms", "2s" or "1m"`,
			`r.toml:8:15: "64 kb" is not a size; write a number with its unit in quotes, for instance "64KiB" or "1MiB"`,
			`r.toml:9:13: limits.in_flight is a string, not an integer; write a whole number without quotes and unit`,
			`r.toml:10:15: limits.retry_share is a boolean, not a number; write a number without quotes and unit`,
			`r.toml:11:11: limits.mailbox is a number, not an integer; write a whole number without quotes and unit`,
			`r.toml:13:9: "1 parsec" is not a duration; write a number with its unit in quotes, for instance "250ms", "2s" or "1m"`,
			`r.toml:15:9: log.level is an integer, not a string; write it in quotes`,
		}},
		{"values", strings.Replace(requiredSettings, `"r1"`, `"R 1"`, 1) + `listen.caller = "here:80"
listen.operator = "127.0.0.1"
listen.peer = "127.0.0.1:http"
listen.peer_advertised = "127.0.0.1:0"
timers.dial = "1h"
limits.retry_share = 1.5
limits.header_size = "2MiB"
limits.in_flight = 0
log.level = "loud"
`, []string{
			`r.toml:1:8: name: "R 1" is not a name; use lower-case letters, digits and hyphens, at most 63`,
			`r.toml:5:17: listen.caller: "here" is not an IP number; write an IP number and a port, for instance 127.0.0.1:8080`,
			`r.toml:6:19: listen.operator: "127.0.0.1" is not host:port; write an IP number and a port, for instance 127.0.0.1:8080`,
			`r.toml:7:15: listen.peer: "http" is not a port; write an IP number and a port, for instance 127.0.0.1:8080`,
			`r.toml:8:26: listen.peer_advertised: "0" is not a port; write an IP number and a port, for instance 127.0.0.1:8080`,
			`r.toml:9:15: timers.dial: 1h0m0s is not allowed; use 5ms to 30s`,
			`r.toml:10:22: limits.retry_share: 1.5 is not allowed; use 0 to 1`,
			`r.toml:11:22: limits.header_size: 2MiB is not allowed; use 4KiB to 1MiB`,
			`r.toml:12:20: limits.in_flight: 0 is not allowed; use 1 to 1000000`,
			`r.toml:13:13: log.level: "loud" is not a level; use debug, info, warn or error`,
		}},
		{"not a number", requiredSettings + "limits.retry_share = nan\n", []string{
			`r.toml:5:22: limits.retry_share: it is not a number; use 0 to 1`,
		}},
		{"lists", strings.Replace(requiredSettings, `["http://127.0.0.1:9000"]`, `["127.0.0.1:9000", 5]`, 1), []string{
			`r.toml:3:38: store.addresses[1] is an integer, not a string; write it in quotes`,
		}},
		{"relations", requiredSettings + `listen.caller = "127.0.0.1:80"
listen.peer = "127.0.0.1:80"
timers.grant_ttl = "200ms"
drain.limit = "2s"
drain.not_ready = "3s"
`, []string{
			"r.toml:6:15: listen.peer is the same as listen.caller; give each listener an address of its own",
			"r.toml:7:20: timers.grant_ttl is 200ms, below 3 times timers.grant_renew (80ms); use at least 240ms, or lower timers.grant_renew",
			"r.toml:8:15: drain.limit is 2s, below 1 times drain.not_ready (3s); use at least 3s, or lower drain.not_ready",
		}},
		{"syntax", requiredSettings + "listen.caller = 127.0.0.1:80\n[limits]\nin_flight = 0\nmailbox = \"64\nbad\n", []string{
			"r.toml:5:22: expected newline but got U+002E '.'; correct the TOML",
			"r.toml:7:13: limits.in_flight: 0 is not allowed; use 1 to 1000000",
			"r.toml:8:14: basic strings cannot have new lines; correct the TOML",
			"r.toml:9:4: expected '=' after key; correct the TOML",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseRouter(File{"r.toml", []byte(tt.text)})
			assert.Assert(t, err != nil)
			assert.DeepEqual(t, strings.Split(err.Error(), "\n"), tt.want)
		})
	}
}

func FuzzParseRouter(f *testing.F) {
	f.Add([]byte(Sample()))
	f.Add([]byte(requiredSettings + "timers.probe = \"1s\"\n[limits]\n\"in_flight\" = 3\n"))
	f.Add([]byte("[[name]]\n[a.b]\nc = [{d = 1}, 2]\n= \nx = 'y\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseRouter(File{"r.toml", data})
		if (r == nil) != (err != nil) {
			t.Fatalf("settings %v, error %v", r, err)
		}
		if err == nil && (r.Name == "" || r.Timers.GrantTTL < 3*r.Timers.GrantRenew) {
			t.Fatalf("accepted: %+v", r)
		}
	})
}
