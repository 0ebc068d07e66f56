package config

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Setting defines one setting of a router process. The reference page, the sample file and
// the validation are all derived from these definitions.
type Setting struct {
	// Name is the setting's path in the file: table.field.
	Name string
	// Unit is the unit or type of the value.
	Unit Unit
	// Default is the default as text; empty if the setting is required or Optional.
	Default  string
	Optional bool
	// Min and Most bound the value, in the text form of the unit; empty if unbounded.
	Min string
	Max string
	// Effect says what the setting does.
	Effect string

	pointer func(*Router) any
}

// Unit is the unit or type of a setting's value.
type Unit string

// The units.
const (
	UnitName      Unit = "name"
	UnitAddress   Unit = "host:port"
	UnitURL       Unit = "URL"
	UnitURLs      Unit = "list of URLs"
	UnitDuration  Unit = "duration"
	UnitSize      Unit = "size"
	UnitCount     Unit = "count"
	UnitShare     Unit = "share from 0 to 1"
	UnitPerSecond Unit = "per second"
	UnitLevel     Unit = "debug, info, warn or error"
	UnitFile      Unit = "PEM file"
	UnitFiles     Unit = "table of service and PEM file"
	UnitBool      Unit = "true or false"
)

// Settings are the definitions of all settings of a router process.
var Settings = []Setting{
	{Name: "name", Unit: UnitName, Effect: "Name of the router; unique among all routers and stable over restarts.", pointer: func(r *Router) any { return &r.Name }},
	{Name: "data_centre", Unit: UnitName, Effect: "Data centre that the VM is in.", pointer: func(r *Router) any { return &r.DataCentre }},

	{Name: "listen.caller", Unit: UnitAddress, Default: "0.0.0.0:8080", Effect: "Address on which the router listens for callers.", pointer: func(r *Router) any { return &r.Listen.Caller }},
	{Name: "listen.operator", Unit: UnitAddress, Default: "127.0.0.1:8081", Effect: "Address of the operators' endpoint: changes, health, metrics, pprof.", pointer: func(r *Router) any { return &r.Listen.Operator }},
	{Name: "listen.peer", Unit: UnitAddress, Default: "0.0.0.0:8082", Effect: "Address on which the router listens for other routers.", pointer: func(r *Router) any { return &r.Listen.Peer }},
	{Name: "listen.peer_datagrams", Unit: UnitBool, Default: "true", Effect: "Send heartbeats to other routers as UDP datagrams where the network lets them pass; false sends them over sessions and listens on no UDP port.", pointer: func(r *Router) any { return &r.Listen.PeerDatagrams }},
	{Name: "listen.peer_advertised", Unit: UnitAddress, Optional: true, Effect: "Peer address that is given to other routers; listen.peer if not set. Needed if listen.peer is 0.0.0.0.", pointer: func(r *Router) any { return &r.Listen.PeerAdvertised }},

	{Name: "store.addresses", Unit: UnitURLs, Effect: "Addresses of the platform's key-value service, tried in turn.", pointer: func(r *Router) any { return &r.Store.Addresses }},
	{Name: "store.timeout", Unit: UnitDuration, Default: "500ms", Min: "10ms", Max: "30s", Effect: "Longest wait for one call to the store; a watch waits for timers.watch.", pointer: func(r *Router) any { return &r.Store.Timeout }},
	{Name: "store.calls_per_second", Unit: UnitPerSecond, Default: "100", Min: "1", Max: "10000", Effect: "Budget of store reads of this router, and four times its budget of writes; calls above it are refused locally.", pointer: func(r *Router) any { return &r.Store.CallsPerSecond }},
	{Name: "store.routers_per_relay", Unit: UnitCount, Default: "150", Min: "1", Max: "10000", Effect: "Number of routers of a data centre for which one of them reads the grantor records; with 1 each router reads them itself.", pointer: func(r *Router) any { return &r.Store.RoutersPerRelay }},

	{Name: "vms.address", Unit: UnitURL, Effect: "Address of the platform's list of VMs.", pointer: func(r *Router) any { return &r.VMs.Address }},
	{Name: "vms.every", Unit: UnitDuration, Default: "2s", Min: "100ms", Max: "5m", Effect: "Time between two reads of the list of VMs.", pointer: func(r *Router) any { return &r.VMs.Every }},

	{Name: "drain.limit", Unit: UnitDuration, Default: "30s", Min: "1s", Max: "1h", Effect: "Longest time that a graceful shutdown, or the move of a key, waits for requests in flight before it cuts them off.", pointer: func(r *Router) any { return &r.Drain.Limit }},
	{Name: "drain.not_ready", Unit: UnitDuration, Default: "1s", Min: "0s", Max: "5m", Effect: "Time between reporting not ready and refusing new work, so that the load balancer can notice.", pointer: func(r *Router) any { return &r.Drain.NotReady }},

	{Name: "timers.grant_renew", Unit: UnitDuration, Default: "80ms", Min: "10ms", Max: "10s", Effect: "Time between two renewals of a target's grants.", pointer: func(r *Router) any { return &r.Timers.GrantRenew }},
	{Name: "timers.grant_ttl", Unit: UnitDuration, Default: "320ms", Min: "50ms", Max: "1m", Effect: "Time to live of a grant; at least 3 times timers.grant_renew. The keys of a lost owner are not served until it has passed.", pointer: func(r *Router) any { return &r.Timers.GrantTTL }},
	{Name: "timers.probe", Unit: UnitDuration, Default: "500ms", Min: "50ms", Max: "1m", Effect: "Time between two health probes of a target.", pointer: func(r *Router) any { return &r.Timers.Probe }},
	{Name: "timers.watch", Unit: UnitDuration, Default: "2s", Min: "1s", Max: "10m", Effect: "Longest time that one watch call waits at the store.", pointer: func(r *Router) any { return &r.Timers.Watch }},
	{Name: "timers.rebalance", Unit: UnitDuration, Default: "1s", Min: "100ms", Max: "10m", Effect: "Time between two rounds of rebalancing.", pointer: func(r *Router) any { return &r.Timers.Rebalance }},
	{Name: "timers.dial", Unit: UnitDuration, Default: "250ms", Min: "5ms", Max: "30s", Effect: "Longest time for opening a connection to a target or router.", pointer: func(r *Router) any { return &r.Timers.Dial }},
	{Name: "timers.conn_age", Unit: UnitDuration, Default: "5m", Min: "1s", Max: "24h", Effect: "Age from which a connection to a target is closed as soon as it is idle.", pointer: func(r *Router) any { return &r.Timers.ConnAge }},
	{Name: "timers.conn_idle", Unit: UnitDuration, Default: "30s", Min: "100ms", Max: "1h", Effect: "Idle time after which a connection to a target is closed.", pointer: func(r *Router) any { return &r.Timers.ConnIdle }},

	{Name: "limits.header_size", Unit: UnitSize, Default: "64KiB", Min: "4KiB", Max: "1MiB", Effect: "Largest header of a request.", pointer: func(r *Router) any { return &r.Limits.HeaderSize }},
	{Name: "limits.in_flight", Unit: UnitCount, Default: "10000", Min: "1", Max: "1000000", Effect: "Largest number of callers' requests in flight; more are refused as not run.", pointer: func(r *Router) any { return &r.Limits.InFlight }},
	{Name: "limits.upload_rate", Unit: UnitSize, Default: "8KiB", Min: "1KiB", Max: "1MiB", Effect: "Lowest rate, per second, at which a request's body must arrive while other requests wait for the slot that it holds; slower requests are cut off. It does not apply while no request waits.", pointer: func(r *Router) any { return &r.Limits.UploadRate }},
	{Name: "limits.own_delay", Unit: UnitDuration, Default: "10ms", Min: "0s", Max: "1s", Effect: "Longest time that work may wait for this router's own processor before some of it is refused as not run: retries first, then batch work, then interactive work. 0 disables this.", pointer: func(r *Router) any { return &r.Limits.OwnDelay }},
	{Name: "limits.retry_share", Unit: UnitShare, Default: "0.1", Min: "0", Max: "1", Effect: "Retries as a share of answered requests. Without answers all routers together make at most one retry a second and twenty at once, or one for each router if there are more routers. 0 disables retries.", pointer: func(r *Router) any { return &r.Limits.RetryShare }},
	{Name: "limits.metric_callers", Unit: UnitCount, Default: "50", Min: "1", Max: "1000", Effect: "Number of callers with metrics of their own; all others are counted as one.", pointer: func(r *Router) any { return &r.Limits.MetricCallers }},
	{Name: "limits.journal_events", Unit: UnitCount, Default: "4096", Min: "16", Max: "1000000", Effect: "Number of events that the journal keeps in memory.", pointer: func(r *Router) any { return &r.Limits.JournalEvents }},
	{Name: "limits.mailbox", Unit: UnitCount, Default: "1024", Min: "16", Max: "65536", Effect: "Largest number of messages queued for one duty.", pointer: func(r *Router) any { return &r.Limits.Mailbox }},
	{Name: "limits.moves_per_minute", Unit: UnitCount, Default: "60", Min: "0", Max: "100000", Effect: "Largest number of units of keys that rebalancing moves per minute and service.", pointer: func(r *Router) any { return &r.Limits.MovesPerMinute }},

	{Name: "tls.reload_every", Unit: UnitDuration, Default: "10s", Min: "100ms", Max: "1h", Effect: "Time between two checks of the certificate files; a changed file takes effect without cutting connections, as it does at SIGHUP.", pointer: func(r *Router) any { return &r.TLS.ReloadEvery }},
	{Name: "tls.warn_before", Unit: UnitDuration, Default: "336h", Min: "1h", Max: "8760h", Effect: "Time before its expiry from which a certificate is reported, by an event and in the status.", pointer: func(r *Router) any { return &r.TLS.WarnBefore }},

	{Name: "tls.callers.cert", Unit: UnitFile, Optional: true, Effect: "Certificate, with its chain, of the callers' listener.", pointer: func(r *Router) any { return &r.TLS.Callers.Cert }},
	{Name: "tls.callers.key", Unit: UnitFile, Optional: true, Effect: "Its key; not readable by all users of the VM.", pointer: func(r *Router) any { return &r.TLS.Callers.Key }},
	{Name: "tls.callers.ca", Unit: UnitFile, Optional: true, Effect: "Authorities of callers' certificates; a caller that presents no certificate of theirs gets no connection. Callers need no certificate if not set.", pointer: func(r *Router) any { return &r.TLS.Callers.CA }},
	{Name: "tls.callers.crl", Unit: UnitFile, Optional: true, Effect: "Revocation lists of these authorities; a caller whose certificate is revoked is refused, on open connections too.", pointer: func(r *Router) any { return &r.TLS.Callers.CRL }},
	{Name: "tls.callers.plain_text", Unit: UnitBool, Default: "false", Effect: "Answer callers in plain text although listen.caller is not on loopback.", pointer: func(r *Router) any { return &r.TLS.Callers.PlainText }},

	{Name: "tls.operator.cert", Unit: UnitFile, Optional: true, Effect: "Certificate, with its chain, of the operators' listener.", pointer: func(r *Router) any { return &r.TLS.Operator.Cert }},
	{Name: "tls.operator.key", Unit: UnitFile, Optional: true, Effect: "Its key.", pointer: func(r *Router) any { return &r.TLS.Operator.Key }},
	{Name: "tls.operator.ca", Unit: UnitFile, Optional: true, Effect: "Authorities of the operators' certificates, whose organisational unit is the role: read, operate or administer.", pointer: func(r *Router) any { return &r.TLS.Operator.CA }},
	{Name: "tls.operator.crl", Unit: UnitFile, Optional: true, Effect: "Revocation lists of these authorities; an operator whose certificate is revoked is refused, on open connections too.", pointer: func(r *Router) any { return &r.TLS.Operator.CRL }},
	{Name: "tls.operator.plain_text", Unit: UnitBool, Default: "false", Effect: "Answer operators in plain text although listen.operator is not on loopback; calls from other machines may then only read.", pointer: func(r *Router) any { return &r.TLS.Operator.PlainText }},

	{Name: "tls.peers.cert", Unit: UnitFile, Optional: true, Effect: "Certificate that this router presents to other routers. It must have the router's name as a DNS name and the organisational unit router, and be valid for servers and clients.", pointer: func(r *Router) any { return &r.TLS.Peers.Cert }},
	{Name: "tls.peers.key", Unit: UnitFile, Optional: true, Effect: "Its key.", pointer: func(r *Router) any { return &r.TLS.Peers.Key }},
	{Name: "tls.peers.ca", Unit: UnitFile, Optional: true, Effect: "Authorities of the routers' certificates.", pointer: func(r *Router) any { return &r.TLS.Peers.CA }},
	{Name: "tls.peers.crl", Unit: UnitFile, Optional: true, Effect: "Revocation lists of these authorities; a router whose certificate is revoked is refused, and its open sessions end.", pointer: func(r *Router) any { return &r.TLS.Peers.CRL }},
	{Name: "tls.peers.plain_text", Unit: UnitBool, Default: "false", Effect: "Communicate with other routers in plain text although listen.peer is not on loopback; anyone who can reach it can then pose as a router.", pointer: func(r *Router) any { return &r.TLS.Peers.PlainText }},

	{Name: "tls.targets.ca", Unit: UnitFile, Optional: true, Effect: "Authorities of the targets' certificates, which must be valid for the target's name; targets are reached over TLS if it is set.", pointer: func(r *Router) any { return &r.TLS.Targets.CA }},
	{Name: "tls.targets.service_ca", Unit: UnitFiles, Optional: true, Effect: "Authorities for the targets of single services, instead of tls.targets.ca.", pointer: func(r *Router) any { return &r.TLS.Targets.ServiceCA }},
	{Name: "tls.targets.crl", Unit: UnitFile, Optional: true, Effect: "Revocation lists of the authorities in tls.targets.ca; a target whose certificate is revoked gets no work.", pointer: func(r *Router) any { return &r.TLS.Targets.CRL }},
	{Name: "tls.targets.service_crl", Unit: UnitFiles, Optional: true, Effect: "Revocation lists of the authorities in tls.targets.service_ca, by service.", pointer: func(r *Router) any { return &r.TLS.Targets.ServiceCRL }},
	{Name: "tls.targets.cert", Unit: UnitFile, Optional: true, Effect: "Certificate that is presented to targets that ask for one.", pointer: func(r *Router) any { return &r.TLS.Targets.Cert }},
	{Name: "tls.targets.key", Unit: UnitFile, Optional: true, Effect: "Its key.", pointer: func(r *Router) any { return &r.TLS.Targets.Key }},
	{Name: "tls.targets.plain_text", Unit: UnitBool, Default: "false", Effect: "Connect in plain text to targets for which no authority is named, although they are not on loopback; without this setting they get no work.", pointer: func(r *Router) any { return &r.TLS.Targets.PlainText }},

	{Name: "tls.platform.ca", Unit: UnitFile, Optional: true, Effect: "Authorities of the platform's certificate if its URLs are https; those of the operating system if not set.", pointer: func(r *Router) any { return &r.TLS.Platform.CA }},

	{Name: "log.level", Unit: UnitLevel, Default: "info", Effect: "Lowest level that is logged.", pointer: func(r *Router) any { return &r.Log.Level }},
}

func settingByName(name string) *Setting {
	for i := range Settings {
		if Settings[i].Name == name {
			return &Settings[i]
		}
	}
	return nil
}

// settingsUnder returns the names of a table's fields and subtables, without duplicates.
func settingsUnder(table string) []string {
	var names []string
	for i := range Settings {
		rest := Settings[i].Name
		if table != "" {
			suffix, found := strings.CutPrefix(rest, table+".")
			if !found {
				continue
			}
			rest = suffix
		}
		name, _, _ := strings.Cut(rest, ".")
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func sortedKeys(table map[string]any) []string { return slices.Sorted(maps.Keys(table)) }

// parse sets the setting in r from its text form.
func (s *Setting) parse(text string, r *Router) error {
	var err error
	switch into := s.pointer(r).(type) {
	case *string:
		*into = text
	case *[]string:
		*into = strings.Split(text, ",")
	case *time.Duration:
		*into, err = time.ParseDuration(text)
	case *Size:
		*into, err = ParseSize(text)
	case *int:
		*into, err = strconv.Atoi(text)
	case *float64:
		*into, err = strconv.ParseFloat(text, 64)
	case *bool:
		*into, err = strconv.ParseBool(text)
	default:
		panic(fmt.Sprintf("config: no parser for type %T", into))
	}
	return err
}

// check describes the error in a value and how to correct it; both are empty if it is valid.
func (s *Setting) check(value any) (text, mend string) {
	switch value := value.(type) {
	case *string:
		return s.checkText(*value)
	case *[]string:
		return s.checkURLs(*value)
	case *map[string]string:
		return checkServiceFiles(*value)
	case *time.Duration:
		return checkBounds(s, *value, time.ParseDuration)
	case *Size:
		return checkBounds(s, *value, ParseSize)
	case *int:
		return checkBounds(s, *value, strconv.Atoi)
	case *float64:
		if math.IsNaN(*value) {
			return "it is not a number", s.boundsHint()
		}
		return checkBounds(s, *value, func(t string) (float64, error) { return strconv.ParseFloat(t, 64) })
	}
	return "", ""
}

func checkBounds[T cmp.Ordered](s *Setting, value T, parse func(string) (T, error)) (text, mend string) {
	lower, lowerErr := parse(s.Min)
	upper, upperErr := parse(s.Max)
	if lowerErr == nil && value < lower || upperErr == nil && value > upper {
		return fmt.Sprintf("%v is not allowed", value), s.boundsHint()
	}
	return "", ""
}

func (s *Setting) boundsHint() string { return fmt.Sprintf("use %s to %s", s.Min, s.Max) }

func (s *Setting) checkText(value string) (text, mend string) {
	switch s.Unit {
	case UnitName:
		return checkName(value), "use lower-case letters, digits and hyphens, at most 63"
	case UnitAddress:
		return checkAddress(value, s.Name != "listen.peer_advertised"), "write an IP number and a port, for instance 127.0.0.1:8080"
	case UnitURL:
		return checkURL(value), "write a URL, for instance http://127.0.0.1:9000"
	case UnitFile:
		return checkFile(value), "name a file"
	case UnitLevel:
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, value) {
			return fmt.Sprintf("%q is not a level", value), "use " + string(UnitLevel)
		}
	}
	return "", ""
}

func (s *Setting) checkURLs(urls []string) (text, mend string) {
	if len(urls) == 0 {
		return "the list is empty", "name at least one URL"
	}
	for _, url := range urls {
		if text := checkURL(url); text != "" {
			return text, "write a URL, for instance http://127.0.0.1:9000"
		}
	}
	return "", ""
}
