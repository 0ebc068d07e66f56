package gateway

import "tarragongw/peer/feed"

// updateHandler handles the updates that one leader sends to this router.
type updateHandler struct {
	subscription *subscription
	leader       leaderStatus
	// current is set if the leader reached the store when it sent its last update.
	current bool
	// tellsEvacuations is set once the leader has told which data centres are evacuated.
	tellsEvacuations bool
	// askedStore is set once the store was asked in place of the leader, which may be of an earlier version.
	askedStore bool
}

func (h *updateHandler) handle(u *feed.Update) {
	// Before the update can make this router ready.
	if u.Quarantine != nil {
		h.subscription.g.guard.Adopt(u.Quarantine)
	}
	if u.TargetLimits != nil {
		h.subscription.g.statedLimits.setListed(u.TargetLimits.Limits, h.leader.name)
	}
	h.subscription.g.statedLimits.leaderHeard(h.leader.name)
	if u.Leaving != nil {
		h.subscription.g.statedLeaving.hear(u.Leaving.Targets, h.leader.name)
	}
	h.subscription.g.statedLimits.handlePermits(u.Permits)
	if u.Relays != nil {
		h.subscription.g.paths.setRelays(u.Relays.Relays)
	}
	if u.Contacts != nil {
		h.subscription.g.contacts.set(u.Contacts)
	}
	if u.Standbys != nil {
		h.subscription.g.succession.setStandbys(u.Standbys.Routers)
	}
	if u.Stale {
		h.handleStale(u)
		return
	}
	sub := h.subscription
	if !h.current || !sub.isSubscribed() && h.isRecent(u) {
		h.current = true
		sub.g.log.Info("fed", "leader", h.leader.name, "term", h.leader.revision, "confirmed", sub.g.configAge.age())
		sub.setConnected(true)
		sub.stopWatching()
		sub.g.membership.renewNow()
	}
	sub.g.share.counted(u.Routers)
	sub.checkConfigVersion(u.ConfigVersion)
	sub.g.setServiceTimes(u.ServiceTimes)
	sub.g.setLimits(u.Limits)
	if u.Evacuations != nil {
		h.tellsEvacuations = true
	} else if !h.tellsEvacuations && !h.askedStore && sub.g.evacuates() {
		h.askedStore = true
		sub.g.goRun(sub.refreshConfig)
	}
	if u.TargetsComplete || u.Evacuations != nil || len(u.Targets)+len(u.RemovedTargets)+len(u.Tables)+len(u.ConfigValue) > 0 || u.Routers > 0 && u.Routers != sub.g.routerCount() {
		sub.g.state.duty.Tell(u)
	}
	if u.Confirmed {
		sub.g.state.duty.Tell(&stateConfirmed{config: true, version: u.ConfigVersion, at: u.ConfirmedAt, targets: true, evacuations: h.tellsEvacuations})
	}
}

// isRecent reports whether the update confirms the state in time, so that the feed can replace the
// watches on the store.
func (h *updateHandler) isRecent(u *feed.Update) bool {
	g := h.subscription.g
	return !u.Confirmed || g.opts.Clock.Now()-u.ConfirmedAt < g.stateAge.overdueAfter()
}

// handleStale handles an update of a leader that can't reach the store. It contains at most key tables.
func (h *updateHandler) handleStale(u *feed.Update) {
	sub := h.subscription
	if h.current || !sub.setConnected(true) {
		sub.g.log.Info("leader doesn't hear from the store", "leader", h.leader.name, "term", h.leader.revision)
		sub.g.membership.probeNow()
	}
	if h.current {
		sub.searchLeader(staleSearchDelay)
	}
	h.current = false
	sub.scheduleFallback(fallbackDelay())
	if len(u.Tables) > 0 {
		sub.g.state.duty.Tell(u)
	}
}
