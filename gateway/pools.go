package gateway

import (
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
	// progressTimeout is the longest silence of a target at work; the times of the requests
	// are shorter. It only ends what has none.
	progressTimeout = 60 * time.Second
	// maxIdle closes connections that rested, before most targets would.
	maxIdle = dispatch.RestTime
	// connShare is the part of a target's connections that the routers share out; the rest
	// is for grants, checks, and routers that come and go.
	connShare = 0.8
	// minConns lets a router work at a target at all where many share few connections.
	minConns = 2
)

// pools keeps the connections to each life of each target.
type pools struct {
	dialect target.Dialect
	// observe is given the header of each answer of a target.
	observeAnswer func(t *directory.Target, h http.Header)
	// opening is told of each connection that is opened, and why.
	connOpening func(service string, cause target.OpenCause)

	mu  sync.Mutex
	all map[directory.Target]*target.Pool
}

func newPools(
	dialect target.Dialect, observeAnswer func(*directory.Target, http.Header), connOpening func(string, target.OpenCause),
) *pools {
	return &pools{dialect: dialect, observeAnswer: observeAnswer, connOpening: connOpening, all: map[directory.Target]*target.Pool{}}
}

// identity is what a pool belongs to: one life of a target at one address.
func poolKey(t *directory.Target) directory.Target {
	return directory.Target{ID: t.ID, Born: t.Born, Address: t.Address, Service: t.Service}
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
		DialTimeout: dialTimeout, ProgressTimeout: progressTimeout, Dialect: dialect, Wait: -1,
		Opening: func(cause target.OpenCause) { p.connOpening(id.Service, cause) },
	})
	if err != nil {
		return nil, errors.Wrapf(err, "connections to target %s", t.ID)
	}
	p.all[id] = pool
	return pool, nil
}

// retain closes the pools of targets that are not there any more; work in flight goes on.
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

// connsFor is this router's part of the connections that a target takes from all.
func connsPerRouter(maxConns, routers int) int {
	return max(int(float64(maxConns)*connShare)/max(routers, 1), minConns)
}
