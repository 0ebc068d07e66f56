package config

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"tarragongw/core/model"
)

// TLS holds the files of the certificates, keys and authorities of the process. A listener or
// connection without them uses plain text; other than on loopback it needs PlainText for this.
type TLS struct {
	ReloadEvery time.Duration
	WarnBefore  time.Duration
	Callers     CallersTLS
	Operator    MutualTLS
	Peers       MutualTLS
	Targets     TargetsTLS
	Platform    PlatformTLS
}

// CertFiles are a certificate with its chain, and its key.
type CertFiles struct {
	Cert string
	Key  string
}

// CallersTLS is for the callers' listener.
type CallersTLS struct {
	CertFiles
	// CA is the file of the authorities of callers' certificates; if empty, callers need no
	// certificate. CRL is the file of their revocation lists.
	CA        string
	CRL       string
	PlainText bool
}

// MutualTLS is for a listener whose clients must present a certificate of an authority in CA.
type MutualTLS struct {
	CertFiles
	CA string
	// CRL is the file of the revocation lists of the authorities in CA.
	CRL       string
	PlainText bool
}

// TargetsTLS is for the connections to targets.
type TargetsTLS struct {
	CertFiles
	CA string
	// ServiceCA holds, by service, the file of authorities to use instead of CA.
	ServiceCA map[string]string
	// CRL is the file of the revocation lists of the authorities in CA, and ServiceCRL holds,
	// by service, that of the authorities in ServiceCA.
	CRL        string
	ServiceCRL map[string]string
	PlainText  bool
}

// PlatformTLS is for the connections to the platform.
type PlatformTLS struct{ CA string }

// IsLoopback reports whether the address, host:port, can be reached only from the VM itself.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	return host == "localhost" || net.ParseIP(host).IsLoopback()
}

// checkTLSRelations checks that settings that need each other are set together, and that none
// contradict each other.
func (d *routerReader) checkTLSRelations() {
	t := &d.router.TLS
	d.checkTogether("tls.callers", "cert", "key")
	d.checkTogether("tls.operator", "cert", "key", "ca")
	d.checkTogether("tls.peers", "cert", "key", "ca")
	d.checkTogether("tls.targets", "cert", "key")
	d.checkNotBoth("tls.callers", t.Callers.Cert, t.Callers.PlainText)
	d.checkNotBoth("tls.operator", t.Operator.Cert, t.Operator.PlainText)
	d.checkNotBoth("tls.peers", t.Peers.Cert, t.Peers.PlainText)
	d.checkNotBoth("tls.targets", t.Targets.CA, t.Targets.PlainText)
	d.checkAuthority("tls.callers.crl", t.Callers.CRL, t.Callers.CA)
	if t.Callers.CA != "" && t.Callers.Cert == "" {
		d.fail("tls.callers.ca", "name tls.callers.cert and tls.callers.key as well", "tls.callers.ca is not enough for TLS")
	}
	d.checkAuthority("tls.operator.crl", t.Operator.CRL, t.Operator.CA)
	d.checkAuthority("tls.peers.crl", t.Peers.CRL, t.Peers.CA)
	d.checkAuthority("tls.targets.crl", t.Targets.CRL, t.Targets.CA)
	for _, service := range slices.Sorted(maps.Keys(t.Targets.ServiceCRL)) {
		d.checkAuthority("tls.targets.service_crl", t.Targets.ServiceCRL[service], t.Targets.ServiceCA[service])
	}
	if t.Targets.Cert != "" && t.Targets.CA == "" && len(t.Targets.ServiceCA) == 0 {
		d.fail("tls.targets.cert", "name tls.targets.ca", "tls.targets.cert has no effect without an authority for the targets")
	}
}

// checkTogether checks that either all or none of the fields of a table are set.
func (d *routerReader) checkTogether(table string, fields ...string) {
	var given, missing []string
	for _, field := range fields {
		if name := table + "." + field; d.given[name] {
			given = append(given, name)
		} else {
			missing = append(missing, name)
		}
	}
	if len(given) > 0 && len(missing) > 0 {
		d.fail(given[0], "name "+strings.Join(missing, " and ")+" as well", "%s is not enough for TLS", strings.Join(given, " and "))
	}
}

// checkAuthority checks that revocation lists are set only together with the authorities that
// sign them.
func (d *routerReader) checkAuthority(name, list, authority string) {
	if list != "" && authority == "" {
		mend := strings.Replace(name, "crl", "ca", 1)
		d.fail(name, "name "+mend+" as well", "%s names revocation lists, and %s no authority that signs them", name, mend)
	}
}

// checkNotBoth checks that plain_text is not set together with a file of the same table.
func (d *routerReader) checkNotBoth(table, file string, plain bool) {
	if file != "" && plain {
		d.fail(table+".plain_text", "remove it, or the files", "%s.plain_text contradicts the files of %s", table, table)
	}
}

// checkFile describes the error in a file's name; empty if it is valid.
func checkFile(name string) string {
	if strings.TrimSpace(name) == "" {
		return "the name is empty"
	}
	return ""
}

// checkServiceFiles describes the error in a table of files by service and how to correct it;
// both are empty if it is valid.
func checkServiceFiles(files map[string]string) (text, mend string) {
	for _, service := range slices.Sorted(maps.Keys(files)) {
		if !model.IsName(service) {
			return fmt.Sprintf("%q is not a service's name", service), "write { service = \"file\" }"
		}
		if text := checkFile(files[service]); text != "" {
			return fmt.Sprintf("%s: %s", service, text), "name a file"
		}
	}
	return "", ""
}
