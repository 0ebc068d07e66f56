package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"tarragongw/kv"
)

const (
	// Today's targets to routers, as 37 to 12.
	targetsPer, routersPer = 37, 12
	// readAlone makes each router its own relay.
	readAlone = 1
)

// measureConfirm compares, at rest and in one data centre, routers that have their
// grantor records read by a relay with such that each read them, in turns.
func measureConfirm(ctx context.Context, s *settings, t *table) error {
	sizes, err := s.sizesOr(4, 12, 30)
	if err != nil {
		return err
	}
	for _, n := range sizes {
		for _, perRelay := range []int{readAlone, 0} {
			size := shape{dataCentres: 1, routers: n, targets: n * targetsPer / routersPer, perRelay: perRelay}
			p, err := restingPoint(ctx, s, size)
			if err != nil {
				return errors.Wrapf(err, "%d routers", n)
			}
			if p != nil {
				addConfirm(t, p, &size)
			}
		}
	}
	return nil
}

func addConfirm(t *table, p *point, size *shape) {
	way := "by relay"
	if size.perRelay == readAlone {
		way = "each by itself"
	}
	name := fmt.Sprintf("confirm, %d routers, %d targets, %s: ", size.routers, size.targets, way)
	reads := (p.calls[kv.CallList] + p.calls[kv.CallGet]) * float64(size.routers)
	t.add(name+"list and get calls of the data centre", "1/s", reads)
	t.add(name+"processor of a router", "% of a core", p.cpu...)
	t.add(name+"processor of the busiest router", "% of a core", slices.Max(p.cpu))
	t.add(name+"bytes moved by a router", "B/s", p.moved...)
	t.add(name+"bytes moved by the busiest router", "B/s", slices.Max(p.moved))
}
