package target

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Defaults of PoolConfig, used where a field is zero.
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

// PoolConfig holds the connection limits and times of one target's pool.
type PoolConfig struct {
	// Address is host:port.
	Address string
	// MaxConns bounds open connections, those of ControlConns included.
	MaxConns int
	// ControlConns of MaxConns are kept for grants and probes, so that work that
	// fills the pool can't delay a renewal; a negative number keeps none.
	ControlConns int
	// Wait is the longest time that an attempt waits for a connection where all are
	// in use; zero refuses at once, a negative time waits as long as the context allows.
	Wait time.Duration
	// MaxAge closes a connection at its next rest after this time.
	MaxAge time.Duration
	// MaxIdle closes a connection that rested for this time.
	MaxIdle time.Duration
	// DialTimeout bounds opening a connection, TLS handshake included.
	DialTimeout time.Duration
	// ProgressTimeout is the longest silence of a connection with work on it. It is
	// noticed after one to one and a quarter of this time; after at most two and a half
	// where a request body was being sent.
	ProgressTimeout time.Duration
	// KeepAlive is the interval of TCP keepalive probes; it finds connections that
	// went silent while they rested.
	KeepAlive time.Duration
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes int64
	// RequireFraming reports an answer that has neither a length nor chunks as cut
	// short at its end, because a broken connection can't be told from a whole answer.
	RequireFraming bool
	// TLS gives the configuration for a connection that is opened now, so that renewed
	// certificates concern new connections only; nil is plain text.
	TLS func() *tls.Config
	// Accepts says whether the certificate that an open connection began with is still
	// accepted, by an error if not; nil accepts all. It is asked once for each connection
	// after each Recheck, and once the certificate has ended.
	Accepts func(state *tls.ConnectionState) error
	// Dialect is how the target says what is not in HTTP itself; the zero value is the
	// protocol of this package.
	Dialect Dialect
	// Dial opens raw connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opening is told why a connection is about to be opened; nil tells nobody.
	Opening func(cause OpenCause)
	// Now tells the time; nil means time.Now. Only rest, age and the
	// ends of certificates are taken from it.
	Now func() time.Time
}

// withDefaults returns the settings with zero fields filled in, or an error that
// names the field that can't hold.
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
		return c, errors.Errorf("target: MaxConns %d leaves no connection for work beside %d for control",
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

// Check returns an error that names the field that can't hold, or nil.
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
