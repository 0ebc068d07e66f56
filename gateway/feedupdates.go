package gateway

import "tarragongw/peer/feed"

// updateHandler handles the updates that one leader sends to this router.
type updateHandler struct {
	f      *subscription
	leader leaderStatus
	// current is set if the leader reached the store when it sent its last update.
	current bool
}

func (h *updateHandler) handle(u *feed.Update) {
	if u.Stale {
		h.handleStale(u)
		return
	}
	f := h.f
	if !h.current {
		h.current = true
		f.g.log.Info("fed", "leader", h.leader.name, "term", h.leader.revision)
		f.setConnected(true)
		f.stopWatching()
		f.g.membership.renewNow()
	}
	f.checkConfigVersion(u.Config)
	f.g.setServiceTimes(u.ServiceTimes)
	f.g.setLimits(u.Limits)
	if u.Whole || len(u.Targets)+len(u.Gone)+len(u.Tables)+len(u.ConfigValue) > 0 || u.Routers > 0 && u.Routers != f.g.routerCount() {
		f.g.state.duty.Tell(u)
	}
}

// handleStale handles an update of a leader that can't reach the store. It contains at most key tables.
func (h *updateHandler) handleStale(u *feed.Update) {
	f := h.f
	if h.current || !f.setConnected(true) {
		f.g.log.Info("leader cannot reach the store", "leader", h.leader.name, "term", h.leader.revision)
		f.g.membership.renewNow()
	}
	if h.current {
		f.searchLeader(staleSearchDelay)
	}
	h.current = false
	f.scheduleFallback(f.staleDelay())
	if len(u.Tables) > 0 {
		f.g.state.duty.Tell(u)
	}
}
