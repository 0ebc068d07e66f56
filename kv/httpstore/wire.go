// Package httpstore is the adapter between the platform's interfaces and its
// HTTP+JSON protocol: a client for one or more addresses, and a handler that
// serves a backend over the same protocol.
//
// Each call is one POST to /v1/KIND with a JSON body. POST is used for reads
// too: net/http never replays it, so that every call is counted as the platform
// counts it.
package httpstore

import (
	"net/http"
	"time"

	"tarragongw/kv"
)

const (
	pathPrefix = "/v1/"
	// headerClient names the client to the platform.
	headerClient = "Tarragon-Client"
	contentType  = "application/json"
	// bodyLimit bounds a call: the largest value in base64 and its envelope, in bytes.
	bodyLimit = kv.MaxValue/3*4 + 64<<10
)

// callBody is the body of a call; each kind uses some of the fields.
type callBody struct {
	Key      string      `json:"key,omitempty"`
	Prefix   string      `json:"prefix,omitempty"`
	Revision kv.Revision `json:"revision,omitempty"`
	Value    []byte      `json:"value,omitempty"`
	// WaitMillis bounds a watch; the answer has no records where it ran out.
	WaitMillis int64      `json:"wait_ms,omitempty"`
	Lease      *leaseBody `json:"lease,omitempty"`
}

// leaseBody is a lease on the wire.
type leaseBody struct {
	Name      string `json:"name"`
	Holder    string `json:"holder"`
	ID        uint64 `json:"id,omitempty"`
	TTLMillis int64  `json:"ttl_ms"`
}

func encodeLease(l kv.Lease) *leaseBody {
	return &leaseBody{Name: l.Name, Holder: l.Holder, ID: l.ID, TTLMillis: l.TTL.Milliseconds()}
}

func (l *leaseBody) decode() kv.Lease {
	if l == nil {
		return kv.Lease{}
	}
	ttl := time.Duration(l.TTLMillis) * time.Millisecond
	return kv.Lease{Name: l.Name, Holder: l.Holder, ID: l.ID, TTL: ttl}
}

// replyBody is the body of an answer. Code is kv.CodeOK or the code of one
// of the platform's errors.
type replyBody struct {
	Code     string      `json:"code"`
	Record   *kv.Record  `json:"record,omitempty"`
	Records  []kv.Record `json:"records,omitempty"`
	Revision kv.Revision `json:"revision,omitempty"`
	Lease    *leaseBody  `json:"lease,omitempty"`
	VMs      []kv.VM     `json:"vms,omitempty"`
}

// statuses maps the codes to HTTP statuses.
var statuses = map[string]int{
	kv.CodeOK:                  http.StatusOK,
	kv.Code(kv.ErrConflict):    http.StatusConflict,
	kv.Code(kv.ErrNotFound):    http.StatusNotFound,
	kv.Code(kv.ErrLeaseLost):   http.StatusPreconditionFailed,
	kv.Code(kv.ErrCompacted):   http.StatusGone,
	kv.Code(kv.ErrTooLarge):    http.StatusRequestEntityTooLarge,
	kv.Code(kv.ErrInvalid):     http.StatusBadRequest,
	kv.Code(kv.ErrUnavailable): http.StatusServiceUnavailable,
	kv.Code(kv.ErrOverBudget):  http.StatusTooManyRequests,
}
