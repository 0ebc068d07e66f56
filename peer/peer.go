// Package peer is the traffic between routers: protobuf control messages and
// forwarded requests, over yamux sessions on TCP.
package peer

import (
	"context"
	"net/http"

	"tarragongw/core/fault"
)

// Identity names one life of one router.
type Identity struct {
	// Name is unique among the routers; Incarnation tells a restart apart.
	Name        string
	DataCentre  string
	Incarnation uint64
	// Address is host:port of the router's peer listener.
	Address string
	// minor is the minor version that its hello named; zero where there was none.
	minor uint32
}

// Handler receives what other routers send. It must not block; the transport
// bounds what waits for it.
type Handler interface {
	// Control receives one control message: its type and its encoded protobuf.
	Control(from Identity, kind string, payload []byte)
	// ServeHTTP receives a forwarded request, with the envelope in its context (see
	// EnvelopeFrom).
	http.Handler
}

// Envelope accompanies a forwarded request: what the entry router found out.
type Envelope struct {
	RequestID string
	Service   string
	Key       string
	Caller    string
	Class     uint8
	// DeadlineMillis is the time left; zero means none.
	DeadlineMillis int64
	Repeatable     bool
	Unit           string
	Target         string
	Token          uint64
	Term           uint64
	// Attempt counts from one.
	Attempt int
}

// Transport sends to other routers.
type Transport interface {
	// Send queues a control message; it reports false where the bounded queue is full
	// or the peer is unknown. Nothing is repeated.
	Send(to string, kind string, payload []byte) bool
	// RoundTrip forwards a request to the router and returns its answer. The fault's
	// Ran is NotRun only if no byte was written or the router said so.
	RoundTrip(ctx context.Context, to string, r *http.Request, e *Envelope) (*http.Response, *fault.Fault)
	// SetPeers replaces the addresses of the known routers.
	SetPeers(peers []Identity)
}
