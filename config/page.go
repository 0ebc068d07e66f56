package config

import (
	"fmt"
	"strings"
)

// Page returns the generated tables of docs/CONFIGURATION.md: the settings of a router
// process and the fields of the model.
func Page() string {
	var b strings.Builder
	b.WriteString("### Settings of a router process\n\n")
	settingsTable(&b)
	b.WriteString("\n### Fields of the model\n")
	fieldsTable(&b, "`[[service]]`", serviceFields)
	fieldsTable(&b, "A rule: `key`, `caller`, `class`, `deadline` and `repeatable` of a service", extractFields)
	fieldsTable(&b, "`isolation` of a service", isolationFields)
	fieldsTable(&b, "`weights` of a service", weightsFields)
	fieldsTable(&b, "`[[target]]`", targetFields)
	fieldsTable(&b, "`grants` of a target", grantsFields)
	fieldsTable(&b, "`[[range]]`", rangeFields)
	fieldsTable(&b, "`[[caller]]`", callerFields)
	fieldsTable(&b, "`[[selector]]`", selectorFields)
	return b.String()
}

func settingsTable(b *strings.Builder) {
	b.WriteString("| setting | unit | default | allowed | effect |\n|---|---|---|---|---|\n")
	for i := range Settings {
		s := &Settings[i]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.Unit, s.defaultText(), s.allowedText(), s.Effect)
	}
}

func (s *Setting) defaultText() string {
	if s.Default != "" {
		return "`" + s.Default + "`"
	}
	if s.Optional {
		return ""
	}
	return "must be given"
}

func (s *Setting) allowedText() string {
	if s.Min == "" {
		return ""
	}
	return "`" + s.Min + "` to `" + s.Max + "`"
}

func fieldsTable[T any](b *strings.Builder, title string, fields []field[T]) {
	fmt.Fprintf(b, "\n#### %s\n\n| field | unit | default | effect |\n|---|---|---|---|\n", title)
	for _, f := range fields {
		def := ""
		if f.def != "" {
			def = "`" + f.def + "`"
		}
		if f.required {
			def = "must be given"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.name, f.unit, def, f.effect)
	}
}

// Sample returns a sample settings file of a router process that lists every setting with its
// effect. Required settings have a placeholder value. All others are commented out, with their
// default, or a placeholder value if they have none.
func Sample() string {
	var b strings.Builder
	b.WriteString("# Settings of a router process. Lines that are commented out show the defaults.\n")
	table := ""
	for i := range Settings {
		s := &Settings[i]
		name := s.Name
		if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
			if parent := name[:dot]; parent != table {
				fmt.Fprintf(&b, "\n[%s]\n", parent)
				table = parent
			}
			name = name[dot+1:]
		}
		fmt.Fprintf(&b, "\n# %s\n", s.Effect)
		if s.Min != "" {
			fmt.Fprintf(&b, "# Unit: %s; %s to %s.\n", s.Unit, s.Min, s.Max)
		}
		fmt.Fprintf(&b, "%s%s = %s\n", s.commentPrefix(), name, s.sampleValue())
	}
	return b.String()
}

func (s *Setting) commentPrefix() string {
	if s.Default == "" && !s.Optional {
		return ""
	}
	return "# "
}

// placeholders are the sample values of settings without a default.
var placeholders = map[string]string{
	"name":                    "router-1",
	"data_centre":             "centre-1",
	"listen.peer_advertised":  "127.0.0.1:8082",
	"store.addresses":         "http://127.0.0.1:9000",
	"vms.address":             "http://127.0.0.1:9000",
	"tls.callers.cert":        "/etc/tarragongw/callers.crt",
	"tls.callers.key":         "/etc/tarragongw/callers.key",
	"tls.callers.ca":          "/etc/tarragongw/callers-ca.crt",
	"tls.callers.crl":         "/etc/tarragongw/callers-ca.crl",
	"tls.operator.cert":       "/etc/tarragongw/router-1.crt",
	"tls.operator.key":        "/etc/tarragongw/router-1.key",
	"tls.operator.ca":         "/etc/tarragongw/operators-ca.crt",
	"tls.operator.crl":        "/etc/tarragongw/operators-ca.crl",
	"tls.peers.cert":          "/etc/tarragongw/router-1.crt",
	"tls.peers.key":           "/etc/tarragongw/router-1.key",
	"tls.peers.ca":            "/etc/tarragongw/routers-ca.crt",
	"tls.peers.crl":           "/etc/tarragongw/routers-ca.crl",
	"tls.targets.ca":          "/etc/tarragongw/targets-ca.crt",
	"tls.targets.service_ca":  "/etc/tarragongw/ledger-ca.crt",
	"tls.targets.crl":         "/etc/tarragongw/targets-ca.crl",
	"tls.targets.service_crl": "/etc/tarragongw/ledger-ca.crl",
	"tls.targets.cert":        "/etc/tarragongw/router-1.crt",
	"tls.targets.key":         "/etc/tarragongw/router-1.key",
	"tls.platform.ca":         "/etc/tarragongw/platform-ca.crt",
}

// sampleService is the service name in the sample's tables by service.
const sampleService = "ledger-svc"

func (s *Setting) sampleValue() string {
	value := s.Default
	if value == "" {
		value = placeholders[s.Name]
	}
	switch s.Unit {
	case UnitCount, UnitShare, UnitPerSecond, UnitBool:
		return value
	case UnitFiles:
		return fmt.Sprintf("{ %s = %q }", sampleService, value)
	case UnitURLs:
		return fmt.Sprintf("[%q]", value)
	}
	return fmt.Sprintf("%q", value)
}
