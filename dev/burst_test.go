package dev_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/config"
	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/eventlog"
	"tarragongw/operator"
	"tarragongw/router"
)

const (
	// burst changes are asked for within a second, burstEvery apart.
	burst      = 50
	burstEvery = 15 * time.Millisecond
	// slowStore is what each call of a slow store takes at least.
	slowStore = 20 * time.Millisecond
)

// Symptom: an acknowledged change is missing at some router, or a router goes back
// to an older configuration.
// Sequence: 50 changes within a second by way of three routers at once; in a second
// round one of them is lost in the middle and restarts; in a third each call of the
// store is slow; in a fourth both.
// Cause: a write overtakes another without it, or what comes late (from the store,
// another router, a former life) replaces what is in force.
func TestBurstOfChanges(t *testing.T) {
	for _, c := range []struct {
		name    string
		restart bool
		delay   time.Duration
	}{
		{"calm", false, 0},
		{"a router restarts", true, 0},
		{"slow store", false, slowStore},
		{"slow store and a router restarts", true, slowStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSmall(t, small{targets: 2, slots: 4, timeout: time.Second, queue: 8}, 4, time.Millisecond, nil)
			s.Platform.SetDelay(c.delay)
			b := &changer{t: t, s: s, acked: make(map[string]uint64)}
			lives := watchLives(t, s)
			done := b.start()
			if c.restart {
				b.awaitAcked(burst / 3)
				lives.restart(3)
			}
			<-done
			b.assertInForce()
			lives.end()
		})
	}
}

// changer adds callers to the configuration, each by way of one of the first three
// routers, and keeps the revision that each was acknowledged with.
type changer struct {
	t  *testing.T
	s  *dev.System
	mu sync.Mutex
	// acked is by the name of the caller that the change added.
	acked map[string]uint64
}

func (b *changer) start() (done chan struct{}) {
	done = make(chan struct{})
	var running sync.WaitGroup
	for i := range burst {
		via := b.s.Operator(i % 3)
		running.Go(func() {
			time.Sleep(time.Duration(i) * burstEvery)
			b.add(via, fmt.Sprintf("caller-%02d", i))
		})
	}
	go func() {
		running.Wait()
		close(done)
	}()
	return done
}

// add repeats the change as an operator would who is told that others were quicker,
// or that the outcome is unknown; he then finds it made, or makes it.
func (b *changer) add(via *operator.Client, name string) {
	end := time.Now().Add(patience)
	var err error
	for time.Now().Before(end) {
		var revision uint64
		if revision, err = addCaller(via, name); err == nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.acked[name] = revision
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Errorf("%s was never acknowledged: %v", name, err)
}

// addCaller returns the revision that has the caller since, or zero where an earlier
// call had made the change.
func addCaller(via *operator.Client, name string) (uint64, error) {
	present, err := via.Config(context.Background())
	if err != nil {
		return 0, err
	}
	m, err := config.Decode(present.Model)
	if err != nil || hasCaller(m, name) {
		return 0, err
	}
	m.Callers = append(m.Callers, model.Caller{Name: name, Weight: 1})
	m.Sort()
	data, err := config.Encode(m)
	if err != nil {
		return 0, err
	}
	reply, err := via.Apply(context.Background(), &operator.ApplyRequest{Base: present.Revision, Author: name, Model: data})
	if err != nil {
		return 0, err
	}
	return reply.Revision, nil
}

func (b *changer) awaitAcked(n int) {
	eventually(b.t, "some changes are acknowledged", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.acked) >= n
	})
}

// assertInForce checks that all changes were acknowledged, each with a revision of
// its own, and that every router ends with the one configuration that has them all.
func (b *changer) assertInForce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(b.t, len(b.acked), burst)
	stored, err := b.s.Operator(0).Config(context.Background())
	assert.NilError(b.t, err)
	last, seen := stored.Revision, make(map[uint64]string)
	for name, revision := range b.acked {
		assert.Assert(b.t, revision <= last)
		assert.Assert(b.t, revision == 0 || seen[revision] == "", "%s has the revision of %s", name, seen[revision])
		seen[revision] = name
	}
	for i, r := range b.s.Routers {
		eventually(b.t, "the last revision is in force at "+r.Name(), func() bool {
			revisions, err := b.s.Operator(i).Revisions(context.Background(), false)
			return err == nil && revisions[0].Revision == last
		})
	}
	// The store says what a revision holds; with it down a router says what it has.
	b.s.Platform.SetDown(true)
	defer b.s.Platform.SetDown(false)
	for i, r := range b.s.Routers {
		present, err := b.s.Operator(i).Config(context.Background())
		assert.NilError(b.t, err)
		assert.Equal(b.t, present.Revision, last)
		m, err := config.Decode(present.Model)
		assert.NilError(b.t, err)
		for name := range b.acked {
			assert.Assert(b.t, hasCaller(m, name), "%s lacks the acknowledged %s", r.Name(), name)
		}
	}
}

func hasCaller(m *model.Model, name string) bool {
	for i := range m.Callers {
		if m.Callers[i].Name == name {
			return true
		}
	}
	return false
}

// lives samples what each router has in force, former lives included.
type lives struct {
	t *testing.T
	s *dev.System
	// highest is the highest revision seen at each index, over all lives.
	mu      sync.Mutex
	highest []uint64
	routers []*router.Router
	stop    chan struct{}
	done    sync.WaitGroup
}

func watchLives(t *testing.T, s *dev.System) *lives {
	l := &lives{t: t, s: s, highest: make([]uint64, len(s.Routers)), routers: append([]*router.Router(nil), s.Routers...), stop: make(chan struct{})}
	for i := range s.Routers {
		l.done.Go(func() { l.sample(i) })
	}
	return l
}

func (l *lives) sample(i int) {
	for {
		l.look(i)
		select {
		case <-l.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// look asks the router at the index for its revision. The lock is held from before
// the question, so that a restart falls between two looks.
func (l *lives) look(i int) {
	l.mu.Lock()
	r := l.routers[i]
	highest := l.highest[i]
	l.mu.Unlock()
	if !r.Ready() {
		return
	}
	via := operator.Client{Base: "http://" + r.Addresses().Operator}
	revisions, err := via.Revisions(context.Background(), false)
	if err != nil {
		return // it is just being lost
	}
	if revisions[0].Revision < highest {
		l.t.Errorf("%s went back from revision %d to %d", r.Name(), highest, revisions[0].Revision)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest[i] = max(l.highest[i], revisions[0].Revision)
}

// restart gives the router at the index another life and waits until it is ready.
func (l *lives) restart(i int) {
	l.assertNeverBack(i)
	assert.NilError(l.t, l.s.Restart(i))
	l.mu.Lock()
	l.routers[i] = l.s.Routers[i]
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(l.t, dev.AwaitRouter(ctx, l.s.Routers[i]))
}

func (l *lives) end() {
	close(l.stop)
	l.done.Wait()
	for i := range l.s.Routers {
		l.assertNeverBack(i)
	}
}

// assertNeverBack checks the journal of the present life, which holds every revision
// that it put in force.
func (l *lives) assertNeverBack(i int) {
	events, err := l.s.Operator(i).Events(context.Background(), time.Hour)
	assert.NilError(l.t, err)
	var last uint64
	for _, e := range events {
		if e.Kind != eventlog.ConfigApplied {
			continue
		}
		revision, err := strconv.ParseUint(fieldOf(&e, "revision"), 10, 64)
		assert.NilError(l.t, err)
		assert.Assert(l.t, revision > last, "%s: revision %d after %d", l.s.Routers[i].Name(), revision, last)
		last = revision
	}
	assert.Assert(l.t, last > 0)
}

func fieldOf(e *eventlog.Event, key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}
