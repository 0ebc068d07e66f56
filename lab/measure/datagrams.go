package main

import "context"

// datagramRounds alternate, so that what else runs on the machine hits both ways.
const datagramRounds = 3

// measureDatagrams compares, at rest, routers that send heartbeats as datagrams with such
// that send them over their sessions. They have no targets, so that little else is sent.
func measureDatagrams(ctx context.Context, s *settings, t *table) error {
	ways := []struct {
		name string
		size shape
		sum  point
	}{
		{name: "heartbeats over sessions: ", size: shape{dataCentres: 1, routers: 8, noDatagrams: true}},
		{name: "heartbeats as datagrams: ", size: shape{dataCentres: 1, routers: 8}},
	}
	for range datagramRounds {
		for i := range ways {
			p, err := restingPoint(ctx, s, ways[i].size)
			if err != nil || p == nil {
				return err
			}
			ways[i].sum.cpu = append(ways[i].sum.cpu, p.cpu...)
			ways[i].sum.moved = append(ways[i].sum.moved, p.moved...)
		}
	}
	for i := range ways {
		t.add(ways[i].name+"processor of a router", "% of a core", ways[i].sum.cpu...)
		t.add(ways[i].name+"bytes moved by a router", "B/s", ways[i].sum.moved...)
	}
	return nil
}
