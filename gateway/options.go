package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/core/assign"
	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/keyspace"
	"tarragongw/core/routes"
	"tarragongw/core/statement"
	"tarragongw/kv"
	"tarragongw/target"
	"tarragongw/telemetry"
)

// Headers has the names of the request headers that this router reads or sets.
type Headers struct {
	// RequestID identifies a request. Deadline is how many milliseconds the sender waits. Expect is
	// the ID of the target that is meant. Key is the request's key.
	RequestID, Deadline, Expect, Key string
}

// Adapter translates between the platform's formats and the gateway's types. It makes no decisions.
type Adapter struct {
	Headers Headers
	// Dialect is how targets state whether they ran a request.
	Dialect target.Dialect
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// ConfigKey is the store key of the configuration, under ConfigPrefix; TargetPrefix is the prefix
	// of the targets' entries.
	ConfigPrefix, ConfigKey, TargetPrefix string
	// EvacuationPrefix is the prefix of the operators' records of evacuated data centres, under ConfigPrefix; the data
	// centre's name follows it.
	EvacuationPrefix string

	DecodeConfig func(value []byte) (*routes.Config, error)
	DecodeTarget func(key string, value []byte) (directory.Target, error)
	TargetID     func(key string) string
	// DecodeAnswer returns what a target's response states of the target.
	DecodeAnswer func(resp *http.Response) statement.Answer
	// EncodeRefusal returns the response of a target that turns a request with the head away and asks for a rest, as it is sent.
	EncodeRefusal func(head []byte, rest time.Duration) []byte
	// UnreadHeaders, UnreadConfigFields and UnreadEntryFields return the names of what a target's answer, a stored
	// configuration and a target's entry state and no code reads.
	UnreadHeaders                         func(h http.Header) []string
	UnreadConfigFields, UnreadEntryFields func(value []byte) []string
	// Warmup asks a target for how long it is still cold, by a status check at the path.
	Warmup func(ctx context.Context, t *directory.Target, healthPath string) (time.Duration, error)
	// AskLimit asks a target for its limit by a status check at the path.
	AskLimit func(ctx context.Context, t *directory.Target, healthPath string) (limit float64, stated bool, err error)
	// SendOrder sends an order to its target. The error says why an order was not accepted. No part
	// of the order is sent after until, a time of clock.Boot.
	SendOrder func(ctx context.Context, o *assign.Order, until time.Duration) (assign.Outcome, string, error)
	// ObserveOrders has a function called with what targets state in their answers to orders and status checks.
	ObserveOrders func(observe func(target keyspace.Holder, said statement.Answer))
	// OrderTraffic returns how many bytes of orders were sent, and how many connections were opened for them, since the
	// start. It may be nil.
	OrderTraffic func() (bytes, opened uint64)
}

// Options configures a Gateway.
type Options struct {
	// Name identifies this router among all routers; DataCentre is the data centre that it runs in.
	Name, DataCentre string
	// CallerAddress, ReadyAddress and MetricsAddress are the addresses to listen on, as host:port.
	// Without a MetricsAddress, no metrics are served. PeerAddress is the one at which the other
	// routers reach this one.
	CallerAddress, ReadyAddress, MetricsAddress, PeerAddress string
	Store                                                    kv.TxnStore
	// DialTarget opens connections to targets; nil means a net.Dialer.
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
	Adapter    Adapter
	// LeaseMin is the shortest TTL of a lease that the store grants.
	LeaseMin time.Duration
	// StoreHistory is for how long the store keeps changes for watches; zero if unknown.
	StoreHistory time.Duration
	// PropagationLimit is the time within which a change in the store must be in force on all routers;
	// zero if unknown.
	PropagationLimit time.Duration
	// LeavingLimit is the time after its leaving was acknowledged within which a target may still get requests;
	// zero if unknown.
	LeavingLimit time.Duration
	// EvacuationLimit is the time after the evacuation of a data centre was acknowledged within which its targets may still
	// get requests; zero if data centres are not evacuated.
	EvacuationLimit time.Duration
	// Cold are the tolerances within which targets bear requests while they are cold.
	Cold dispatch.ColdTolerance
	// MaxGrantTTL is the longest TTL of a grant that targets accept.
	MaxGrantTTL time.Duration
	// CPUShare is the share of a core that this process gets; zero if unknown.
	CPUShare float64
	// LinkBytesPerSecond is the rate of this VM's network link; zero if unknown.
	LinkBytesPerSecond float64
	// Grace is the time from the request to stop until the platform kills the process.
	Grace time.Duration
	// RetryShare and RetryMin limit the attempts beyond the first that all routers together may make
	// for a service in RetryWindow: a share of the requests plus a fixed number.
	RetryShare  float64
	RetryMin    float64
	RetryWindow time.Duration
	// Mailbox bounds the number of messages that wait for a duty. The default is 256.
	Mailbox   int
	Clock     clock.Clock
	Logger    *slog.Logger
	Telemetry *telemetry.Telemetry
}

// defaultLeavingLimit is used where Options.LeavingLimit is unknown.
const defaultLeavingLimit = 2 * time.Second

// defaultMailbox has room for the answers to a few hundred orders that arrive at the same time.
const defaultMailbox = 256

func (o Options) withDefaults() (Options, error) {
	if o.Name == "" || o.Store == nil || o.Adapter.SendOrder == nil {
		return o, errors.New("gateway: Name, Store and Adapter.SendOrder are required")
	}
	if o.Mailbox <= 0 {
		o.Mailbox = defaultMailbox
	}
	if o.LeavingLimit <= 0 {
		o.LeavingLimit = defaultLeavingLimit
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.DialTarget == nil {
		o.DialTarget = (&net.Dialer{}).DialContext
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}
