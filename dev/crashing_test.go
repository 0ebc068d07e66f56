package dev_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/operator"
	"tarragongw/target/sample"
)

const (
	// deadlyKey is part of the path of the request that crashes targets.
	deadlyKey = "deadly"
	// crashThreshold is how many targets a request may crash before it is known, and maxSendsAfter
	// how often it may reach targets later than knownAfter after that.
	crashThreshold = 3
	maxSendsAfter  = 3
	knownAfter     = 3 * time.Second
)

// crashers ends the targets that the deadly request reaches.
type crashers struct {
	mu      sync.Mutex
	system  *dev.System
	reached atomic.Int32
	crashed atomic.Int32
}

// seen returns what a target does when a request arrives.
func (c *crashers) seen(target string) func(*http.Request) {
	return func(r *http.Request) {
		if !strings.Contains(r.URL.Path, deadlyKey) {
			return
		}
		c.reached.Add(1)
		c.mu.Lock()
		server := c.system.Targets[target]
		c.mu.Unlock()
		go func() {
			server.Close()
			c.crashed.Add(1)
		}()
		<-r.Context().Done()
	}
}

func startCrashable(t *testing.T, division model.Division) (*dev.System, *crashers) {
	t.Helper()
	c := &crashers{}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := startSmall(t, small{division: division, targets: 9, slots: 4, timeout: 10 * time.Second, queue: 50}, 3, time.Millisecond,
		func(cfg *sample.Config) { cfg.Seen = c.seen(cfg.Name) })
	c.system = s
	return s, c
}

func refusedRequests(t *testing.T, s *dev.System, router int) []operator.SuspectedRequest {
	t.Helper()
	list, err := s.Operator(router).Quarantine(context.Background())
	assert.NilError(t, err)
	var refused []operator.SuspectedRequest
	for _, r := range list.Requests {
		if r.Refused {
			refused = append(refused, r)
		}
	}
	return refused
}

// Guards against a request that crashes one target after the other, at whichever router it comes again.
func TestRequestThatCrashesTargetsReachesFewMore(t *testing.T) {
	for name, division := range map[string]model.Division{"any target": model.Any, "keys": model.ByKey} {
		t.Run(name, func(t *testing.T) {
			s, c := startCrashable(t, division)
			path, n := "/work/"+deadlyKey, 0
			eventually(t, "three targets have crashed", func() bool {
				do(http.MethodGet, s.CallerURL(n%3)+path, "")
				n++
				return c.crashed.Load() >= crashThreshold
			})
			time.Sleep(knownAfter)
			before := c.reached.Load()
			assert.NilError(t, s.AddRouter("late", "hall"))
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			assert.NilError(t, s.AwaitReady(ctx))
			time.Sleep(knownAfter)
			for i := range 60 {
				do(http.MethodGet, s.CallerURL(i%4)+path, "")
				time.Sleep(50 * time.Millisecond)
			}
			more := c.reached.Load() - before
			assert.Assert(t, more <= maxSendsAfter, "reached targets %d times more", more)
			for i := range 4 {
				assert.Equal(t, len(refusedRequests(t, s, i)), 1, "router %d", i)
			}
			got := do(http.MethodGet, s.CallerURL(0)+path, "")
			assert.Equal(t, got.header.Get("Tarragon-Error"), "quarantined")
			eventually(t, "another request is served", func() bool {
				return do(http.MethodGet, s.CallerURL(1)+"/work/other", "").status == http.StatusOK
			})
		})
	}
}

// Guards against a refused request that stays refused although an operator has released it.
func TestReleasedRequestIsSentAgain(t *testing.T) {
	s, c := startCrashable(t, model.Any)
	n := 0
	eventually(t, "it is refused everywhere", func() bool {
		do(http.MethodGet, s.CallerURL(n%3)+"/work/"+deadlyKey, "")
		n++
		return len(refusedRequests(t, s, 0)) == 1 && len(refusedRequests(t, s, 1)) == 1 && len(refusedRequests(t, s, 2)) == 1
	})
	before := c.reached.Load()
	fingerprint := refusedRequests(t, s, 1)[0].Fingerprint
	_, err := s.Operator(1).Release(t.Context(), &operator.ReleaseRequest{Fingerprint: fingerprint, Author: "ann"})
	assert.NilError(t, err)
	eventually(t, "it is sent again", func() bool {
		do(http.MethodGet, s.CallerURL(2)+"/work/"+deadlyKey, "")
		return c.reached.Load() > before
	})
	_, err = s.Operator(1).Release(t.Context(), &operator.ReleaseRequest{Fingerprint: "none", Author: "ann"})
	assert.ErrorContains(t, err, "no fingerprint")
}
