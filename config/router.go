package config

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"tarragongw/core/model"
)

// Router is the settings of one router process. The definitions in Settings give
// the unit, the default, the bounds and the effect of each field.
type Router struct {
	Name       string
	DataCentre string
	Listen     Listen
	Store      Store
	VMs        VMs
	Drain      Drain
	Timers     Timers
	Limits     Limits
	TLS        TLS
	Log        Log
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Caller   string
	Operator string
	Peer     string
	// PeerDatagrams enables heartbeats between routers over UDP where the network lets it
	// pass.
	PeerDatagrams bool
	// PeerAdvertised is the peer address that is given to other routers; Peer if empty.
	PeerAdvertised string
}

// Store holds the addresses of the platform's key-value service and the limits of calls to it.
type Store struct {
	Addresses      []string
	Timeout        time.Duration
	CallsPerSecond float64
	// RoutersPerRelay is the number of routers of a data centre for which one of them
	// reads the grantor records.
	RoutersPerRelay int
}

// VMs holds the address of the platform's list of VMs and how often it is read.
type VMs struct {
	Address string
	Every   time.Duration
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	Limit    time.Duration
	NotReady time.Duration
}

// Timers are the intervals of the control protocols.
type Timers struct {
	GrantRenew time.Duration
	GrantTTL   time.Duration
	Probe      time.Duration
	Watch      time.Duration
	Rebalance  time.Duration
	Dial       time.Duration
	ConnAge    time.Duration
	ConnIdle   time.Duration
}

// Limits bound the resources that the process uses and the work that it does.
type Limits struct {
	HeaderSize     Size
	InFlight       int
	UploadRate     Size
	OwnDelay       time.Duration
	RetryShare     float64
	MetricCallers  int
	JournalEvents  int
	Mailbox        int
	MovesPerMinute int
}

// Log holds the settings of the log.
type Log struct{ Level string }

// Defaults returns the settings with their defaults; settings without a default are empty.
func Defaults() Router {
	var r Router
	for i := range Settings {
		s := &Settings[i]
		if s.Default == "" {
			continue
		}
		if err := s.parse(s.Default, &r); err != nil {
			panic(fmt.Sprintf("config: default of %s: %v", s.Name, err))
		}
	}
	return r
}

// LoadRouter reads the settings of a router process from a TOML file. The error
// is of type Errors and holds all errors of the file.
func LoadRouter(path string) (*Router, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Errors{{Text: err.Error(), Fix: "name a readable TOML file"}}
	}
	return ParseRouter(File{path, data})
}

// ParseRouter reads the settings of a router process from the content of a file.
func ParseRouter(file File) (*Router, error) {
	doc := parse(file.Name, file.Data)
	r := Defaults()
	d := &routerReader{decoder{doc}, &r, make(map[string]bool)}
	d.table("", doc.root)
	if !doc.incomplete {
		d.checkRequired()
		d.checkRelations()
	}
	if err := doc.errors.orNil(); err != nil {
		return nil, err
	}
	return &r, nil
}

// routerReader decodes a document into settings; given holds the names of the settings that
// the document sets.
type routerReader struct {
	decoder
	router *Router
	given  map[string]bool
}

func (d *routerReader) table(path string, table map[string]any) {
	known := settingsUnder(path)
	for _, key := range sortedKeys(table) {
		full := join(path, key)
		if s := settingByName(full); s != nil {
			d.setting(s, table[key])
			continue
		}
		subtable, ok := table[key].(map[string]any)
		if !ok || len(settingsUnder(full)) == 0 {
			d.unknownField(full, key, known)
			continue
		}
		d.table(full, subtable)
	}
}

func (d *routerReader) setting(s *Setting, raw any) {
	d.given[s.Name] = true
	before := len(d.doc.errors)
	d.decode(s.Name, raw, s.pointer(d.router))
	if len(d.doc.errors) > before {
		return
	}
	if text, mend := s.check(s.pointer(d.router)); text != "" {
		d.fail(s.Name, mend, "%s: %s", s.Name, text)
	}
}

func (d *routerReader) checkRequired() {
	for i := range Settings {
		if s := &Settings[i]; s.Default == "" && !s.Optional && !d.given[s.Name] {
			d.add(position{1, 1}, fmt.Sprintf("add %s = ...", s.Name), "the setting %s is missing", s.Name)
		}
	}
}

// checkRelations checks constraints between settings.
func (d *routerReader) checkRelations() {
	t := &d.router.Timers
	d.checkAtLeast("timers.grant_ttl", t.GrantTTL, "timers.grant_renew", t.GrantRenew, minRenewalsPerTTL)
	d.checkAtLeast("drain.limit", d.router.Drain.Limit, "drain.not_ready", d.router.Drain.NotReady, 1)
	l := &d.router.Listen
	d.checkTLSRelations()
	addresses := []struct{ name, address string }{{"listen.caller", l.Caller}, {"listen.operator", l.Operator}, {"listen.peer", l.Peer}}
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if a.address == b.address && !strings.HasSuffix(a.address, ":0") {
				d.fail(a.name, "give each listener an address of its own", "%s is the same as %s", a.name, b.name)
			}
		}
	}
}

// minRenewalsPerTTL is the number of renewal intervals that must fit into a grant's TTL, so
// that a target keeps its keys when two renewals are lost.
const minRenewalsPerTTL = 3

func (d *routerReader) checkAtLeast(name string, have time.Duration, other string, base time.Duration, factor int) {
	if least := base * time.Duration(factor); have < least {
		d.fail(name, fmt.Sprintf("use at least %v, or lower %s", least, other), "%s is %v, below %d times %s (%v)", name, have, factor, other, base)
	}
}

// checkAddress describes the error in a host:port address; empty if it is valid.
func checkAddress(address string, portZero bool) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !portZero {
		return fmt.Sprintf("%q is not a port", port)
	}
	if host != "" && host != "localhost" && net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP number", host)
	}
	return ""
}

// checkURL describes the error in an address of the platform; empty if it is valid.
func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Sprintf("%q is not an http or https URL", text)
	}
	return ""
}

// checkName describes the error in the name of a router or data centre; empty if it is valid.
func checkName(name string) string {
	if !model.IsName(name) {
		return fmt.Sprintf("%q is not a name", name)
	}
	return ""
}
