package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tarragongw/kv"
)

// FaultRequest sets faults. Fields that are absent leave their fault unchanged.
type FaultRequest struct {
	Down        *bool  `json:"down,omitempty"`
	DelayMillis *int64 `json:"delay_ms,omitempty"`
	// LoseReplies is the number of replies to lose, by kind of call.
	LoseReplies map[kv.CallKind]int `json:"lose_replies,omitempty"`
	// Watch is "works", "silent" or "broken".
	Watch    *string `json:"watch,omitempty"`
	StaleVMs *bool   `json:"stale_vms,omitempty"`
	// CutOff is whether a client or a group of clients is cut off, by its name.
	CutOff map[string]bool `json:"cut_off,omitempty"`
	// ExpireLeases are the names of leases that expire immediately. Compact drops all history.
	ExpireLeases []string `json:"lapse,omitempty"`
	Compact      bool     `json:"compact,omitempty"`
}

var watchFaults = map[string]WatchFault{"works": WatchWorks, "silent": WatchSilent, "broken": WatchBroken}

// check returns an error if the request is invalid, before any part of it takes effect.
func (r *FaultRequest) check() error {
	if r.Watch != nil {
		if _, ok := watchFaults[*r.Watch]; !ok {
			return fmt.Errorf("watch %q: want works, silent or broken", *r.Watch)
		}
	}
	if r.DelayMillis != nil && *r.DelayMillis < 0 {
		return fmt.Errorf("delay_ms %d: must not be negative", *r.DelayMillis)
	}
	for kind, n := range r.LoseReplies {
		if !isCallKind(kind) || n < 0 {
			return fmt.Errorf("lose_replies %q: %d: want one of %v and a count", kind, n, kv.CallKinds())
		}
	}
	return nil
}

func isCallKind(kind kv.CallKind) bool {
	for _, k := range kv.CallKinds() {
		if k == kind {
			return true
		}
	}
	return false
}

// Apply sets the faults that the request contains. If it returns an error, it has set none.
func (p *Platform) Apply(r FaultRequest) error {
	if err := r.check(); err != nil {
		return err
	}
	if r.Down != nil {
		p.SetDown(*r.Down)
	}
	if r.DelayMillis != nil {
		p.SetDelay(time.Duration(*r.DelayMillis) * time.Millisecond)
	}
	for kind, n := range r.LoseReplies {
		p.LoseReplies(kind, n)
	}
	if r.Watch != nil {
		p.SetWatchFault(watchFaults[*r.Watch])
	}
	if r.StaleVMs != nil {
		p.SetStaleVMs(*r.StaleVMs)
	}
	for name, cut := range r.CutOff {
		p.CutOff(name, cut)
	}
	for _, name := range r.ExpireLeases {
		p.ExpireLease(name)
	}
	if r.Compact {
		p.Compact()
	}
	return nil
}

// maxRequestBytes is the largest size of a request's body, in bytes.
const maxRequestBytes = 64 << 10

// ControlHandler lets other processes set faults: POST takes a FaultRequest, GET returns the
// number of calls by kind. It is for the dev command and tests.
func (p *Platform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		var faults FaultRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&faults)
		if err == nil {
			err = p.Apply(faults)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(p.Calls())
	})
	return mux
}
