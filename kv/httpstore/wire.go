// Package httpstore implements package kv's interfaces over an HTTP+JSON protocol: a
// client for one or more addresses, and a handler that serves a backend.
//
// Each call is one POST to /v1/KIND with a JSON body. Reads are POST requests too:
// net/http never replays them, so that the client counts the same calls as the platform.
package httpstore

import (
	"net/http"
	"time"

	"tarragongw/kv"
)

const (
	pathPrefix = "/v1/"
	// headerClient is the header with the client's name.
	headerClient = "Tarragon-Client"
	contentType  = "application/json"
	// maxCallBytes is the largest size of a call's body in bytes: the largest value in base64,
	// and the rest of the JSON.
	maxCallBytes = kv.MaxValue/3*4 + 64<<10
)

// callBody is the body of a call; each kind of call uses some of the fields.
type callBody struct {
	Key      string      `json:"key,omitempty"`
	Prefix   string      `json:"prefix,omitempty"`
	Revision kv.Revision `json:"revision,omitempty"`
	Value    []byte      `json:"value,omitempty"`
	// WaitMillis limits the wait of a watch; its answer has no records if nothing changed.
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

// replyBody is the body of an answer. Code is kv.CodeOK or the code of one of the
// store's errors.
type replyBody struct {
	Code     string      `json:"code"`
	Record   *kv.Record  `json:"record,omitempty"`
	Records  []kv.Record `json:"records,omitempty"`
	Revision kv.Revision `json:"revision,omitempty"`
	Lease    *leaseBody  `json:"lease,omitempty"`
	VMs      []kv.VM     `json:"vms,omitempty"`
}

// statuses has the HTTP status of each code. A code without a status is never sent.
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
