// Package router assembles the router from its parts: the request path, the
// duties that keep it going, and the endpoints. Firms embed it through New,
// Start and Stop.
package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"tarragongw/caller"
	"tarragongw/clock"
	"tarragongw/confstore"
	"tarragongw/core/ownership"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/kv"
	"tarragongw/leasewrite/writereport"
	"tarragongw/peer"
	"tarragongw/peer/wire"
	"tarragongw/telemetry"
)

// Router is one router process.
type Router struct {
	opts  Options
	self  peer.Identity
	clock clock.Clock
	log   *slog.Logger

	tel     *telemetry.Telemetry
	admin   *telemetry.Admin
	journal *eventlog.Journal
	// retriers holds the *retrier of each service by name.
	retriers sync.Map

	// view, table and gate are the snapshots that the request path reads.
	view    atomic.Pointer[view]
	table   atomic.Pointer[ownership.Table]
	gate    atomic.Pointer[ownership.Gate]
	changes changes
	// upstreams keeps the state of the targets that this router has to do with.
	upstreams *upstreams
	lost      nameSet
	// held are the silent targets whose loss is not declared, see ownership.LossHeld.
	held nameSet

	security *security
	refusals refusals

	platform *kv.Budget
	history  *confstore.History
	editor   *confstore.Editor

	peers   *peer.Node
	caller  *caller.Server
	system  *actor.ActorSystem
	config  *configDuty
	owner   *ownerDuty
	members *memberDuty
	records *recordDuty
	// confirms has grantor records read for many routers by one.
	confirms *confirmDuty
	// isolation knows which other data centres can't be reached.
	isolation *isolation
	// surveyor knows what is not served.
	surveyor *surveyor
	health   *healthDuty
	// own refuses work while the router itself is too slow.
	own     *ownDelay
	balance *rebalanceDuty
	// quarantine refuses requests that crash targets.
	quarantine *quarantineDuty
	// past keeps the measures of the last hours; history is that of the configuration.
	past *historyDuty
	// imbalances holds the gauge of each service by name.
	imbalances sync.Map
	// storeUp is what this router last knew of the store, if it watches it.
	storeUp atomic.Bool

	callerListener   net.Listener
	operatorListener net.Listener
	operatorServer   *http.Server
	operators        http.Handler
	// operatorConns is nil where operators' certificates are not checked by files.
	operatorConns *connGuard

	running sync.WaitGroup
	// runLock guards ending, which keeps new goroutines from starting.
	runLock  sync.Mutex
	ending   bool
	lifetime context.Context
	cancel   context.CancelFunc
	workers  *duty.Workers
	// alarms are the times that duties and their calls wait for.
	alarms   alarms
	stopping atomic.Bool
	// aborted means that the router ends as a lost process does.
	aborted atomic.Bool
	// outlived means that others know a newer life of this router's name.
	outlived atomic.Bool
	// once guards the end, and report is how it went.
	once   sync.Once
	report StopReport
}

// New prepares a router: it checks the options and listens, but answers nothing
// before Start.
func New(opts Options) (*Router, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &Router{opts: opts, clock: opts.Clock, log: opts.Logger}
	r.lifetime, r.cancel = context.WithCancel(context.Background())
	r.workers = duty.NewWorkers(r.lifetime)
	r.table.Store(ownership.NewTable())
	r.upstreams = newUpstreams(r)
	if r.security, err = openSecurity(&opts); err != nil {
		return nil, err
	}
	r.buildTelemetry()
	r.buildPlatform()
	r.takeIncarnation()
	if err := r.listen(); err != nil {
		r.closeListeners()
		return nil, err
	}
	r.buildCaller()
	r.buildDuties()
	return r, nil
}

// Start answers callers, operators and routers and returns at once.
func (r *Router) Start() {
	writereport.Start(r.tel, r.log, "a suspended router may send one request late to targets that check nothing")
	r.health.open()
	r.config.start()
	r.confirms.start()
	r.owner.start()
	r.records.start()
	r.members.start()
	r.run(r.pulse)
	r.balance.start()
	r.own.start()
	r.run(r.quarantine.run)
	r.peers.Start(r)
	r.run(func() { r.serveOn("callers", r.caller.Serve, r.callerListener) })
	r.run(func() { r.serveOn("operators", r.serveOperators, r.operatorListener) })
	r.run(r.watchKeys)
	r.run(r.watchDatagrams)
}

// run starts a goroutine that the end waits for. Once the end has begun it does
// nothing: duties still work off their mailboxes then, and what they start would
// outlive the router.
func (r *Router) run(f func()) {
	r.runLock.Lock()
	defer r.runLock.Unlock()
	if r.ending {
		return
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		f()
	}()
}

// awaitRunning begins the end and waits for what runs.
func (r *Router) awaitRunning() {
	r.runLock.Lock()
	r.ending = true
	r.runLock.Unlock()
	r.running.Wait()
}

func (r *Router) serveOn(what string, serve func(net.Listener) error, l net.Listener) {
	err := serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.log.Error("listener failed", "for", what, "error", err)
	}
}

// Addresses are where a router listens.
type Addresses struct {
	Caller   string
	Operator string
	Peer     string
}

// Addresses returns where the router listens.
func (r *Router) Addresses() Addresses {
	return Addresses{
		Caller:   r.callerListener.Addr().String(),
		Operator: r.operatorListener.Addr().String(),
		Peer:     r.self.Address,
	}
}

// Control implements peer.Handler.
func (r *Router) Control(from peer.Identity, kind string, payload []byte) {
	switch kind {
	case kindOwnership:
		r.owner.receive(from, payload)
	case kindClaim:
		r.owner.receiveClaim(payload)
	case kindDead:
		r.owner.duty.Tell(ownership.DeadConfirmed{Target: string(payload)})
	case kindSpread:
		r.records.receive(from, payload)
	case kindMembership:
		r.members.receive(from, payload)
	case wire.KindConfirm:
		r.confirms.receive(from, payload)
	case kindQuarantine, kindObservations:
		r.quarantine.receive(from, kind, payload)
	case wire.KindLoad, wire.KindCompactLoad, wire.KindMoves:
		r.balance.receive(from, kind, payload)
	}
}

// readiness is the cause for which the balancer is to send no work, or nil.
func (r *Router) readiness() error {
	if r.stopping.Load() {
		return errors.New("stopping")
	}
	if r.outlived.Load() {
		return errOutlived
	}
	if r.view.Load() == nil {
		return errors.New("no configuration yet")
	}
	if !r.records.joined.Load() {
		return errors.New("no whole view of the records yet")
	}
	return nil
}

// Name returns the router's name.
func (r *Router) Name() string { return r.self.Name }

// DataCentre returns the router's data centre.
func (r *Router) DataCentre() string { return r.self.DataCentre }

// Causes returns why the router is not ready; none where it is.
func (r *Router) Causes() []string { return r.admin.NotReadyCauses() }

// Ready reports whether the router can serve: it has a configuration, and each
// unit of keys has an owner with a grantor.
func (r *Router) Ready() bool { return len(r.Causes()) == 0 && r.routesKnown() }

func (r *Router) routesKnown() bool {
	s, _ := r.surveyor.now()
	return s.unservedUnits() == 0 && len(s.orphans) == 0
}
