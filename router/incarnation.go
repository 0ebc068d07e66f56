package router

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/ownership"
	"tarragongw/kv"
	"tarragongw/peer"
)

const (
	// askWithin bounds the question for former lives, the platform's list included.
	askWithin = time.Second
	// askedRouters is how many routers are asked. One answer is enough where its router
	// has seen the former life or holds the view of its data centre.
	askedRouters = 8
)

// takeIncarnation puts this life's incarnation above those of its former lives.
//
// What goes wrong: a VM's wall clock is behind that of the former life, the router
// takes a lower incarnation, and the others take it for a leftover: they refuse its
// sessions and hold it for lost for good. One notices a router that is lost to all
// others and runs. Nothing has used the incarnation yet, so that no proof of ownership
// rests on two of one life; afterwards it never changes, see noteOutlived.
func (r *Router) takeIncarnation() {
	ctx, cancel := context.WithTimeout(r.lifetime, askWithin)
	defer cancel()
	recorded := make(chan uint64, 1)
	go func() { recorded <- r.recordedIncarnation(ctx) }()
	known := max(r.toldIncarnation(ctx), <-recorded)
	if known < r.opts.Incarnation || known == math.MaxUint64 {
		return
	}
	r.log.Warn("the wall clock is behind that of a former life of this router; see to the VM's clock",
		"incarnation", r.opts.Incarnation, "known", known)
	r.opts.Incarnation = known + 1
}

// toldIncarnation is what other routers know of former lives; zero is none above.
func (r *Router) toldIncarnation(ctx context.Context) uint64 {
	vms, err := r.platform.For(kv.Rest).VMs(ctx)
	if err != nil {
		r.log.Warn("other routers not asked for former lives of this one: no list of VMs", "cause", err)
		return 0
	}
	asked := r.whomToAsk(vms)
	known, answers := peer.KnownIncarnation(ctx, r.peerConfig(), asked)
	if answers < len(asked) {
		r.log.Info("not all routers said what they know of former lives", "asked", len(asked), "answers", answers)
	}
	return known
}

// recordedIncarnation is the highest incarnation under this router's name in the grantor
// records of its data centre; zero is none.
//
// What goes wrong without it: no other router answers at the start, as when all of a data
// centre were lost. The router begins as an older life of itself and takes its duties up
// again; the first router that knows the former life takes it out of service, and takes
// the end of what it does for proved. All that ownership proves by lives rests on those in
// the records.
func (r *Router) recordedIncarnation(ctx context.Context) (highest uint64) {
	records, _, err := r.platform.For(kv.Ownership).List(ctx, ownership.GrantorKey(r.opts.Settings.DataCentre, ""))
	if err != nil {
		r.log.Warn("former lives of this router not looked for in the records", "cause", err)
		return 0
	}
	for i := range records {
		g, err := ownership.DecodeGrantor(records[i].Value)
		if err != nil {
			continue // it is no proof to anybody else either
		}
		for _, life := range livesIn(g) {
			if life.Name == r.opts.Settings.Name {
				highest = max(highest, life.Incarnation)
			}
		}
	}
	return highest
}

// livesIn are the lives of routers that a record names: as grantor, successor or writer.
func livesIn(g *ownership.GrantorRecord) []ownership.Router {
	lives := append([]ownership.Router{g.Router}, g.Successors...)
	for _, op := range g.Ops {
		lives = append(lives, op.Router)
	}
	return lives
}

// whomToAsk picks routers at random, those of the own data centre first.
func (r *Router) whomToAsk(vms []kv.VM) []peer.Identity {
	var near, far []peer.Identity
	for _, i := range rand.Perm(len(vms)) {
		vm := &vms[i]
		id := peer.Identity{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.PeerAddress}
		switch {
		case vm.Name == r.opts.Settings.Name:
		case vm.DataCentre == r.opts.Settings.DataCentre:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), askedRouters)]
}

// knownIncarnation is what membership knows of a router's name; zero is none.
func (r *Router) knownIncarnation(name string) uint64 {
	status, _ := r.members.view.Load().Status(name)
	return status.Incarnation
}

// outlivedAction is what an operator should do about a router that is outlived.
const outlivedAction = "if no other process runs under this name, see to the VM's clock and restart this router; else stop this one"

var errOutlived = errors.New("other routers know a newer life of this router")

// noteOutlived takes this router out of service for good: others hold a newer life of
// its name, and may take the end of this one for proved.
func (r *Router) noteOutlived() {
	if !r.outlived.Swap(true) {
		r.log.Error("other routers know a newer life of this router, it serves nothing", "action", outlivedAction)
	}
}
