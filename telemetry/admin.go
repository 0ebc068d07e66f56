package telemetry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"slices"
	"sort"
	"sync"
)

// Check returns nil, or an error with the reason why the process is not live or ready.
type Check func() error

// Admin is the admin endpoint: health, metrics, profiles, build info and status.
// It does not authenticate clients; the router puts its role check in front of it.
type Admin struct {
	mux      *http.ServeMux
	patterns []string

	mu     sync.Mutex
	live   map[string]Check
	ready  map[string]Check
	status map[string]func() any
}

// NewAdmin returns the endpoint; metrics serves /metrics. As long as no checks have been
// added, the process counts as live and ready.
func NewAdmin(metrics http.Handler) *Admin {
	a := &Admin{
		mux:    http.NewServeMux(),
		live:   make(map[string]Check),
		ready:  make(map[string]Check),
		status: make(map[string]func() any),
	}
	a.handle("GET /livez", func(w http.ResponseWriter, _ *http.Request) { a.serveChecks(w, a.live) })
	a.handle("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { a.serveChecks(w, a.ready) })
	a.handle("GET /metrics", metrics.ServeHTTP)
	a.handle("GET /version", serveVersion)
	a.handle("GET /status", a.serveStatus)
	a.handle("/debug/pprof/", pprof.Index)
	a.handle("/debug/pprof/cmdline", pprof.Cmdline)
	a.handle("/debug/pprof/profile", pprof.Profile)
	a.handle("/debug/pprof/symbol", pprof.Symbol)
	a.handle("/debug/pprof/trace", pprof.Trace)
	return a
}

func (a *Admin) handle(pattern string, handler http.HandlerFunc) {
	a.patterns = append(a.patterns, pattern)
	a.mux.HandleFunc(pattern, handler)
}

// Patterns returns the patterns, in the syntax of http.ServeMux, of the pages that Admin
// serves itself, without those added by Handle.
func (a *Admin) Patterns() []string { return slices.Clone(a.patterns) }

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Handle adds a page that another package serves.
func (a *Admin) Handle(pattern string, handler http.Handler) { a.mux.Handle(pattern, handler) }

// AddLivenessCheck adds a check to /livez. If it fails, the process should be restarted.
func (a *Admin) AddLivenessCheck(name string, check Check) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.live[name] = check
}

// AddReadinessCheck adds a check to /readyz. If it fails, the load balancer should not send
// requests to this process.
func (a *Admin) AddReadinessCheck(name string, check Check) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ready[name] = check
}

// AddStatus adds a section to /status; provider returns the value to be encoded as JSON.
func (a *Admin) AddStatus(name string, provider func() any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status[name] = provider
}

// NotReadyCauses returns the failed checks of /readyz, each as "name: cause", sorted by name.
func (a *Admin) NotReadyCauses() []string { return a.failedChecks(a.ready) }

// failedChecks runs the checks and returns those that fail. It does not hold the lock
// meanwhile, so that a slow check does not block other calls.
func (a *Admin) failedChecks(checks map[string]Check) []string {
	a.mu.Lock()
	current := make(map[string]Check, len(checks))
	for name, check := range checks {
		current[name] = check
	}
	a.mu.Unlock()
	var causes []string
	for name, check := range current {
		if err := check(); err != nil {
			causes = append(causes, name+": "+err.Error())
		}
	}
	sort.Strings(causes)
	return causes
}

func (a *Admin) serveChecks(w http.ResponseWriter, checks map[string]Check) {
	causes := a.failedChecks(checks)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if len(causes) == 0 {
		fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for _, cause := range causes {
		fmt.Fprintln(w, cause)
	}
}

func (a *Admin) serveStatus(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	providers := make(map[string]func() any, len(a.status))
	for name, provider := range a.status {
		providers[name] = provider
	}
	a.mu.Unlock()
	sections := make(map[string]any, len(providers))
	for name, provider := range providers {
		sections[name] = provider()
	}
	writeJSON(w, sections)
}

// Version is the build information of the process.
type Version struct {
	Module   string `json:"module"`
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified,omitempty"`
}

// ReadVersion returns the build information that the Go toolchain put into the binary.
func ReadVersion() Version {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version{}
	}
	v := Version{Module: info.Main.Path, Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.time":
			v.Time = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}

func serveVersion(w http.ResponseWriter, _ *http.Request) { writeJSON(w, ReadVersion()) }

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has closed the connection and cannot be notified.
	_, _ = w.Write(append(data, '\n'))
}
