package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tarragongw/internal/waittest"
	"tarragongw/platform/platformtest"
)

// callsPerSecond counts the calls of a fleet for a time. A renewal of a lease counts as a tenth, as the platform prices it.
func (f *fleet) callsPerSecond(d time.Duration) float64 {
	before := f.store.Calls()
	time.Sleep(d)
	total := 0.0
	for call, n := range f.store.Calls() {
		weight := 1.0
		if strings.HasPrefix(call, "kv-keep") {
			weight = 0.1
		}
		total += weight * float64(n-before[call])
	}
	return total / d.Seconds()
}

// forbidLeading has all gateways fail to record themselves as the leader, or succeed again.
func (f *fleet) forbidLeading(forbidden bool) {
	for _, link := range f.links {
		link.noLead.Store(forbidden)
	}
}

// BenchmarkStoreCalls measures how often a fleet calls the store, with and without a leader. Run it with -benchtime 1x.
func BenchmarkStoreCalls(b *testing.B) {
	for _, routers := range []int{4, 30, 90, 300} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var targets []*platformtest.Target
			for i := range 16 {
				targets = append(targets, plainTarget(fmt.Sprintf("t%d", i)))
			}
			f := newFleet(b, routers, plainConfig, targets...)
			go func() {
				for b.Context().Err() == nil {
					for _, target := range targets {
						target.Heartbeat(f.store)
						time.Sleep(time.Second / time.Duration(len(targets)))
					}
				}
			}()
			waittest.Until(b, "a router leads", func() bool { return f.leader() != nil })
			old := f.leader()
			for _, g := range f.gateways {
				waittest.Until(b, "it is subscribed or leads", func() bool { return g == old || g.subscription.isSubscribed() })
			}
			time.Sleep(2 * time.Second)
			report := func(phase string, d time.Duration) { b.ReportMetric(f.callsPerSecond(d), phase+"/s") }
			report("leader", 10*time.Second)
			abandon(old)
			report("leader-crash-4s", 4*time.Second)
			f.forbidLeading(true)
			abandon(f.leader())
			report("none-0-1s", time.Second)
			report("none-1-5s", 4*time.Second)
			report("none-5-20s", 15*time.Second)
			f.forbidLeading(false)
			report("found-5s", 5*time.Second)
			f.store.Refuse(503)
			report("outage-10s", 10*time.Second)
		})
	}
}
