package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/target"
)

const (
	// dialTimeout bounds opening a connection to a target within a data centre or a region,
	// with room for one lost packet.
	dialTimeout = 350 * time.Millisecond
	// progressTimeout is how long a target may make no progress with a request. The requests'
	// deadlines are shorter, so it only ends requests without a deadline.
	progressTimeout = 60 * time.Second
	// maxIdle is how long a connection may be idle; most targets would close it later.
	maxIdle = dispatch.IdleConnTimeout
	// connShare is the share of a target's connections that is divided among the routers. The rest
	// is for grants, health checks, and changes of the number of routers.
	connShare = 0.8
	// minConns is the least number of connections of a router to a target, even if many routers share
	// few connections.
	minConns = 2
)

// pools has a connection pool for each instance of each target.
type pools struct {
	dialect target.Dialect
	// dial opens connections to targets; nil means a net.Dialer.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// observeAnswer is called with the header of each answer of a target.
	observeAnswer func(t *directory.Target, h http.Header)
	// connOpening is called for each connection that is opened, with the cause.
	connOpening func(service string, cause target.OpenCause)

	mu  sync.Mutex
	all map[directory.Target]*target.Pool
}

func newPools(
	dialect target.Dialect, observeAnswer func(*directory.Target, http.Header), connOpening func(string, target.OpenCause),
) *pools {
	return &pools{dialect: dialect, observeAnswer: observeAnswer, connOpening: connOpening, all: map[directory.Target]*target.Pool{}}
}

// poolKey returns the key of a pool: one instance of a target at one address.
func poolKey(t *directory.Target) directory.Target {
	return directory.Target{ID: t.ID, StartUnixMilli: t.StartUnixMilli, Address: t.Address, Service: t.Service}
}

// get returns the target's pool; maxConns bounds the connections of this router to it.
func (p *pools) get(t *directory.Target, maxConns int) (*target.Pool, error) {
	id := poolKey(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.all[id]; pool != nil {
		return pool, nil
	}
	dialect := p.dialect
	dialect.Observe = func(h http.Header) { p.observeAnswer(&id, h) }
	pool, err := target.New(target.PoolConfig{
		Address: t.Address, MaxConns: max(maxConns, minConns), ControlConns: -1, MaxIdle: maxIdle,
		DialTimeout: dialTimeout, ProgressTimeout: progressTimeout, Dialect: dialect, Dial: p.dial, Wait: -1,
		OnDial: func(cause target.OpenCause) { p.connOpening(id.Service, cause) },
	})
	if err != nil {
		return nil, errors.Wrapf(err, "connections to target %s", t.ID)
	}
	p.all[id] = pool
	return pool, nil
}

// retain closes the pools of all targets but the given ones; requests in flight continue.
func (p *pools) retain(targets []directory.Target) {
	present := make(map[directory.Target]bool, len(targets))
	for i := range targets {
		present[poolKey(&targets[i])] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pool := range p.all {
		if !present[key] {
			pool.Close()
			delete(p.all, key)
		}
	}
}

func (p *pools) closeAll() { p.retain(nil) }

// connsPerRouter returns a router's share of the connections that a target accepts from all routers.
func connsPerRouter(maxConns, routers int) int {
	return max(int(float64(maxConns)*connShare)/max(routers, 1), minConns)
}
