package httpstore_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"tarragongw/kv"
	"tarragongw/kv/httpstore"
	"tarragongw/kv/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is a manual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
	// delayed receives a value for each call that a slow store delays.
	delayed chan struct{}
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0), delayed: make(chan struct{}, 1)} }

// Sleep delays a call until its context ends.
func (c *clock) Sleep(ctx context.Context, _ time.Duration) error {
	c.delayed <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// client is the interface that each implementation must provide.
type client interface {
	kv.Store
	kv.VMLister
}

// fixture is one implementation under test and the stand-in that it uses.
type fixture struct {
	platform *standin.Platform
	clock    *clock
	// connect returns a client with the name.
	connect func(name string) client
	// remote is true if calls are made over HTTP.
	remote bool
}

const historySize = 8

func newPlatform() (*standin.Platform, *clock) {
	c := newClock()
	return standin.New(standin.Config{Now: c.Now, History: historySize, Sleep: c.Sleep}), c
}

func newDirectFixture(*testing.T) *fixture {
	p, c := newPlatform()
	return &fixture{platform: p, clock: c, connect: func(name string) client { return p.Client(name) }}
}

// serveStore serves the platform over HTTP until the test ends.
func serveStore(t *testing.T, p *standin.Platform) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(httpstore.NewHandler(func(name string) httpstore.Backend { return p.Client(name) }))
	t.Cleanup(server.Close)
	return server
}

func newHTTPFixture(t *testing.T) *fixture {
	p, c := newPlatform()
	server := serveStore(t, p)
	connect := func(name string) client {
		return newClient(t, httpstore.Config{Addresses: []string{server.Listener.Addr().String()}, Name: name, Now: c.Now})
	}
	return &fixture{platform: p, clock: c, connect: connect, remote: true}
}

// forEachImplementation runs the test with each implementation.
func forEachImplementation(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Run("direct", func(t *testing.T) { test(t, newDirectFixture(t)) })
	t.Run("http", func(t *testing.T) { test(t, newHTTPFixture(t)) })
}

func TestGetAndCompareAndSwap(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		_, err := s.Get(ctx, "k")
		assert.ErrorIs(t, err, kv.ErrNotFound)
		_, err = s.CompareAndSwap(ctx, "k", 7, []byte("x"))
		assert.ErrorIs(t, err, kv.ErrConflict)
		first, err := s.CompareAndSwap(ctx, "k", 0, []byte("one"))
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "k", 0, []byte("x"))
		assert.ErrorIs(t, err, kv.ErrConflict)
		second, err := s.CompareAndSwap(ctx, "k", first, []byte("two"))
		assert.NilError(t, err)
		assert.Assert(t, second > first)
		record, err := s.Get(ctx, "k")
		assert.NilError(t, err)
		assert.DeepEqual(t, record, kv.Record{Key: "k", Value: []byte("two"), Revision: second})
		_, err = s.CompareAndSwap(ctx, "", 0, nil)
		assert.ErrorIs(t, err, kv.ErrInvalid)
	})
}

func TestValueSizeLimit(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		_, err := s.CompareAndSwap(ctx, "k", 0, make([]byte, kv.MaxValue+1))
		assert.ErrorIs(t, err, kv.ErrTooLarge)
		value := bytes.Repeat([]byte{0xff}, kv.MaxValue)
		_, err = s.CompareAndSwap(ctx, "k", 0, value)
		assert.NilError(t, err)
		record, err := s.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(record.Value, value))
	})
}

func TestListIsOrderedAndBounded(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		for _, key := range []string{"a/2", "b/1", "a/1"} {
			_, err := s.CompareAndSwap(ctx, key, 0, []byte(key))
			assert.NilError(t, err)
		}
		records, revision, err := s.List(ctx, "a/")
		assert.NilError(t, err)
		assert.Equal(t, revision, f.platform.Revision())
		assert.Equal(t, len(records), 2)
		assert.Equal(t, records[0].Key, "a/1")
		assert.Equal(t, records[1].Key, "a/2")
	})
}

func TestLeaseIsExclusiveUntilItExpires(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s, other := context.Background(), f.connect("a"), f.connect("b")
		const ttl = 10 * time.Second
		lease, err := s.Acquire(ctx, "duty", "a", ttl)
		assert.NilError(t, err)
		assert.Assert(t, lease.Renewed.Equal(f.clock.Now()))
		_, err = other.Acquire(ctx, "duty", "b", ttl)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)

		f.clock.Add(ttl - time.Second)
		lease, err = s.Renew(ctx, lease)
		assert.NilError(t, err)
		f.clock.Add(ttl - time.Second)
		_, err = other.Acquire(ctx, "duty", "b", ttl)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)

		f.clock.Add(time.Second)
		_, err = s.Renew(ctx, lease)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)
		taken, err := other.Acquire(ctx, "duty", "b", ttl)
		assert.NilError(t, err)
		assert.Assert(t, taken.ID > lease.ID)
		assert.ErrorIs(t, s.Release(ctx, lease), kv.ErrLeaseLost)
		assert.NilError(t, other.Release(ctx, taken))
		_, err = s.Acquire(ctx, "duty", "a", ttl)
		assert.NilError(t, err)
		_, err = s.Acquire(ctx, "duty", "a", 0)
		assert.ErrorIs(t, err, kv.ErrInvalid)
	})
}

// Guards against two routers that act as the holder of one lease: a holder is suspended, its lease
// expires, another router acquires it, and the first resumes and renews it. This happens if the
// store renews leases by name instead of by id.
func TestExpiredLeaseIsNotRenewed(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		lease, err := s.Acquire(ctx, "duty", "a", time.Minute)
		assert.NilError(t, err)
		f.platform.ExpireLease("duty")
		_, err = s.Renew(ctx, lease)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)
		_, err = f.connect("b").Acquire(ctx, "duty", "b", time.Minute)
		assert.NilError(t, err)
		_, err = s.Renew(ctx, lease)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)
	})
}

func TestCallsAreCounted(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, f *fixture) {
		ctx, s := context.Background(), f.connect("a")
		_, _ = s.CompareAndSwap(ctx, "a/1", 0, nil)
		_, _ = s.Get(ctx, "a/1")
		_, _ = s.Get(ctx, "a/2")
		_, _, _ = s.Watch(ctx, "a/", 0)
		calls := f.platform.Calls()
		assert.DeepEqual(t, calls, map[kv.CallKind]uint64{
			kv.CallCAS: 1, kv.CallGet: 2, kv.CallWatch: 1,
		})
	})
}
