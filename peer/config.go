package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
)

// Protocol versions. A different major is refused; minors run side by side.
const (
	MajorVersion = 1
	MinorVersion = 2
)

// Config sets up a Node. Zero values take the defaults named at each field.
type Config struct {
	// Self names this router. An empty Address becomes the listener's address.
	Self Identity
	// Listen is the host:port to listen on.
	Listen string
	// TLS turns on TLS for both directions; for mutual TLS it carries a
	// certificate, RootCAs, ClientCAs and RequireAndVerifyClientCert. Nil is plain TCP.
	TLS *tls.Config
	// DialTLS gives the configuration for a connection to the named router that is
	// opened now; nil takes TLS, with the dialled host as the server's name.
	DialTLS func(router string) *tls.Config
	// OnRefused is told of each accepted connection that did not become a session; nil
	// is not told.
	OnRefused func(address string, cause error)
	// VerifyPeer may refuse a router after the hello exchange, for instance because
	// its certificate does not carry its name. Nil accepts; state is nil without TLS.
	VerifyPeer func(remote Identity, state *tls.ConnectionState) error

	// Accepts says whether the certificate that an open session began with is still
	// accepted, by an error if not; nil accepts all. It is asked by Recheck, and once the
	// certificate has ended.
	Accepts func(state *tls.ConnectionState) error
	// Revoked says of an error of Accepts that the certificate may do nothing more, so
	// that the session is not replaced first; nil says so of none.
	Revoked func(error) bool
	// OnSessionRefused is told of each open session that Accepts ended; nil is not told.
	OnSessionRefused func(remote Identity, cause error)
	// OnDialFailed is told of each dial that failed, for whatever cause; nil is not told.
	OnDialFailed func(router, address string, cause error)
	// EndLimit bounds the requests in flight on a session that Accepts ended; 30 s.
	EndLimit time.Duration
	// Now is the wall clock that certificates are held against; nil means time.Now.
	Now func() time.Time

	// Incarnation returns the highest incarnation that the embedding program knows of a
	// router's name, zero for none; nil knows none. The node adds what its sessions met.
	Incarnation func(name string) uint64
	// OnOutlived is told of an incarnation of this router's own name that another router
	// knows and that is above Self's; nil is not told. It must not wait.
	OnOutlived func(incarnation uint64)

	// DialTimeout bounds opening a connection, hello exchange included; 1 s.
	DialTimeout time.Duration
	// BackoffBase and BackoffMax bound the wait between dials, with full jitter;
	// 50 ms and 2 s.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// KeepAlive is how often a session in use is proved alive, and how old a proof
	// may be when a request is about to be written; 500 ms. A session that went silent
	// under a request is noticed within KeepAlive and PingTimeout.
	KeepAlive time.Duration
	// PingTimeout is the longest wait for the answer of a ping and for a write to be
	// taken by the connection; 1 s.
	PingTimeout time.Duration
	// IdleTimeout closes a session that carried nothing for this time; 60 s.
	IdleTimeout time.Duration
	// StreamIdle closes streams that wait for reuse on a session without requests; 5 s.
	StreamIdle time.Duration

	// QueueLength bounds the control messages that wait for one router; 256.
	QueueLength int
	// QueueAge drops a control message that waited longer, because a late heartbeat
	// would tell of a life that may be over; 2 s.
	QueueAge time.Duration
	// MailboxLength bounds the control messages that wait for the handler, and one
	// session may fill a quarter of it; 1024.
	MailboxLength int
	// MaxMessage is the largest control message in bytes; 1 MiB.
	MaxMessage int
	// IdleStreams bounds the streams that wait for reuse on one session; 64.
	// A negative value opens a stream for each request.
	IdleStreams int
	// MaxPeers bounds the routers that are known at once; 16,384.
	MaxPeers int

	// NoDatagrams sends all messages over sessions. It is implied by Dial, whose way to
	// another router no datagram goes.
	NoDatagrams bool

	// Dial opens raw connections to other routers; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Logger receives one line for each event; nil is silent.
	Logger *slog.Logger
	// Scope receives the counters; nil drops them.
	Scope tally.Scope
}

// withDefaults returns the config with zero values replaced.
func (c Config) withDefaults() Config {
	orDuration(&c.DialTimeout, time.Second)
	orDuration(&c.BackoffBase, 50*time.Millisecond)
	orDuration(&c.BackoffMax, 2*time.Second)
	orDuration(&c.KeepAlive, 500*time.Millisecond)
	orDuration(&c.PingTimeout, time.Second)
	orDuration(&c.IdleTimeout, time.Minute)
	orDuration(&c.StreamIdle, 5*time.Second)
	orDuration(&c.EndLimit, 30*time.Second)
	orDuration(&c.QueueAge, 2*time.Second)
	orInt(&c.QueueLength, 256)
	orInt(&c.MailboxLength, 1024)
	orInt(&c.MaxMessage, 1<<20)
	orInt(&c.IdleStreams, 64)
	orInt(&c.MaxPeers, 16384)
	c.NoDatagrams = c.NoDatagrams || c.Dial != nil
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Revoked == nil {
		c.Revoked = func(error) bool { return false }
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

func orDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func orInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
