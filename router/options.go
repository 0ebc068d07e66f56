package router

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"

	"tarragongw/clock"
	"tarragongw/config"
	"tarragongw/keys"
	"tarragongw/kv"
	"tarragongw/peer"
)

// Dial opens a raw connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options is what an embedding program gives to New.
type Options struct {
	// Settings are the checked settings of the process.
	Settings *config.Router
	// Store and Directory reach the platform.
	Store     kv.Store
	Directory kv.VMLister
	// Logger receives one key=value line for each event; nil discards them.
	Logger *slog.Logger
	// CallerTLS, OperatorTLS and PeerTLS take the place of the files that Settings.TLS
	// names for that side; nil takes those. Operators' certificates are believed only
	// where the configuration verifies them.
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	PeerTLS     *tls.Config
	// VerifyPeer may refuse a router after its hello where PeerTLS is given.
	VerifyPeer func(remote peer.Identity, state *tls.ConnectionState) error
	// Keys are further sources that are watched and reloaded with the router's own,
	// such as the platform's authority.
	Keys []*keys.Source
	// KeyTicks paces the looks at the files; nil means each Settings.TLS.ReloadEvery.
	KeyTicks <-chan time.Time
	// DialTarget and DialPeer open raw connections to targets and to other routers;
	// nil means a net.Dialer.
	DialTarget Dial
	DialPeer   Dial
	// NoPeerDatagrams sends heartbeats over the sessions between routers; it is implied by
	// DialPeer.
	NoPeerDatagrams bool
	// Clock measures leases; nil means the clock that counts suspension.
	Clock clock.Clock
	// Unrecorded leaves out what metrics, journal and history keep of each request, so
	// that a measurement can tell what they cost. Owners are blind with it.
	Unrecorded bool
	// Incarnation tells restarts apart and must grow; zero takes the wall clock's
	// nanoseconds.
	Incarnation uint64
}

func (o Options) withDefaults() (Options, error) {
	if o.Settings == nil {
		return o, errors.New("router: Options.Settings is missing")
	}
	if o.Store == nil || o.Directory == nil {
		return o, errors.New("router: Options.Store and Options.Directory are needed")
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	return o, nil
}
