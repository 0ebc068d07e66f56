package httpstore

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/internal/wellformed"
	"tarragongw/kv"
)

// Config holds the settings of a client.
type Config struct {
	// Addresses are the platform's addresses, host:port; at least one is required.
	Addresses []string
	// Name is the client's name, which is sent to the platform.
	Name string
	// TLS enables HTTPS if it is set.
	TLS *tls.Config
	// DialTLS also enables HTTPS. It returns the TLS configuration for each new connection
	// to the host and replaces TLS.
	DialTLS func(host string) *tls.Config
	// Timeout limits each call except watches. Default: 2 s.
	Timeout time.Duration
	// DialTimeout limits opening a connection. Default: 500 ms.
	DialTimeout time.Duration
	// WatchWait is how long the platform waits for a change before it answers a watch.
	// Default: 30 s.
	WatchWait time.Duration
	// WatchGrace is how much later than WatchWait the answer to a watch may arrive. Default: 3 s.
	WatchGrace time.Duration
	// MaxConns limits the connections to one address. Default: 32.
	MaxConns int
	// MaxReply limits the size of an answer in bytes. Default: 64 MiB.
	MaxReply int64
	// Now is the clock for Renewed of leases. Default: time.Now.
	Now func() time.Time
}

const (
	defaultTimeout     = 2 * time.Second
	defaultDialTimeout = 500 * time.Millisecond
	defaultWatchWait   = 30 * time.Second
	defaultWatchGrace  = 3 * time.Second
	defaultMaxConns    = 32
	defaultMaxReply    = 64 << 20
	// idleTimeout closes idle connections before a server or an intermediary drops them
	// without notice.
	idleTimeout = 20 * time.Second
)

func (c Config) withDefaults() Config {
	setDuration(&c.Timeout, defaultTimeout)
	setDuration(&c.DialTimeout, defaultDialTimeout)
	setDuration(&c.WatchWait, defaultWatchWait)
	setDuration(&c.WatchGrace, defaultWatchGrace)
	if c.MaxConns <= 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.MaxReply <= 0 {
		c.MaxReply = defaultMaxReply
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Client calls the platform over the protocol. It implements kv.Store and
// kv.VMLister and is safe for concurrent use.
type Client struct {
	cfg       Config
	scheme    string
	transport wellformed.Transport
	// preferred counts the changes of the address. Modulo the number of addresses it is the
	// index of the current one.
	preferred atomic.Uint32
}

// New returns a client; it opens no connection yet.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addresses) == 0 {
		return nil, errors.New("httpstore: no address")
	}
	for _, address := range cfg.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Wrapf(err, "httpstore: address %q", address)
		}
	}
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, scheme: "http", transport: wellformed.Transport{RoundTripper: newTransport(cfg)}}
	if cfg.TLS != nil || cfg.DialTLS != nil {
		c.scheme = "https"
	}
	return c, nil
}

// newTransport returns a transport without proxies, compression and HTTP/2. A connection
// carries one call at a time, so that a broken connection affects only one call.
func newTransport(cfg Config) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     cfg.TLS,
		TLSHandshakeTimeout: cfg.DialTimeout,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		MaxConnsPerHost:     cfg.MaxConns,
		MaxIdleConnsPerHost: cfg.MaxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if cfg.DialTLS != nil {
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialTLS(ctx, dialer, cfg.DialTLS, network, address)
		}
	}
	return transport
}

// dialTLS opens a connection and completes its TLS handshake within the dialer's timeout.
func dialTLS(ctx context.Context, dialer *net.Dialer, configFor func(string) *tls.Config, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
	defer cancel()
	secure := &tls.Dialer{NetDialer: dialer, Config: configFor(host)}
	return secure.DialContext(ctx, network, address)
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Record, error) {
	reply, err := c.call(ctx, kv.CallGet, &callBody{Key: key})
	if err != nil {
		return kv.Record{}, err
	}
	if reply.Record == nil {
		return kv.Record{}, kv.WithCause(kv.ErrUnavailable, errIncomplete)
	}
	return *reply.Record, nil
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Record, kv.Revision, error) {
	reply, err := c.call(ctx, kv.CallList, &callBody{Prefix: prefix})
	if err != nil {
		return nil, 0, err
	}
	return reply.Records, reply.Revision, nil
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	if len(value) > kv.MaxValue {
		return 0, kv.ErrTooLarge
	}
	reply, err := c.call(ctx, kv.CallCAS, &callBody{Key: key, Revision: expect, Value: value})
	if err != nil {
		return 0, err
	}
	return reply.Revision, nil
}

// Watch implements kv.Store. It returns an error if the answer does not arrive in time:
// otherwise a connection that no longer delivers packets would look like a prefix without
// changes.
func (c *Client) Watch(ctx context.Context, prefix string, since kv.Revision) ([]kv.Record, kv.Revision, error) {
	body := &callBody{Prefix: prefix, Revision: since, WaitMillis: c.cfg.WatchWait.Milliseconds()}
	reply, err := c.call(ctx, kv.CallWatch, body)
	if ctx.Err() != nil {
		return nil, since, ctx.Err()
	}
	if err != nil {
		return nil, since, err
	}
	return reply.Records, reply.Revision, nil
}

// Acquire implements kv.Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (kv.Lease, error) {
	return c.lease(ctx, kv.CallAcquire, kv.Lease{Name: name, Holder: holder, TTL: ttl})
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, lease kv.Lease) (kv.Lease, error) {
	return c.lease(ctx, kv.CallRenew, lease)
}

// lease makes a call that returns a lease. Renewed is the time before the call is sent,
// because the platform's TTL may start at any moment after it.
func (c *Client) lease(ctx context.Context, kind kv.CallKind, lease kv.Lease) (kv.Lease, error) {
	sent := c.cfg.Now()
	reply, err := c.call(ctx, kind, &callBody{Lease: encodeLease(lease)})
	if err != nil {
		return kv.Lease{}, err
	}
	if reply.Lease == nil {
		return kv.Lease{}, kv.WithCause(kv.ErrUnknown, errIncomplete)
	}
	renewed := reply.Lease.decode()
	renewed.Renewed = sent
	return renewed, nil
}

// Release implements kv.Store.
func (c *Client) Release(ctx context.Context, lease kv.Lease) error {
	_, err := c.call(ctx, kv.CallRelease, &callBody{Lease: encodeLease(lease)})
	return err
}

// VMs implements kv.VMLister.
func (c *Client) VMs(ctx context.Context) ([]kv.VM, error) {
	reply, err := c.call(ctx, kv.CallVMs, &callBody{})
	if err != nil {
		return nil, err
	}
	return reply.VMs, nil
}
