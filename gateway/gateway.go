// Package gateway implements a router for a platform whose store has leases and transactions, and
// whose targets check themselves which keys they hold. Each router sends requests directly to the
// holder of their key, without other routers on the way. One router at a time, the leader, assigns
// the keys. All durable state is in the store.
package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"tarragongw/caller"
	"tarragongw/core/directory"
	"tarragongw/core/routes"
	"tarragongw/crashguard"
	"tarragongw/duty"
	"tarragongw/leasewrite/writereport"
	"tarragongw/peer/relay"
)

// Gateway is one router process.
type Gateway struct {
	opts    Options
	log     *slog.Logger
	system  *actor.ActorSystem
	workers *duty.Workers

	// view is the configuration in force, and formerView the one before, for requests that were matched by it.
	view         atomic.Pointer[view]
	formerView   atomic.Pointer[view]
	handler      *caller.Handler
	callers      *caller.Server
	pools        *pools
	state        *clusterState
	leader       *leader
	membership   *membership
	subscription *subscription
	gate         storeGate
	// configAge is the age of the configuration, which other routers may confirm, and stateAge that of everything
	// that a feed replaces.
	configAge, stateAge *stateAge
	configFresh         *freshness
	sends               *sendLimits
	share               *routerShare
	contacts            *contacts
	succession          succession
	sizes               sizes
	stopEnd             stopEnd
	callerAges          callerAges
	guard               *crashguard.Guard
	statements          *statements
	identities          identities
	rests               *rests
	statedLeaving       *statedLeaving
	statedLimits        *statedLimits
	unreadStatements    *unreadStatements
	// paths are this router's ways to the targets, relays the routers through which others may reach
	// them, kept while this router leads, and relayServer passes on connections for others.
	paths       *paths
	relays      *relayDirectory
	relayServer *relay.Server
	// quarantineRecord is what this router writes to the store while it leads.
	quarantineRecord quarantineRecord
	leadCost         leadCost

	mu       sync.RWMutex
	services map[string]*service
	targets  []directory.Target
	// evacuated has the evacuations that are in force, an []evacuation.Evacuation.
	evacuated atomic.Value
	routers   atomic.Int64
	// highestCount is the highest number of routers that was counted in the last countHold; zero if unknown.
	highestCount atomic.Int64
	// tables are the newest key tables, a feed.Table by service.
	tables sync.Map

	eraMu    sync.Mutex
	eraState eraState

	// leading is set while this router leads.
	leading atomic.Bool
	// synced is set once the configuration and the targets are known; firstSync is closed then.
	// stopping is set when the router is asked to stop.
	synced, stopping atomic.Bool
	firstSync        chan struct{}

	callerListener, readyListener, metricsListener, peerListener net.Listener
	readyServer, metricsServer                                   *http.Server

	lifetime context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// New creates a router and opens its listeners; it serves nothing before Start.
func New(opts Options) (*Gateway, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Gateway{opts: opts, log: opts.Logger, services: map[string]*service{}, firstSync: make(chan struct{})}
	g.lifetime, g.cancel = context.WithCancel(context.Background())
	g.configAge, g.stateAge = newStateAge(g, "configuration", confirmReserve), newStateAge(g, "state", readReserve)
	g.configAge.leaderReserve = confirmReserve + leaderHeadStart
	g.sends = newSendLimits(g)
	g.configFresh = newFreshness(g, "configuration", g.configAge.limit(), func() error { return g.subscription.fetchConfig() })
	g.share = newRouterShare(g)
	g.contacts = newContacts(g)
	g.workers = duty.NewWorkers(g.lifetime)
	g.system = duty.NewSystem(g.log)
	g.pools = newPools(opts.Adapter.Dialect, g.observeAnswer, g.identities.confirm, g.countOpened)
	g.pools.sendLimit = g.sends.writeUntil
	g.paths = newPaths(g)
	g.pools.dialDirect, g.pools.dialRelayed = g.paths.directDialer, g.paths.relayedDialer
	g.relays = newRelayDirectory(g)
	g.relayServer = g.newRelayServer()
	g.guard = newGuard(g)
	g.statedLimits = newStatedLimits(g)
	g.rests = newRests(g)
	g.statedLeaving = newStatedLeaving(g)
	g.statements = newStatements(g)
	g.unreadStatements = &unreadStatements{g: g, known: map[string]bool{}}
	g.handler = caller.NewHandler(g.callerConfig(nil), g, observer{g})
	if err := g.listen(); err != nil {
		g.cancel()
		return nil, err
	}
	return g, nil
}

// callerConfig returns the configuration of the server for callers; limits are those of the operators,
// nil if unknown.
func (g *Gateway) callerConfig(limits *routes.CallerLimits) caller.Config {
	c := caller.Config{
		RequestIDHeader:  http.CanonicalHeaderKey(g.opts.Adapter.Headers.RequestID),
		OmitAddedHeaders: true, KeepRequestID: true, StrictPrefixes: true, FractionalRetryAfter: true, StatusImpliesNotRun: true, CloseAfterAnswer: g.stopping.Load, Logger: g.log,
		BeforeRouting: g.configFresh.await, MaxPipelined: lookAhead, AwaitPlacement: true, DeadlineMargin: answerMargin,
		LimitAnswers: true,
	}
	if limits != nil {
		c.ReadHeaderTimeout, c.IdleTimeout, c.MaxHeaderBytes = limits.HeaderTimeout, limits.IdleTimeout, limits.HeaderBytes
	}
	return c
}

// lookAhead is how many pipelined requests of a connection are served in addition to the one whose
// turn it is: about as many as a target works on at once, so that one caller doesn't fill a target.
const lookAhead = 6

// answerMargin is how long before its deadline a caller is told that the time is over. It covers the
// way to a caller in another region and a short wait for this router's processor.
const answerMargin = 40 * time.Millisecond

func (g *Gateway) listen() error {
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{g.opts.CallerAddress, &g.callerListener}, {g.opts.ReadyAddress, &g.readyListener}, {g.opts.MetricsAddress, &g.metricsListener},
		{g.opts.PeerAddress, &g.peerListener},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = listener
	}
	return nil
}

// Start starts to follow the store and to serve.
func (g *Gateway) Start() {
	g.leader = newLeader(g)
	g.membership = newMembership(g)
	g.state = newClusterState(g)
	g.subscription = newSubscription(g)
	g.configAge.start(g.subscription.recheckConfig)
	g.stateAge.start(g.subscription.recheckState)
	g.subscription.exportWatchAges()
	g.goRun(g.subscription.run)
	if g.peerListener != nil {
		g.goRun(g.serveFollowers)
	}
	g.goRun(func() { g.membership.run(g.lifetime) })
	g.serveReady()
	g.serveMetrics()
	g.goRun(g.serveCallers)
	g.log.Info("started", "router", g.opts.Name, "data_centre", g.opts.DataCentre, "callers", g.opts.CallerAddress)
	writereport.Start(g.opts.Telemetry, g.log, "a suspended leader may give one order late")
}

func (g *Gateway) goRun(f func()) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		f()
	}()
}

func (g *Gateway) startDuty(handle func(message any)) *duty.Duty {
	return duty.Start(g.system, g.workers, g.opts.Mailbox, false, handle)
}

// firstConfigTimeout is how long callers' connections wait for the first configuration, so that the
// server has the configured limits from its start. After that, requests are answered "not ready".
const firstConfigTimeout = 1500 * time.Millisecond

func (g *Gateway) serveCallers() {
	timer := time.NewTimer(firstConfigTimeout)
	defer timer.Stop()
	select {
	case <-g.firstSync:
	case <-timer.C:
	case <-g.lifetime.Done():
		return
	}
	var limits *routes.CallerLimits
	if v := g.view.Load(); v != nil {
		limits = &v.config.Limits
	}
	g.mu.Lock()
	g.callers = caller.NewServerWith(g.handler, g.callerConfig(limits))
	g.mu.Unlock()
	if err := g.callers.Serve(g.callerListener); err != nil {
		g.log.Error("server for callers failed", "err", err)
	}
}

// setSynced records whether the configuration and the targets are known; once set, it stays set.
func (g *Gateway) setSynced(synced bool) {
	if !synced || g.synced.Swap(true) {
		return
	}
	close(g.firstSync)
	g.log.Info("ready")
}

// routerCount returns the number of routers; one if unknown.
func (g *Gateway) routerCount() int { return max(g.countedRouters(), 1) }

// countedRouters returns the number of routers; zero if unknown.
func (g *Gateway) countedRouters() int { return int(g.routers.Load()) }

// recentRouters returns the highest number of routers of the last countHold; zero if unknown. A lower count may be
// that of a store that has lost records, and all routers would take more than their part by it.
func (g *Gateway) recentRouters() int { return max(int(g.highestCount.Load()), g.countedRouters()) }

func (g *Gateway) setRouters(n int) {
	if before := g.routers.Swap(int64(n)); before != int64(n) {
		g.log.Info("limits divided anew", "routers", n, "before", before)
	}
	g.share.counted(n)
}

// service returns the service with the name, or nil.
func (g *Gateway) service(name string) *service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[name]
}

// setServices sets the services of a configuration; services that remain keep their state.
func (g *Gateway) setServices(c *routes.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	services, limits := make(map[string]*service, len(c.Services)), g.statedLimits.current()
	for _, spec := range c.Services {
		s := g.services[spec.Name]
		if s == nil || s.byKey != spec.ByKey {
			s = newService(spec, &g.opts, g.newBudget(), g.logReach)
			s.setShare(g.share.current())
			s.setTargetLimits(limitsOf(spec.Name, limits))
		}
		s.limitCold(g.opts.Cold.Rate(spec.WarmupRate))
		services[spec.Name] = s
	}
	g.services = services
}

// setTargets passes the targets on to their services.
func (g *Gateway) setTargets(targets []directory.Target) {
	g.mu.Lock()
	g.targets = targets
	services := g.services
	g.mu.Unlock()
	byService := map[string][]directory.Target{}
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	for name, s := range services {
		s.setTargets(byService[name])
	}
	g.pools.retain(targets)
	g.paths.setTargets(targets)
}

// connLimit returns how many connections this router may have to one target of the service.
func (g *Gateway) connLimit(name string) int {
	v := g.view.Load()
	if v == nil {
		return minConns
	}
	spec := v.config.Service(name)
	if spec == nil || spec.MaxConns <= 0 {
		return defaultConns
	}
	return connsPerRouter(spec.MaxConns, cmp.Or(g.recentRouters(), assumedRouters))
}

// healthPath returns the path of the service's health check; empty if it has none.
func (g *Gateway) healthPath(name string) string {
	v := g.view.Load()
	if v == nil {
		return ""
	}
	if spec := v.config.Service(name); spec != nil {
		return spec.HealthPath
	}
	return ""
}

// sparesCold reports whether the service's cold targets bear fewer requests than others.
func (g *Gateway) sparesCold(name string) bool {
	v := g.view.Load()
	if v == nil {
		return false
	}
	spec := v.config.Service(name)
	return spec != nil && g.opts.Cold.Rate(spec.WarmupRate) > 0
}

// defaultConns is the limit if the configuration sets none.
const defaultConns = 8
