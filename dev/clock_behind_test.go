package dev_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/eventlog"
	"tarragongw/operator"
)

// startNumbered runs three routers of one data centre, whose lives take the incarnation
// in next. With a second one, whose routers have no session with the former life, a
// router could learn of it from their claims alone.
func startNumbered(t *testing.T) (s *dev.System, next *atomic.Uint64) {
	t.Helper()
	next = &atomic.Uint64{}
	next.Store(1 << 40)
	m := loadExample(t, "shiretoko")
	dc := m.Targets[0].DataCentre
	m.Targets = slices.DeleteFunc(m.Targets, func(target model.Target) bool { return target.DataCentre != dc })
	s = start(t, dev.Config{
		Model:                m,
		RoutersPerDataCentre: 3,
		Incarnation:          func(string) uint64 { return next.Load() },
	})
	return s, next
}

// holds says whether the router with the index takes the named one to be in the state.
func holds(t *testing.T, s *dev.System, at int, name, state string) bool {
	t.Helper()
	status, err := s.Operator(at).Status(context.Background())
	return err == nil && slices.ContainsFunc(status.Routers, func(line string) bool {
		return strings.HasPrefix(line, name+" ") && strings.HasSuffix(line, " "+state)
	})
}

// loseFirst ends the first router and waits until the others hold it for lost.
func loseFirst(t *testing.T, s *dev.System) string {
	t.Helper()
	name := s.Routers[0].Name()
	s.Routers[0].Abort()
	eventually(t, "the others hold it for lost", func() bool {
		return holds(t, s, 1, name, "lost") && holds(t, s, 2, name, "lost")
	})
	return name
}

// Symptom: a router that was restarted is lost to the others for good, and says nothing.
// Sequence: it dies; its VM's clock steps back; it starts at another address, and the
// other routers can be asked or the store's records alone.
// Cause: its incarnation is lower than before, and sessions with it are refused.
func TestRouterWithItsClockBehindIsTakenBack(t *testing.T) {
	for _, listed := range []bool{true, false} {
		testTakenBack(t, listed)
	}
}

func testTakenBack(t *testing.T, listed bool) {
	s, next := startNumbered(t)
	name := loseFirst(t, s)
	next.Store(1 << 30)
	if !listed {
		s.Platform.SetVMs(nil)
	}
	assert.NilError(t, s.Restart(0))
	eventually(t, "the others take it back", func() bool {
		return holds(t, s, 1, name, "alive") && holds(t, s, 2, name, "alive")
	})
	eventually(t, "it is ready", s.Routers[0].Ready)
	assertSoundness(t, s)
}

// watched is how long an outlived router is seen to take nothing over. A shorter time
// than one needs to take the others for lost would show nothing.
const watched = 5 * time.Second

// takeovers counts the duties that the router with the index took.
func takeovers(t *testing.T, s *dev.System, at int) (n int) {
	t.Helper()
	events, err := s.Operator(at).Events(context.Background(), time.Hour)
	assert.NilError(t, err)
	for _, e := range events {
		if e.Kind == eventlog.GrantorChanged {
			n++
		}
	}
	return n
}

// Symptom: a life that others hold for over acts beside a newer one.
// Sequence: as above, and neither a router nor the store can be asked before the start.
// Cause: the router goes on with what only its own membership knows to be outlived.
func TestOutlivedRouterServesNothingAndSaysSo(t *testing.T) {
	s, next := startNumbered(t)
	name := loseFirst(t, s)
	next.Store(1 << 30)
	s.Platform.CutOff(name, true)
	assert.NilError(t, s.Restart(0))
	s.Platform.CutOff(name, false)
	eventually(t, "its status says so", func() bool {
		status, err := s.Operator(0).Status(context.Background())
		return err == nil && !status.Ready && slices.ContainsFunc(status.Problems, func(p operator.Problem) bool {
			return strings.Contains(p.What, "newer life") && strings.Contains(p.Action, "restart")
		})
	})
	assert.Assert(t, slices.Contains(s.Routers[0].Causes(), "router: other routers know a newer life of this router"),
		"%q", s.Routers[0].Causes())
	eventually(t, "the others own all units", func() bool {
		status, err := s.Operator(1).Status(context.Background())
		return err == nil && !slices.ContainsFunc(status.Problems, func(p operator.Problem) bool {
			return strings.Contains(p.What, "not served") || strings.Contains(p.What, "no grantor")
		})
	})
	before := takeovers(t, s, 0)
	time.Sleep(watched)
	assert.Equal(t, takeovers(t, s, 0), before, "it takes duties that others have")
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		e, err := s.Operator(1).ExplainKey(context.Background(), "faq-viewer", key)
		assert.NilError(t, err)
		assert.Assert(t, e.Grantor != s.Routers[0].Name(), key)
		served(t, s, 1, key)
	}
	assertSoundness(t, s)
}
