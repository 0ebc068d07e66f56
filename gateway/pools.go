package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	// maxAnswerHeadBytes bounds the head of a target's answer. Parsed header lines take many times their length.
	maxAnswerHeadBytes = 64 << 10
	// connShare is the share of a target's connections that is divided among the routers. The rest
	// is for grants, health checks, and changes of the number of routers.
	connShare = 0.8
	// minConns is the least number of connections of a router to a target, even if many routers share
	// few connections.
	minConns = 2
	// relayedConnDivisor is how much smaller the share of a router is for connections through other
	// routers: the target may still hold the router's own ones, which a cut has left open.
	relayedConnDivisor = 2
)

// pools has a connection pool for each instance of each target.
type pools struct {
	dialect target.Dialect
	// dialDirect and dialRelayed return the functions that open connections to a target.
	dialDirect, dialRelayed func(t *directory.Target) dialFunc
	// observeAnswer is called with the header of each answer of a target, and with when the request was sent.
	observeAnswer answerObserver
	// confirm is called once for each pool whose target has answered a request with a success.
	confirm func(t *directory.Target)
	// connOpening is called for each connection that is opened, with the cause.
	connOpening func(service string, cause target.OpenCause)

	mu  sync.Mutex
	all map[poolID]*targetPool
	// sendLimit returns until when a request may be sent to a target, see target.AttemptOptions.LeaseExpiry.
	sendLimit func(t *directory.Target, started bool) time.Duration
}

// targetPool is the pool of one instance of a target, with until when requests may be sent to it.
type targetPool struct {
	*target.Pool
	sendLimit func(started bool) time.Duration
}

// answerObserver is called with the header of a target's answer to a request that was sent at a time.
type answerObserver = func(t *directory.Target, resp *http.Response, sentAt time.Time)

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// poolID identifies a pool: one instance of a target at one address, and whether it is reached through
// another router.
type poolID struct {
	target  directory.Target
	relayed bool
}

func newPools(
	dialect target.Dialect, observeAnswer answerObserver, confirm func(*directory.Target), connOpening func(string, target.OpenCause),
) *pools {
	return &pools{dialect: dialect, observeAnswer: observeAnswer, confirm: confirm, connOpening: connOpening, all: map[poolID]*targetPool{}}
}

// poolKey returns the identity of one instance of a target at one address.
func poolKey(t *directory.Target) directory.Target {
	return directory.Target{ID: t.ID, StartUnixMilli: t.StartUnixMilli, Address: t.Address, Service: t.Service}
}

// get returns the target's pool; maxConns bounds the connections of this router to it.
func (p *pools) get(t *directory.Target, maxConns int, relayed bool) (*targetPool, error) {
	id := poolID{poolKey(t), relayed}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.all[id]; pool != nil {
		return pool, nil
	}
	dialect := p.dialect
	var confirmed atomic.Bool
	dialect.Observe = func(resp *http.Response, sentAt time.Time) {
		if resp.StatusCode < http.StatusMultipleChoices && !confirmed.Load() {
			confirmed.Store(true)
			p.confirm(&id.target)
		}
		p.observeAnswer(&id.target, resp, sentAt)
	}
	dial := p.dialDirect
	if relayed {
		dial, maxConns = p.dialRelayed, maxConns/relayedConnDivisor
	}
	pool, err := target.New(target.PoolConfig{
		Address: t.Address, MaxConns: max(maxConns, minConns), ControlConns: -1, MaxIdle: maxIdle,
		DialTimeout: dialTimeout, ProgressTimeout: progressTimeout, Dialect: dialect, Wait: -1, Dial: dial(&id.target),
		MaxHeaderBytes: maxAnswerHeadBytes,
		OnDial:         func(cause target.OpenCause) { p.connOpening(id.target.Service, cause) },
	})
	if err != nil {
		return nil, errors.Wrapf(err, "connections to target %s", t.ID)
	}
	created := &targetPool{pool, func(started bool) time.Duration { return p.sendLimit(&id.target, started) }}
	p.all[id] = created
	return created, nil
}

// closeIdle closes the idle connections of the pools for which the function returns true.
func (p *pools) closeIdle(matches func(id *poolID) bool) {
	p.mu.Lock()
	var matched []*targetPool
	for id, pool := range p.all {
		if matches(&id) {
			matched = append(matched, pool)
		}
	}
	p.mu.Unlock()
	for _, pool := range matched {
		pool.CloseIdle()
	}
}

// retain closes the pools of all targets but the given ones; requests in flight continue.
func (p *pools) retain(targets []directory.Target) {
	present := make(map[directory.Target]bool, len(targets))
	for i := range targets {
		present[poolKey(&targets[i])] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pool := range p.all {
		if !present[id.target] {
			pool.Close()
			delete(p.all, id)
		}
	}
}

func (p *pools) closeAll() { p.retain(nil) }

// connsPerRouter returns a router's share of the connections that a target accepts from all routers.
func connsPerRouter(maxConns, routers int) int {
	return max(int(float64(maxConns)*connShare)/max(routers, 1), minConns)
}
