package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/directory"
	"tarragongw/peer/feed"
	"tarragongw/peer/relay"
)

const (
	// relayPenalty is for how long a router that can't be reached is not used as a relay.
	relayPenalty = time.Second
	// maxRelayTries is how many routers are asked for one connection.
	maxRelayTries = 2
)

// setRelays sets the routers through which targets may be reached.
func (p *paths) setRelays(relays []feed.Relay) {
	others := slices.DeleteFunc(slices.Clone(relays), func(r feed.Relay) bool { return r.Name == p.g.opts.Name })
	p.mu.Lock()
	gone := slices.ContainsFunc(p.relays, func(old feed.Relay) bool {
		return !slices.ContainsFunc(others, func(r feed.Relay) bool { return r.Router == old.Router })
	})
	p.relays = others
	maps.DeleteFunc(p.relayNotBefore, func(_ string, until time.Time) bool { return time.Now().After(until) })
	lost := p.tracker.Lost()
	p.mu.Unlock()
	if gone {
		p.g.pools.closeIdle(func(id *poolID) bool { return id.relayed })
	}
	p.retry(lost)
}

// errRelayed marks errors of connections through other routers.
var errRelayed = errors.New("through another router")

// relayedDialer returns the function that opens connections to a target through other routers.
func (p *paths) relayedDialer(t *directory.Target) dialFunc {
	target := *t
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, err := p.dialRelayed(ctx, &target)
		p.mu.Lock()
		defer p.mu.Unlock()
		switch {
		case err == nil:
			p.tracker.RelaySucceeded(target.ID)
			return conn, nil
		case ctx.Err() == nil:
			p.tracker.RelayFailed(time.Now(), target.ID)
		}
		return nil, err
	}
}

// dialRelayed opens a connection through one of some routers. The error wraps syscall.ECONNREFUSED only if
// the target refused all of them: one that is cut off itself may be refused, too.
func (p *paths) dialRelayed(ctx context.Context, t *directory.Target) (*relay.Conn, error) {
	var failed error
	for _, r := range p.relaysTo(t) {
		conn, err := relay.Dial(ctx, r.Address, p.relayRequest(t))
		if err == nil {
			return conn, nil
		}
		p.g.log.Info("relay failed", "target", t.ID, "relay", r.Name, "err", err)
		if errors.Is(err, relay.ErrRouterUnreached) || errors.Is(err, relay.ErrUnavailable) {
			p.mu.Lock()
			p.relayNotBefore[r.Name] = time.Now().Add(relayPenalty)
			p.mu.Unlock()
		}
		if failed == nil || errors.Is(failed, syscall.ECONNREFUSED) {
			failed = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if failed == nil {
		failed = errors.New("no router is known to reach the target")
	}
	return nil, &relayedError{failed}
}

// relayedError is the error of a connection through another router.
type relayedError struct{ error }

// Is makes it an errRelayed.
func (e *relayedError) Is(target error) bool { return target == errRelayed }

// Unwrap returns the error of the connection.
func (e *relayedError) Unwrap() error { return e.error }

func (p *paths) relayRequest(t *directory.Target) *relay.Request {
	return &relay.Request{
		Router: p.g.opts.Name, Connection: fmt.Sprintf("%s/%d", p.g.opts.Name, p.connections.Add(1)),
		Service: t.Service, Target: t.ID, StartUnixMilli: t.StartUnixMilli,
	}
}

// relaysTo returns the routers to ask for a connection to the target, those of this router's data centre
// first and otherwise in random order.
func (p *paths) relaysTo(t *directory.Target) []feed.Relay {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []feed.Relay
	for i := range p.relays {
		if r := &p.relays[i]; !now.Before(p.relayNotBefore[r.Name]) && r.Reaches(t) {
			usable = append(usable, *r)
		}
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b feed.Relay) int { return p.distance(&a) - p.distance(&b) })
	return usable[:min(len(usable), maxRelayTries)]
}

func (p *paths) distance(r *feed.Relay) int {
	if r.DataCentre == p.g.opts.DataCentre {
		return 0
	}
	return 1
}

// dialCheck opens a connection that shows whether a target has ended. A refusal on a lost path proves
// nothing; another router is asked then.
func (p *paths) dialCheck(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.g.opts.DialTarget(ctx, network, address)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return conn, err
	}
	p.mu.Lock()
	var lost *directory.Target
	for _, t := range p.targets {
		if t.Address == address && p.tracker.IsLost(t.ID) {
			lost = &t
			break
		}
	}
	p.mu.Unlock()
	if lost == nil {
		return nil, err
	}
	relayed, err := p.dialRelayed(ctx, lost)
	if err != nil {
		return nil, err
	}
	return relayed, nil
}
