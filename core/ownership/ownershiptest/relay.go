package ownershiptest

import (
	"cmp"
	"slices"
	"time"

	"tarragongw/core/confirm"
	"tarragongw/core/ownership"
)

// dataCentre is the data centre of all routers and targets if Options.DataCentres is not
// set.
const dataCentre = "dc1"

func (r *router) startConfirmCore() {
	r.confirmCore = nil
	if r.world.opt.Confirm != nil {
		r.confirmCore = confirm.New(r.world.opt.Confirm(r.self))
	}
}

// requestRelayedReads passes those reads of one step that may be relayed to the confirm
// core.
func (r *router) requestRelayedReads(actions []ownership.Action) {
	if r.confirmCore == nil {
		return
	}
	var asked confirm.Asked
	for _, a := range actions {
		if read, ok := a.(ownership.Read); ok && read.Relayed {
			target := read.Key[len(ownership.GrantorKey(dataCentre, "")):]
			asked.Reads = append(asked.Reads, confirm.Read{Target: target, SentAt: read.SentAt})
		}
	}
	if len(asked.Reads) > 0 {
		r.stepConfirmCore(asked)
	}
}

func (r *router) updateConfirmMembers(live, leaving []ownership.Router) {
	if r.confirmCore != nil {
		r.stepConfirmCore(confirm.Members{Live: sortedNames(live), Leaving: sortedNames(leaving)})
	}
}

func sortedNames(routers []ownership.Router) []string {
	var names []string
	for _, r := range routers {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	return names
}

// stepConfirmCore passes an event to the confirm core of this instance and performs the
// actions.
func (r *router) stepConfirmCore(e confirm.Event) {
	if r.dead {
		return
	}
	if r.paused {
		r.backlog = append(r.backlog, func() { r.stepConfirmCore(e) })
		return
	}
	for _, a := range r.confirmCore.Step(r.local(), e) {
		switch a := a.(type) {
		case confirm.Send:
			r.world.sendConfirm(r, a)
		case confirm.List:
			r.world.listGrantors(r, a.ID)
		case confirm.Confirmed:
			r.step(ownership.StoreRead{Key: ownership.GrantorKey(dataCentre, a.Record.Target), SentAt: a.SentAt, Earlier: a.Earlier,
				Outcome: ownership.Landed, Revision: a.Record.Revision, Value: a.Record.Value})
		}
	}
	r.confirmTickDue = r.local() + r.confirmCore.Wake(r.local())
}

// sendConfirm delivers a message. It drops some messages and duplicates others with a
// delay; they reach whichever instance of the router runs at that time.
func (w *World) sendConfirm(r *router, a confirm.Send) {
	e := confirm.Received{From: confirm.Router(r.self), Message: a.Message}
	for _, o := range w.routers {
		if o.self.Name != a.To || !w.linked(r.index, o.index) || w.rand.Float64() < w.opt.ReplyLoss {
			continue
		}
		w.after(w.jitter(networkLatency), func() { o.stepConfirmCore(e) })
		if w.opt.ReplyLoss > 0 && w.rand.Intn(16) == 0 {
			w.after(time.Duration(w.rand.Int63n(int64(time.Second))), func() { o.stepConfirmCore(e) })
		}
	}
}

// listGrantors lists the grantor records. If replies may be lost, one call in 16 is
// answered late.
func (w *World) listGrantors(r *router, id uint64) {
	answer := func(d time.Duration, e confirm.Listed) {
		instance := r.confirmCore
		w.after(d, func() {
			if r.confirmCore == instance {
				r.stepConfirmCore(e)
			}
		})
	}
	if !w.reachesStore(r) || w.rand.Float64() < w.opt.ReplyLoss {
		answer(callTimeout, confirm.Listed{ID: id})
		return
	}
	w.after(w.jitter(storeLatency), func() {
		w.store.reads++
		e := confirm.Listed{ID: id, OK: true, Records: w.store.grantors()}
		latency := w.jitter(storeLatency)
		if w.opt.ReplyLoss > 0 && w.rand.Intn(16) == 0 {
			latency = time.Duration(w.rand.Int63n(int64(4 * callTimeout)))
		}
		answer(latency, e)
	})
}

// grantors returns the grantor records sorted by target.
func (s *store) grantors() []confirm.Record {
	var out []confirm.Record
	for key, rec := range s.records {
		if ownership.IsGrantorKey(key) {
			out = append(out, confirm.Record{Target: key[len(ownership.GrantorKey(dataCentre, "")):], Revision: rec.revision, Value: rec.value})
		}
	}
	slices.SortFunc(out, func(a, b confirm.Record) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
