// Package target is the router's client for targets: connection pools, single attempts
// that report reliably whether the target may have run the request, and control requests
// for grants, health and load.
package target

import (
	"context"
	"net/http"
	"time"

	"tarragongw/core/fault"
)

// Header fields of the protocol between router and target.
const (
	// HeaderUnit, HeaderToken and HeaderTerm carry the unit of keys that the request's key
	// belongs to, the unit's fencing token and the grantor's term.
	HeaderUnit  = "Tarragon-Unit"
	HeaderToken = "Tarragon-Token"
	HeaderTerm  = "Tarragon-Term"
	// HeaderDeadline carries the time left until the caller's deadline, in milliseconds.
	HeaderDeadline = "Tarragon-Deadline-Ms"
	// HeaderNotRun on a response with status 503 or 409 states that the target did not run
	// the request; its value is the cause.
	HeaderNotRun = "Tarragon-Not-Run"
	// HeaderRequestID carries the request's id.
	HeaderRequestID = "X-Request-Id"
)

// Values of HeaderNotRun for a request that does not match the target's grant: the unit is
// not granted, the token or the grantor's term differs, or the grant has expired. All other
// values concern the work itself.
const (
	CauseUnit    = "unit"
	CauseToken   = "token"
	CauseTerm    = "term"
	CauseExpired = "expired"
)

// Attempter sends a request to one target exactly once, without internal retries. A
// fault's Ran is NotRun only if no byte of the request was written or the target stated that
// it did not run the request. If the response is truncated, its body returns an error other
// than io.EOF.
type Attempter interface {
	Attempt(ctx context.Context, r *http.Request) (*http.Response, *fault.Fault)
}

// UnitGrant grants one unit of keys to a target.
type UnitGrant struct {
	// Unit is the unit's name, as in HeaderUnit.
	Unit string `json:"unit"`
	// Token is the fencing token.
	Token uint64 `json:"token"`
}

// GrantBatch renews all grants of a target. Units absent from a full batch are revoked; the
// reply names the revoked units that still have work in flight.
type GrantBatch struct {
	// Grantor and Term identify the sender; a target that checks terms refuses a lower one.
	Grantor string `json:"grantor"`
	Term    uint64 `json:"term"`
	// Sequence increases with each batch of a term; a target refuses an older batch.
	Sequence uint64 `json:"sequence"`
	// TTLMillis is how long the grants are valid from receipt, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Service is the service that all units of the batch belong to.
	Service string `json:"service"`
	// Digest is the checksum of Units. A batch without Units renews the set of grants that
	// has this checksum.
	Digest uint64 `json:"digest"`
	// Fence only raises the target's term; it changes neither the granted units nor their
	// expiry. Digest and Units are ignored.
	Fence bool `json:"fence,omitempty"`
	// Full is set if Units is the complete set.
	Full  bool        `json:"full"`
	Units []UnitGrant `json:"units,omitempty"`
}

// GrantReply is a target's reply to a GrantBatch.
type GrantReply struct {
	// Accepted is false if the term, sequence or digest does not match; Term is then the
	// highest term that the target has seen.
	Accepted bool   `json:"accepted"`
	Term     uint64 `json:"term"`
	Cause    string `json:"cause,omitempty"`
	// Busy names revoked units that still have work in flight.
	Busy []string `json:"busy,omitempty"`
	// Load is the share of the target's slots in use, from 0 to 1. It may be out of date.
	Load float64 `json:"load"`
	// Draining is set if the target takes no new work.
	Draining bool `json:"draining"`
}

// Granter sends grant batches to one target.
type Granter interface {
	// Grant writes nothing of the batch from sendBy on, a time of clock.Boot. If that ended it,
	// leasewrite.IsLeaseError reports true for the error.
	Grant(ctx context.Context, batch *GrantBatch, sendBy time.Duration) (*GrantReply, error)
}
