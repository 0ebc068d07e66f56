package router

import (
	"net"

	"github.com/pkg/errors"

	"tarragongw/caller"
	"tarragongw/confstore"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/kv"
	"tarragongw/operator"
	"tarragongw/peer"
	"tarragongw/telemetry"
)

func (r *Router) buildTelemetry() {
	s := r.opts.Settings
	r.tel = telemetry.New(telemetry.Config{
		Tags:       map[string]string{"router": s.Name, "data_centre": s.DataCentre},
		TopCallers: s.Limits.MetricCallers,
	})
	r.admin = telemetry.NewAdmin(r.tel.Handler())
	r.admin.AddReadinessCheck("router", r.readiness)
	r.journal = eventlog.New(eventlog.Config{Capacity: s.Limits.JournalEvents, Logger: r.log})
}

// StorePrefix is the part of the store that is the routers'.
const StorePrefix = "tarragongw/"

// readsPerWrite is the proportion of the platform's two rates.
const readsPerWrite = 4

func (r *Router) buildPlatform() {
	rate := r.opts.Settings.Store.CallsPerSecond
	r.platform = kv.NewBudget(kv.Prefixed(r.opts.Store, StorePrefix), r.opts.Directory, kv.BudgetConfig{
		Reads:    kv.Rate{PerSecond: rate, Burst: int(2 * rate)},
		Writes:   kv.Rate{PerSecond: rate / readsPerWrite, Burst: int(rate)},
		Observer: r.tel,
	})
	r.history = &confstore.History{}
	r.editor = &confstore.Editor{Store: r.platform.For(kv.Configuration), History: r.history}
}

// listen opens the three listeners.
func (r *Router) listen() error {
	s := r.opts.Settings
	var err error
	if r.callerListener, err = net.Listen("tcp", s.Listen.Caller); err != nil {
		return errors.Wrap(err, "listen for callers (listen.caller)")
	}
	if r.operatorListener, err = net.Listen("tcp", s.Listen.Operator); err != nil {
		return errors.Wrap(err, "listen for operators (listen.operator)")
	}
	if r.peers, err = peer.New(r.peerConfig()); err != nil {
		return errors.Wrap(err, "listen for routers (listen.peer)")
	}
	r.self = r.peers.Self()
	return nil
}

func (r *Router) peerConfig() peer.Config {
	s := r.opts.Settings
	return peer.Config{
		Self: peer.Identity{
			Name:        s.Name,
			DataCentre:  s.DataCentre,
			Incarnation: r.opts.Incarnation,
			Address:     s.Listen.PeerAdvertised,
		},
		Listen:     s.Listen.Peer,
		TLS:        r.security.peerTLS,
		DialTLS:    r.security.dialPeer,
		VerifyPeer: r.security.verifyPeer,
		OnRefused:  r.peerRefused,

		OnDialFailed:     r.peerDialFailed,
		Accepts:          r.security.acceptsPeer,
		Revoked:          isRevoked,
		OnSessionRefused: func(remote peer.Identity, cause error) { r.connectionRefused(sidePeers, remote.Name, cause) },
		EndLimit:         s.Drain.Limit,

		Incarnation: r.knownIncarnation,
		OnOutlived:  func(incarnation uint64) { r.members.outlived(incarnation) },
		DialTimeout: s.Timers.Dial,
		Dial:        r.opts.DialPeer,
		NoDatagrams: r.opts.NoPeerDatagrams || !s.Listen.PeerDatagrams,
		Logger:      r.log.With("component", "peer"),
		Scope:       r.tel.Scope().SubScope("peer"),
	}
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.callerListener, r.operatorListener} {
		if l != nil {
			// A listener that was never served has nothing to lose.
			_ = l.Close()
		}
	}
}

func (r *Router) buildCaller() {
	limits := r.opts.Settings.Limits
	r.own = newOwnDelay(r)
	cfg := caller.Config{
		MaxHeaderBytes: int(limits.HeaderSize),
		MaxRequests:    limits.InFlight,
		Admit:          r.own.admit,
		Logger:         r.log.With("component", "caller"),
	}
	r.checkCallers(&cfg)
	handler := caller.NewHandler(cfg, r, &observer{r})
	r.caller = caller.NewServer(handler, r.security.callerTLS)
	r.operators = operator.NewHandler(&backend{r})
	r.admin.Handle("/v1/", r.operators)
	r.operatorServer = r.newOperatorServer()
}

func (r *Router) buildDuties() {
	r.system = duty.NewSystem(r.log)
	r.config = newConfigDuty(r)
	r.owner = newOwnerDuty(r)
	r.members = newMemberDuty(r)
	r.records = newRecordDuty(r)
	r.confirms = newConfirmDuty(r)
	r.isolation = newIsolation(r)
	r.surveyor = &surveyor{r: r}
	r.addMetrics()
	r.addStatus()
	r.health = newHealthDuty(r)
	r.balance = newRebalanceDuty(r)
	r.past = newHistoryDuty(r)
	r.quarantine = newQuarantineDuty(r)
}
