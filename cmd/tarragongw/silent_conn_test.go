package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform/platformtest"
)

// minLasting and maxLasting bound how old connections become before they are disturbed, and maxLate how late they deliver then.
const (
	minLasting = time.Second
	maxLasting = 6 * time.Second
	maxLate    = 5 * time.Second
)

// silentRouters is how many routers the tests of silent connections have.
const silentRouters = 4

// startConfigRun returns a run whose routers serve, follow one leader and are disturbed by nothing.
func startConfigRun(t *testing.T) (r *configRun, leader int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r = newConfigRun(ctx, t, 1, silentRouters)
	t.Cleanup(func() {
		cancel()
		r.jobs.Wait()
	})
	for _, p := range r.routers {
		eventually(t, p.name+" serves", func() bool { return r.getPath(p, "/v0/1", 0) == http.StatusOK })
	}
	eventually(t, "a router leads and watches the configuration", func() bool {
		p := r.leader()
		leader = slices.Index(r.routers, p)
		return p != nil && len(r.stores[leader].Find(watchOfConfig)) > 0
	})
	time.Sleep(time.Second) // the others follow it
	return r, leader
}

// watchOfConfig is in the request line of a watch of the configuration, and of its listings and reads.
const watchOfConfig = "op%2F"

// awaitChange changes the configuration and waits until it is in force at all routers. It returns how long that took.
func (r *configRun) awaitChange() time.Duration {
	r.t.Helper()
	r.change()
	version, acked := r.newest(), r.acked[r.newest()]
	for _, p := range r.routers {
		eventually(r.t, p.name+" serves the added route", func() bool { return r.getPath(p, fmt.Sprintf("/v%d/1", version), 0) == http.StatusOK })
	}
	return time.Since(acked)
}

// checkChanges changes the configuration a few times, at different moments after what has happened.
func (r *configRun) checkChanges() {
	r.t.Helper()
	for i := range 3 {
		took := r.awaitChange()
		assert.Check(r.t, took <= configApply, "change %d was in force after %v", i, took)
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against a leader that tells all routers that nothing is newer, while its own watch of the configuration is silent
// and other calls are answered.
func TestChangesAreInForceInTimeWhileTheLeadersWatchIsDisturbed(t *testing.T) {
	for name, disturb := range map[string]func(c *platformtest.ProxyConn){
		"silent":               func(c *platformtest.ProxyConn) { c.Silence(platformtest.ToClient, platformtest.ToServer) },
		"silent to the router": func(c *platformtest.ProxyConn) { c.Silence(platformtest.ToClient) },
		"silent to the store":  func(c *platformtest.ProxyConn) { c.Silence(platformtest.ToServer) },
		"late by 4 s":          func(c *platformtest.ProxyConn) { c.Delay(platformtest.ToClient, 4*time.Second) },
		"reset":                func(c *platformtest.ProxyConn) { c.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			r, leader := startConfigRun(t)
			for _, c := range r.stores[leader].Find(watchOfConfig) {
				disturb(c)
			}
			r.checkChanges()
		})
	}
}

// Guards against routers that put one call after the other on connections that were silent while they were idle.
func TestChangesAreInForceInTimeAfterAllConnectionsFellSilent(t *testing.T) {
	for name, chosen := range map[string]func(r *configRun, leader, router int) bool{
		"of the leader":    func(_ *configRun, leader, router int) bool { return router == leader },
		"of the followers": func(_ *configRun, leader, router int) bool { return router != leader },
		"of all routers":   func(*configRun, int, int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			r, leader := startConfigRun(t)
			for i := range r.routers {
				if !chosen(r, leader, i) {
					continue
				}
				for _, c := range append(r.stores[i].Conns(), r.peers[i].Conns()...) {
					c.Silence(platformtest.ToClient, platformtest.ToServer)
				}
			}
			time.Sleep(stabilityWindow)
			r.checkChanges()
		})
	}
}

// Guards against routers that wait in vain for one call after the other where connections to the store don't last: each falls
// silent, or delivers answers late, some time after it was opened.
func TestChangesAreInForceInTimeWhileNoConnectionLasts(t *testing.T) {
	const changes = 12
	for name, disturb := range map[string]func(c *platformtest.ProxyConn, late time.Duration){
		"silent to the router": func(c *platformtest.ProxyConn, _ time.Duration) { c.Silence(platformtest.ToClient) },
		"late":                 func(c *platformtest.ProxyConn, late time.Duration) { c.Delay(platformtest.ToClient, late) },
		"reset":                func(c *platformtest.ProxyConn, _ time.Duration) { c.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startConfigRun(t)
			for i, way := range r.stores {
				random := rand.New(rand.NewPCG(uint64(i), 0))
				r.jobs.Go(func() { r.wearOut(way, random, disturb) })
			}
			for i := range changes {
				r.sleep(time.Duration(500+100*i) * time.Millisecond)
				took := r.awaitChange()
				assert.Check(t, took <= configApply, "change %d was in force after %v", i, took)
			}
		})
	}
}

// wearOut disturbs each connection of a way once it is some seconds old, until the run ends.
func (r *configRun) wearOut(way *platformtest.Proxy, random *rand.Rand, disturb func(c *platformtest.ProxyConn, late time.Duration)) {
	lasts := map[*platformtest.ProxyConn]time.Duration{}
	for r.ctx.Err() == nil {
		for _, c := range way.Conns() {
			if lasts[c] == 0 {
				lasts[c] = minLasting + time.Duration(random.Int64N(int64(maxLasting-minLasting)))
			}
			if c.Age() > lasts[c] {
				disturb(c, time.Duration(random.Int64N(int64(maxLate))))
			}
		}
		r.sleep(probePause)
	}
}
