package router

import (
	"context"
	"strings"

	"tarragongw/core/ownership"
	"tarragongw/eventlog"
	"tarragongw/operator"
)

// ConfirmDead implements operator.Backend. A target that does not check grants stays
// without a grantor when the grantor and its first successor are lost together:
// nothing proves that neither of them, cut off somewhere, still sends to it. The
// operator who has seen that both VMs are gone can say so. A router that is known
// to live refutes it, and then nothing is done.
func (b *backend) ConfirmDead(_ context.Context, req *operator.ConfirmDeadRequest) (*operator.ConfirmDeadReply, error) {
	routers := b.r.table.Load().Routers(req.Target)
	if len(routers) == 0 {
		return nil, operator.Errorf(operator.CodeNotFound, "no router is recorded as the grantor of a target %q", req.Target)
	}
	dead := holders(routers)
	for _, holder := range dead {
		if b.r.lives(holder) {
			return nil, operator.Errorf(operator.CodeConflict, "router %q lives; nothing was changed", holder.Name)
		}
	}
	names := make([]string, len(dead))
	for i, holder := range dead {
		names[i] = holder.Name
	}
	b.r.journal.Record(eventlog.Event{
		Kind:   eventlog.GrantorDead,
		Cause:  "an operator confirmed that the routers will not come back",
		Target: req.Target,
		Router: b.r.self.Name,
		Fields: []eventlog.Field{eventlog.F("dead", strings.Join(names, ",")), eventlog.F("author", req.Author)},
	})
	b.r.owner.duty.Tell(ownership.DeadConfirmed{Target: req.Target})
	b.r.members.broadcast(kindDead, []byte(req.Target))
	return &operator.ConfirmDeadReply{Target: req.Target, Dead: names}, nil
}

// holders are those of a target's grantor and its successors that may still send to it.
func holders(routers []ownership.Router) []ownership.Router { return routers[:min(len(routers), 2)] }

// lives reports whether the member view holds this very life for alive.
func (r *Router) lives(holder ownership.Router) bool {
	for _, m := range r.members.live() {
		if m.Name == holder.Name && m.Incarnation == holder.Incarnation {
			return true
		}
	}
	return false
}
