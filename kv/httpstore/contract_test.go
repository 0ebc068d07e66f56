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

// clock is a clock that tests move by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
	// asleep gets one for each call that a slow store holds.
	asleep chan struct{}
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0), asleep: make(chan struct{}, 1)} }

// Sleep holds a call until its caller gives up.
func (c *clock) Sleep(ctx context.Context, _ time.Duration) error {
	c.asleep <- struct{}{}
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

// client is what the contract is about.
type client interface {
	kv.Store
	kv.Directory
}

// bench is one implementation under test with the stand-in behind it.
type bench struct {
	platform *standin.Platform
	clock    *clock
	// connect returns a client with the name.
	connect func(name string) client
	// remote says whether calls go over HTTP.
	remote bool
}

const history = 8

func newPlatform() (*standin.Platform, *clock) {
	c := newClock()
	return standin.New(standin.Config{Now: c.Now, History: history, Sleep: c.Sleep}), c
}

func direct(*testing.T) *bench {
	p, c := newPlatform()
	return &bench{platform: p, clock: c, connect: func(name string) client { return p.Client(name) }}
}

// serveStore serves the platform over HTTP until the test has ended.
func serveStore(t *testing.T, p *standin.Platform) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(httpstore.NewHandler(func(name string) httpstore.Backend { return p.Client(name) }))
	t.Cleanup(server.Close)
	return server
}

func overHTTP(t *testing.T) *bench {
	p, c := newPlatform()
	server := serveStore(t, p)
	connect := func(name string) client {
		return newClient(t, httpstore.Config{Addresses: []string{server.Listener.Addr().String()}, Name: name, Now: c.Now})
	}
	return &bench{platform: p, clock: c, connect: connect, remote: true}
}

// contract runs the test against each implementation.
func contract(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Run("direct", func(t *testing.T) { test(t, direct(t)) })
	t.Run("http", func(t *testing.T) { test(t, overHTTP(t)) })
}

func TestGetAndCompareAndSwap(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
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

func TestLargestValue(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
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
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		for _, key := range []string{"a/2", "b/1", "a/1"} {
			_, err := s.CompareAndSwap(ctx, key, 0, []byte(key))
			assert.NilError(t, err)
		}
		records, revision, err := s.List(ctx, "a/")
		assert.NilError(t, err)
		assert.Equal(t, revision, b.platform.Revision())
		assert.Equal(t, len(records), 2)
		assert.Equal(t, records[0].Key, "a/1")
		assert.Equal(t, records[1].Key, "a/2")
	})
}

func TestLease(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s, other := context.Background(), b.connect("a"), b.connect("b")
		const ttl = 10 * time.Second
		lease, err := s.Acquire(ctx, "duty", "a", ttl)
		assert.NilError(t, err)
		assert.Assert(t, lease.Renewed.Equal(b.clock.Now()))
		_, err = other.Acquire(ctx, "duty", "b", ttl)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)

		b.clock.Add(ttl - time.Second)
		lease, err = s.Renew(ctx, lease)
		assert.NilError(t, err)
		b.clock.Add(ttl - time.Second)
		_, err = other.Acquire(ctx, "duty", "b", ttl)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)

		b.clock.Add(time.Second)
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

// Symptom: two routers act as holder of one lease.
// Sequence: a holder is paused, its lease lapses, another acquires it, the first
// wakes and renews.
// Cause: a store that renews by name instead of by the lease's id.
func TestLapsedLeaseIsNotRenewed(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		lease, err := s.Acquire(ctx, "duty", "a", time.Minute)
		assert.NilError(t, err)
		b.platform.LapseLease("duty")
		_, err = s.Renew(ctx, lease)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)
		_, err = b.connect("b").Acquire(ctx, "duty", "b", time.Minute)
		assert.NilError(t, err)
		_, err = s.Renew(ctx, lease)
		assert.ErrorIs(t, err, kv.ErrLeaseLost)
	})
}

func TestCallsAreCounted(t *testing.T) {
	contract(t, func(t *testing.T, b *bench) {
		ctx, s := context.Background(), b.connect("a")
		_, _ = s.CompareAndSwap(ctx, "a/1", 0, nil)
		_, _ = s.Get(ctx, "a/1")
		_, _ = s.Get(ctx, "a/2")
		_, _, _ = s.Watch(ctx, "a/", 0)
		calls := b.platform.Calls()
		assert.DeepEqual(t, calls, map[kv.CallKind]uint64{
			kv.CallCAS: 1, kv.CallGet: 2, kv.CallWatch: 1,
		})
	})
}
