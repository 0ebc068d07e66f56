package target

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Defaults of PoolConfig for fields that are zero.
const (
	DefaultMaxConns        = 120
	DefaultControlConns    = 2
	DefaultMaxAge          = 10 * time.Minute
	DefaultMaxIdle         = 90 * time.Second
	DefaultDialTimeout     = time.Second
	DefaultProgressTimeout = 10 * time.Second
	DefaultKeepAlive       = 15 * time.Second
	DefaultMaxHeaderBytes  = 1 << 20
)

// PoolConfig holds the settings of one target's connection pool.
type PoolConfig struct {
	// Address is the target's address as host:port.
	Address string
	// MaxConns bounds the open connections, including ControlConns.
	MaxConns int
	// ControlConns is the part of MaxConns that is reserved for grants and probes, so that
	// work that fills the pool can't delay a renewal. A negative number reserves none.
	ControlConns int
	// Wait bounds how long an attempt waits for a connection if all are in use. Zero refuses
	// at once; a negative value waits until the context ends.
	Wait time.Duration
	// MaxAge is the age after which a connection is closed as soon as it is idle.
	MaxAge time.Duration
	// MaxIdle is the time after which an idle connection is closed.
	MaxIdle time.Duration
	// DialTimeout bounds opening a connection, including the TLS handshake.
	DialTimeout time.Duration
	// ProgressTimeout bounds the time without any progress on a connection with an exchange
	// in flight. It takes effect after 1 to 1.25 times this value, or after at most 2.5 times
	// this value if a request body was being sent.
	ProgressTimeout time.Duration
	// KeepAlive is the interval of TCP keepalive probes, which detect connections that died
	// while they were idle.
	KeepAlive time.Duration
	// MaxHeaderBytes bounds the header of a response.
	MaxHeaderBytes int64
	// RequireFraming reports a response with neither a length nor chunked encoding as
	// truncated, because its end can't be distinguished from a broken connection.
	RequireFraming bool
	// TLS returns the configuration for a new connection. It is called for each connection, so
	// renewed certificates apply to new connections only. Nil means plain text.
	TLS func() *tls.Config
	// Accepts returns an error if the certificate that the target presented when the
	// connection was opened is no longer accepted; nil accepts all. It is called once for each
	// connection after each Recheck, and again after the certificate has expired.
	Accepts func(state *tls.ConnectionState) error
	// Dialect describes the target's extensions to HTTP. The zero value is the protocol of
	// this package.
	Dialect Dialect
	// Dial opens raw connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial, if not nil, is called before each connection is opened, with the reason.
	OnDial func(cause OpenCause)
	// Now returns the current time; nil means time.Now. It is used only for the age and idle
	// time of connections and for the expiry of certificates.
	Now func() time.Time
}

// withDefaults returns the settings with zero fields set to their defaults, or an error
// that names the invalid field.
func (c PoolConfig) withDefaults() (PoolConfig, error) {
	if c.Address == "" {
		return c, errors.New("target: Address is empty")
	}
	setDefault(&c.MaxConns, DefaultMaxConns)
	setDefault(&c.ControlConns, DefaultControlConns)
	setDefault(&c.MaxAge, DefaultMaxAge)
	setDefault(&c.MaxIdle, DefaultMaxIdle)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&c.KeepAlive, DefaultKeepAlive)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.ControlConns = max(c.ControlConns, 0)
	if c.MaxConns <= c.ControlConns {
		return c, errors.Errorf("target: MaxConns %d leaves no connection for work after reserving %d for control",
			c.MaxConns, c.ControlConns)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: c.KeepAlive}).DialContext
	}
	return c, nil
}

// Check returns an error that names the first invalid field, or nil.
func (c PoolConfig) Check() error {
	_, err := c.withDefaults()
	return err
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
