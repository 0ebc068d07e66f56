package ownership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStepAtRest measures a step of a router that is the grantor of a few targets of
// its data centre, at the intervals that Wake asks for.
func BenchmarkStepAtRest(b *testing.B) {
	for _, size := range []struct{ routers, targets int }{{4, 12}, {30, 92}, {400, 1233}} {
		b.Run(fmt.Sprintf("%d routers, %d targets", size.routers, size.targets), func(b *testing.B) {
			k, now := keeperAtRest(size.routers, size.targets)
			b.ReportAllocs()
			for b.Loop() {
				now += k.cfg.RenewEvery / 2
				for _, a := range k.Step(now, Tick{}) {
					if r, ok := a.(Read); ok {
						k.Step(now, StoreRead{Key: r.Key, SentAt: r.SentAt, Outcome: Landed, Revision: k.dutyByKey[r.Key].revision})
					}
				}
				k.Wake(now)
			}
		})
	}
}

// keeperAtRest returns the keeper of one of the routers; every target has a live grantor.
func keeperAtRest(routers, targets int) (*Keeper, time.Duration) {
	live := make([]Router, routers)
	for i := range live {
		live[i] = Router{Name: fmt.Sprintf("router-%03d", i), Incarnation: 1}
	}
	k := NewKeeper(Config{Self: live[0], DataCentre: "dc"})
	var specs []TargetSpec
	for i := range targets {
		specs = append(specs, TargetSpec{Name: fmt.Sprintf("target-%04d", i), Service: "faq", DataCentre: "dc", Weight: 1})
	}
	now := time.Hour
	k.Step(now, Configured{Targets: specs})
	k.Step(now, Members{Live: live})
	for i, t := range specs {
		r := &GrantorRecord{Target: t.Name, Term: 8, Router: live[i%routers], Successors: []Router{live[(i+1)%routers]}}
		k.Step(now, StoreChanged{Key: GrantorKey("dc", t.Name), Revision: uint64(i + 1), Value: r.Encode()})
	}
	return k, now
}
