package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/routes"
	"tarragongw/kv"
	"tarragongw/target"
	"tarragongw/telemetry"
)

// Headers names the fields of requests that this router reads or sets.
type Headers struct {
	// RequestID names a request, Deadline says how many milliseconds its sender waits,
	// Expect which target is meant, and Key which key it is for.
	RequestID, Deadline, Expect, Key string
}

// Adapter is how the platform writes what the gateway reads and does. It decides nothing.
type Adapter struct {
	Headers Headers
	// Dialect is how targets say whether they ran a request.
	Dialect target.Dialect
	// ReadyPath is where the platform asks whether this router takes new connections.
	ReadyPath string
	// ConfigPrefix holds the configuration, under ConfigKey; TargetPrefix the targets.
	ConfigPrefix, ConfigKey, TargetPrefix string

	DecodeConfig func(value []byte) (*routes.Config, error)
	DecodeTarget func(key string, value []byte) (directory.Target, error)
	TargetID     func(key string) string
	DecodeLoad   func(h http.Header) (dispatch.Report, bool)
	// SendOrder carries an order out; the error explains one that wasn't accepted. Nothing of it
	// is written once until has passed by clock.Boot.
	SendOrder func(ctx context.Context, o *assign.Order, until time.Duration) (assign.Outcome, string, error)
}

// Options are what a Gateway is made of.
type Options struct {
	// Name is this router's among all routers, DataCentre where it stands.
	Name, DataCentre string
	// CallerAddress, ReadyAddress and MetricsAddress are host:port; without a
	// MetricsAddress none are served. PeerAddress is where the other routers reach this one.
	CallerAddress, ReadyAddress, MetricsAddress, PeerAddress string
	Store                                                    kv.Ledger
	Adapter                                                  Adapter
	// LeaseMin is the shortest lease that the store gives.
	LeaseMin time.Duration
	// StoreHistory is for how long the store keeps changes for watches; zero where it isn't
	// known.
	StoreHistory time.Duration
	// KnownWithin is the time within which a change that the store has must be in force on
	// all routers; zero where it isn't known.
	KnownWithin time.Duration
	// HoldMax is the longest grant that targets take.
	HoldMax time.Duration
	// CPUShare is the part of a core that this process gets; zero where it isn't known.
	CPUShare float64
	// Grace is the time from the request to stop to the end by force.
	Grace time.Duration
	// RetryShare and RetryMin bound the attempts beyond the first that a service gets from
	// all routers together in RetryWindow.
	RetryShare  float64
	RetryMin    float64
	RetryWindow time.Duration
	// Mailbox bounds the messages that wait for a duty. Default 256.
	Mailbox   int
	Clock     clock.Clock
	Logger    *slog.Logger
	Telemetry *telemetry.Telemetry
}

// defaultMailbox has room for the answers to some hundred orders that come at once.
const defaultMailbox = 256

func (o Options) withDefaults() (Options, error) {
	if o.Name == "" || o.Store == nil || o.Adapter.SendOrder == nil {
		return o, errors.New("gateway: Name, Store and Adapter are needed")
	}
	if o.Mailbox <= 0 {
		o.Mailbox = defaultMailbox
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}
