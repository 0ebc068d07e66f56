package main

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/dev"
	"tarragongw/heap"
	"tarragongw/kv/httpstore"
	"tarragongw/lab/procuse"
	"tarragongw/router"
)

const (
	childFlag = "-child"
	loopback  = "127.0.0.1:0"
)

// childConfig is the only argument of a child process, as JSON.
type childConfig struct {
	Kind string
	// Target is host:port of the target behind a bare proxy.
	Target string
	// Name, DataCentre and Platform set up a router.
	Name       string
	DataCentre string
	Platform   string
	// RoutersPerRelay replaces the setting where it is not zero.
	RoutersPerRelay int
	// NoDatagrams sends heartbeats over sessions.
	NoDatagrams bool
	// Unrecorded turns off what a router keeps of each request.
	Unrecorded bool
	// Shedding leaves limits.own_delay as it is; else it is zero, so that a measurement on
	// a busy machine meets no refusals.
	Shedding bool
	// Keys is a folder of certificates; plain text where empty.
	Keys string
}

// Kinds of children.
const (
	kindBare   = "bare"
	kindRouter = "router"
)

// Commands that the parent sends as lines. The end of the parent's pipe ends the
// child, so that none is left behind by a parent that died.
const (
	commandUsage = "usage"
	commandRest  = "rest"
)

// usageReport is what a child has used since its start, and what it holds.
type usageReport struct {
	CPU     time.Duration
	Mallocs uint64
	Alloced uint64
	// Live is the heap in use and the stacks; after commandRest without garbage.
	Live     uint64
	Resident uint64
	// Moved is the number of bytes read and written by system calls, sockets included.
	Moved      uint64
	Goroutines int
	// switches are the voluntary changes of threads; the parent reads them, so that
	// earlier builds have them too.
	switches uint64
}

func runChild(argument string) error {
	var cfg childConfig
	if err := json.Unmarshal([]byte(argument), &cfg); err != nil {
		return errors.Wrap(err, "read the child's settings")
	}
	out := json.NewEncoder(os.Stdout)
	addresses, err := startChild(&cfg)
	if err != nil {
		return err
	}
	if err := out.Encode(addresses); err != nil {
		return err
	}
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		if commands.Text() == commandRest {
			runtime.GC()
			debug.FreeOSMemory()
		}
		if err := out.Encode(usageNow()); err != nil {
			return err
		}
	}
	return commands.Err()
}

func startChild(cfg *childConfig) (*router.Addresses, error) {
	if cfg.Kind == kindBare {
		return startBare(cfg.Target)
	}
	return startRouter(cfg)
}

func startRouter(cfg *childConfig) (*router.Addresses, error) {
	settings := config.Defaults()
	settings.Name = cfg.Name
	settings.DataCentre = cfg.DataCentre
	settings.Listen.Caller, settings.Listen.Operator, settings.Listen.Peer = loopback, loopback, loopback
	dev.UseKeys(&settings, cfg.Keys)
	if cfg.RoutersPerRelay > 0 {
		settings.Store.RoutersPerRelay = cfg.RoutersPerRelay
	}
	if !cfg.Shedding {
		settings.Limits.OwnDelay = 0
	}
	client, err := httpstore.New(httpstore.Config{
		Name: cfg.Name, Addresses: []string{cfg.Platform}, Timeout: settings.Store.Timeout, WatchWait: settings.Timers.Watch,
	})
	if err != nil {
		return nil, err
	}
	r, err := router.New(router.Options{
		Settings: &settings, Store: client, Directory: client,
		Unrecorded: cfg.Unrecorded, NoPeerDatagrams: cfg.NoDatagrams,
	})
	if err != nil {
		return nil, err
	}
	heap.Start()
	r.Start()
	a := r.Addresses()
	return &a, nil
}

// buffers keeps the bare proxy from allocating a buffer for each answer; without
// it the baseline would be easier to beat.
type buffers struct{ pool sync.Pool }

func (b *buffers) Get() []byte  { return *b.pool.Get().(*[]byte) }
func (b *buffers) Put(p []byte) { b.pool.Put(&p) }

// startBare serves a reverse proxy that has what net/http/httputil offers and
// nothing else.
func startBare(address string) (*router.Addresses, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	to := &url.URL{Scheme: "http", Host: address}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(to)
			r.SetXForwarded()
		},
		Transport:  &http.Transport{MaxIdleConnsPerHost: targetConns, DisableCompression: true},
		BufferPool: &buffers{sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}},
	}
	// Serve ends with the process.
	go func() { _ = http.Serve(l, proxy) }()
	return &router.Addresses{Caller: l.Addr().String()}, nil
}

func usageNow() *usageReport {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return &usageReport{
		CPU:        procuse.CPU(),
		Mallocs:    m.Mallocs,
		Alloced:    m.TotalAlloc,
		Live:       m.HeapAlloc + m.StackInuse,
		Resident:   procuse.Resident(),
		Moved:      movedBytes(),
		Goroutines: runtime.NumGoroutine(),
	}
}

// movedBytes sums what read and write calls moved, from /proc; zero where there is
// none.
func movedBytes() uint64 {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	var sum uint64
	for line := range strings.Lines(string(data)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseUint(text, 10, 64)
			sum += n
		}
	}
	return sum
}
