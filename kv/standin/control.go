package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tarragongw/kv"
)

// Order sets switches; members that are absent leave theirs as they are.
type Order struct {
	Down        *bool  `json:"down,omitempty"`
	DelayMillis *int64 `json:"delay_ms,omitempty"`
	// LoseReplies maps a kind of call to the number of replies to lose.
	LoseReplies map[kv.CallKind]int `json:"lose_replies,omitempty"`
	// Watch is works, silent or broken.
	Watch    *string `json:"watch,omitempty"`
	StaleVMs *bool   `json:"stale_vms,omitempty"`
	// CutOff maps the name of a client or of a group of clients to whether it is cut off.
	CutOff map[string]bool `json:"cut_off,omitempty"`
	// Lapse names leases that end at once; Compact forgets all history.
	Lapse   []string `json:"lapse,omitempty"`
	Compact bool     `json:"compact,omitempty"`
}

var watchFaults = map[string]WatchFault{"works": WatchWorks, "silent": WatchSilent, "broken": WatchBroken}

// check finds what is wrong with the order before any of it takes effect.
func (o *Order) check() error {
	if o.Watch != nil {
		if _, ok := watchFaults[*o.Watch]; !ok {
			return fmt.Errorf("watch %q: want works, silent or broken", *o.Watch)
		}
	}
	if o.DelayMillis != nil && *o.DelayMillis < 0 {
		return fmt.Errorf("delay_ms %d: must not be negative", *o.DelayMillis)
	}
	for kind, n := range o.LoseReplies {
		if !known(kind) || n < 0 {
			return fmt.Errorf("lose_replies %q: %d: want one of %v and a count", kind, n, kv.CallKinds())
		}
	}
	return nil
}

func known(kind kv.CallKind) bool {
	for _, k := range kv.CallKinds() {
		if k == kind {
			return true
		}
	}
	return false
}

// Apply sets the switches that the order names, all or, with an error, none.
func (p *Platform) Apply(o Order) error {
	if err := o.check(); err != nil {
		return err
	}
	if o.Down != nil {
		p.SetDown(*o.Down)
	}
	if o.DelayMillis != nil {
		p.SetDelay(time.Duration(*o.DelayMillis) * time.Millisecond)
	}
	for kind, n := range o.LoseReplies {
		p.LoseReplies(kind, n)
	}
	if o.Watch != nil {
		p.SetWatchFault(watchFaults[*o.Watch])
	}
	if o.StaleVMs != nil {
		p.SetStaleVMs(*o.StaleVMs)
	}
	for name, cut := range o.CutOff {
		p.CutOff(name, cut)
	}
	for _, name := range o.Lapse {
		p.LapseLease(name)
	}
	if o.Compact {
		p.Compact()
	}
	return nil
}

// maxOrder bounds the body of an order in bytes.
const maxOrder = 64 << 10

// ControlHandler serves the switches to other processes: POST takes an Order,
// GET returns the numbers of calls by kind. It is for the dev command and tests.
func (p *Platform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		var o Order
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&o)
		if err == nil {
			err = p.Apply(o)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the client has gone; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(p.Calls())
	})
	return mux
}
