package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/directory"
	"tarragongw/core/dispatch"
	"tarragongw/core/keyspace"
	"tarragongw/core/lead"
	"tarragongw/internal/syncbuffer"
	"tarragongw/internal/waittest"
	"tarragongw/kv"
	"tarragongw/platform"
	"tarragongw/platform/platformtest"
	"tarragongw/target"
	"tarragongw/telemetry"
)

// fleet is a store, targets and gateways in one process.
type fleet struct {
	t        testing.TB
	store    *platformtest.Store
	targets  map[string]*platformtest.Target
	gateways []*Gateway
	log      syncbuffer.Buffer
	version  int
	nextID   atomic.Int32
	// credentials are sent with each request; empty for none.
	credentials string
	client      *http.Client
	// links are the gateways' connections to the store, by gateway name.
	links map[string]*storeLink
	// paths are the gateways' paths to the targets, by gateway name, of gateways that are started while
	// cuttable is set.
	paths    map[string]*platformtest.Path
	cuttable bool
	// proxies are the ways to gateways for other routers, by gateway name, of gateways that are started while
	// proxied is set.
	proxies map[string]*peerProxy
	proxied bool
	// dataCentre is Options.DataCentre of gateways that are started; "hall" if empty.
	dataCentre string
	// clock is Options.Clock of gateways that are started; nil for the default.
	clock clock.Clock
	// onDial is called before gateways open connections to targets; nil for nothing.
	onDial func()
	// knownWithin is Options.PropagationLimit of gateways that are started.
	knownWithin time.Duration
	// evacuatedWithin is Options.EvacuationLimit, and cold Options.Cold of gateways that are started.
	evacuatedWithin time.Duration
	cold            dispatch.ColdTolerance
	// machine is the VM of gateways that are started, unknown by default.
	machine lead.Machine
	// slowPrefix is a prefix whose listings take slowListing for gateways that are started.
	slowPrefix string
	// metrics is Options.Telemetry of gateways that are started, which then serve it; nil for none.
	metrics *telemetry.Telemetry
}

// slowListing is longer than all other calls of a starting gateway take.
const slowListing = 400 * time.Millisecond

// storeLink is a gateway's connection to the store, which can be cut.
type storeLink struct {
	kv.TxnStore
	cut atomic.Bool
	// Listings of slowPrefix are delayed by slowDelay.
	slowPrefix string
	slowDelay  time.Duration
	// tablesHeldUp holds writes of key tables up until they are cancelled, as in a leader that makes no progress but
	// renews its lease.
	tablesHeldUp atomic.Bool
	// leaseOnly cuts the connection except for renewals and the end of a lease, whose answer is lost as is all after it.
	leaseOnly atomic.Bool
	// noLead refuses that this gateway records itself as the leader.
	noLead atomic.Bool
	// lateWanted keeps the next write of the gateway's own record in lateRecord. The gateway gets no answer.
	lateWanted atomic.Bool
	lateRecord atomic.Pointer[kv.Txn]
}

func (w *storeLink) errIfCut() error {
	if w.cut.Load() || w.leaseOnly.Load() {
		return kv.ErrUnavailable
	}
	return nil
}

// Get implements kv.TxnStore.
func (w *storeLink) Get(ctx context.Context, key string) (kv.Record, error) {
	if err := w.errIfCut(); err != nil {
		return kv.Record{}, err
	}
	return w.TxnStore.Get(ctx, key)
}

// List implements kv.TxnStore.
func (w *storeLink) List(ctx context.Context, prefix string) ([]kv.Record, kv.Revision, error) {
	if err := w.errIfCut(); err != nil {
		return nil, 0, err
	}
	if prefix == w.slowPrefix {
		time.Sleep(w.slowDelay)
	}
	return w.TxnStore.List(ctx, prefix)
}

// Watch implements kv.TxnStore. If the connection is cut during the watch, its result is lost.
func (w *storeLink) Watch(ctx context.Context, prefix string, since kv.Revision, wait time.Duration) ([]kv.Record, kv.Revision, error) {
	records, at, err := w.TxnStore.Watch(ctx, prefix, since, wait)
	if cutErr := w.errIfCut(); cutErr != nil {
		return nil, 0, cutErr
	}
	return records, at, err
}

// Commit implements kv.TxnStore.
func (w *storeLink) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, []kv.Record, error) {
	if err := w.errIfCut(); err != nil {
		return 0, nil, err
	}
	if w.tablesHeldUp.Load() && len(txn.Puts) > 0 && strings.HasPrefix(txn.Puts[0].Key, tablePrefix) {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	if len(txn.Puts) > 0 && strings.HasPrefix(txn.Puts[0].Key, routerPrefix) && w.lateWanted.CompareAndSwap(true, false) {
		w.lateRecord.Store(&txn)
		return 0, nil, kv.ErrUnknown
	}
	if w.noLead.Load() && slices.ContainsFunc(txn.Puts, func(p kv.Put) bool { return p.Key == leaderKey }) {
		return 0, nil, kv.ErrUnavailable
	}
	return w.TxnStore.Commit(ctx, txn)
}

// NewLease implements kv.TxnStore.
func (w *storeLink) NewLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	if err := w.errIfCut(); err != nil {
		return kv.LeaseID{}, 0, err
	}
	return w.TxnStore.NewLease(ctx, ttl)
}

// EndLease implements kv.TxnStore.
func (w *storeLink) EndLease(ctx context.Context, id kv.LeaseID) error {
	if w.cut.Load() {
		return kv.ErrUnavailable
	}
	err := w.TxnStore.EndLease(ctx, id)
	if w.leaseOnly.Load() {
		w.cut.Store(true)
	}
	return errors.Join(err, w.errIfCut())
}

// RenewLease implements kv.TxnStore.
func (w *storeLink) RenewLease(ctx context.Context, id kv.LeaseID) error {
	if w.cut.Load() {
		return kv.ErrUnavailable
	}
	return w.TxnStore.RenewLease(ctx, id)
}

const host = "h.example"

func routerName(i int) string { return fmt.Sprintf("router-%d", i) }

// newFleet starts gateways with a store that has the configuration and the targets.
func newFleet(t testing.TB, gateways int, config string, targets ...*platformtest.Target) *fleet {
	f := &fleet{t: t, store: platformtest.NewStore(), targets: map[string]*platformtest.Target{}, links: map[string]*storeLink{}, paths: map[string]*platformtest.Path{}, proxies: map[string]*peerProxy{}, client: &http.Client{}}
	t.Cleanup(f.close)
	if config != "" {
		f.configure(config)
	}
	for _, target := range targets {
		f.add(target)
	}
	for i := range gateways {
		f.start(routerName(i))
	}
	if config != "" {
		for _, g := range f.gateways {
			waittest.Until(t, "the gateway is ready", g.synced.Load)
		}
	}
	return f
}

// newCuttableFleet is newFleet with gateways whose paths to the targets can be cut. They are in two data
// centres in turn.
func newCuttableFleet(t testing.TB, gateways int, targets ...*platformtest.Target) *fleet {
	f := newFleet(t, 0, mixedConfig, targets...)
	f.cuttable = true
	for i := range gateways {
		f.dataCentre = []string{"hall", "annex"}[i%2]
		f.start(fmt.Sprintf("router-%d", i))
	}
	for _, g := range f.gateways {
		waittest.Until(t, "the gateway is ready", g.synced.Load)
	}
	waittest.Until(t, "a router leads", func() bool { return f.leader() != nil })
	return f
}

func (f *fleet) close() {
	f.client.CloseIdleConnections()
	for _, g := range f.gateways {
		abandon(g)
	}
	for _, path := range f.paths {
		path.Close()
	}
	for _, target := range f.targets {
		target.Close()
	}
	f.store.Close()
	if f.t.Failed() {
		f.t.Log(f.log.String())
	}
}

// abandon ends a gateway as a crash of its process would.
func abandon(g *Gateway) {
	g.cancel()
	for _, l := range []net.Listener{g.callerListener, g.readyListener, g.peerListener, g.metricsListener} {
		if l != nil {
			// It may be closed already.
			_ = l.Close()
		}
	}
}

func (f *fleet) add(target *platformtest.Target) {
	f.targets[target.ID] = target
	target.Register(f.store)
}

// setSlots sets the number of slots of each target, and waits until all gateways know it.
func (f *fleet) setSlots(n int) {
	f.t.Helper()
	for _, target := range f.targets {
		target.Slots = n
		target.Register(f.store)
	}
	for _, g := range f.gateways {
		waittest.Until(f.t, "the slots are known", func() bool {
			g.mu.RLock()
			defer g.mu.RUnlock()
			other := func(t directory.Target) bool { return t.Slots != n }
			return len(g.targets) == len(f.targets) && !slices.ContainsFunc(g.targets, other)
		})
	}
}

// configure writes a configuration with the next version; rest is the JSON of its other fields.
func (f *fleet) configure(rest string) {
	f.version += 3
	f.store.Put(platform.ConfigKey, []byte(fmt.Sprintf(`{"version":"%08x",%s}`, f.version, rest)))
}

func (f *fleet) start(name string) *Gateway {
	f.t.Helper()
	var dial platform.Dial
	if f.cuttable {
		f.paths[name] = platformtest.NewPath()
		dial = f.paths[name].Dial
	}
	if f.onDial != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			f.onDial()
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}
	orders := platform.NewOrderClient(dial)
	f.links[name] = &storeLink{TxnStore: platform.NewStore(f.store.Address()), slowPrefix: f.slowPrefix, slowDelay: slowListing}
	metricsAddress := ""
	if f.metrics != nil {
		metricsAddress = "127.0.0.1:0"
	}
	g, err := New(Options{
		MetricsAddress: metricsAddress, Telemetry: f.metrics,
		Name: name, DataCentre: cmp.Or(f.dataCentre, "hall"), CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Clock: f.clock, Store: f.links[name], DialTarget: dial, LeaseMin: time.Second, PropagationLimit: f.knownWithin, EvacuationLimit: f.evacuatedWithin, Cold: f.cold, MaxGrantTTL: 10 * time.Second, Grace: 3 * time.Second,
		CPUShare: f.machine.CPUShare, LinkBytesPerSecond: f.machine.LinkBytesPerSecond,
		RetryShare: 0.2, RetryMin: 60, RetryWindow: 10 * time.Second,
		Logger: slog.New(slog.NewTextHandler(&f.log, nil)).With("router", name),
		Adapter: Adapter{
			Headers: Headers{
				RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Expect: platform.HeaderExpect, Key: platform.HeaderKey,
			},
			Dialect: target.Dialect{
				NotRun: platform.HeaderNotRun, NotRunStatuses: []int{http.StatusMisdirectedRequest},
				RequestID: platform.HeaderRequestID, Signature: platform.HeaderStamp,
			},
			ReadyPath: platform.ReadyPath, ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
			EvacuationPrefix: platform.EvacuationPrefix,
			DecodeConfig:     platform.DecodeConfig, DecodeTarget: platform.DecodeTarget, TargetID: platform.TargetID,
			DecodeAnswer: platform.DecodeAnswer, EncodeRefusal: platform.EncodeRefusal, ObserveOrders: orders.Observe, UnreadHeaders: platform.UnreadHeaders,
			UnreadConfigFields: platform.UnreadConfigFields, UnreadEntryFields: platform.UnreadEntryFields, SendOrder: orders.Send, OrderTraffic: orders.Traffic, Warmup: orders.Warmup, AskLimit: orders.AskLimit,
		},
	})
	assert.NilError(f.t, err)
	g.opts.PeerAddress = g.peerListener.Addr().String()
	if f.proxied {
		f.proxies[name] = newPeerProxy(f.t, g.opts.PeerAddress)
		g.opts.PeerAddress = f.proxies[name].address()
	}
	g.Start()
	f.gateways = append(f.gateways, g)
	return g
}

// call is a caller's request.
type call struct {
	method, path string
	// host is the host of most routes if empty.
	host string
	key  int
	body string
	left time.Duration
}

// answer is the answer that the caller got.
type answer struct {
	status int
	header http.Header
	body   string
	id     string
	err    error
}

func (f *fleet) send(g *Gateway, c call) answer { return f.sendAs(g, c, f.newID()) }

// newID returns the ID of the next request.
func (f *fleet) newID() string { return fmt.Sprintf("id-%d", f.nextID.Add(1)) }

// awaitTarget waits until all gateways know the target.
func (f *fleet) awaitTarget(id string) {
	f.t.Helper()
	for _, g := range f.gateways {
		waittest.Until(f.t, id+" is known", func() bool {
			g.mu.RLock()
			defer g.mu.RUnlock()
			return slices.ContainsFunc(g.targets, func(t directory.Target) bool { return t.ID == id })
		})
	}
}

func (f *fleet) sendAs(g *Gateway, c call, id string) answer {
	if c.left == 0 {
		c.left = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), c.left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.callerListener.Addr().String()+c.path, bytes.NewReader([]byte(c.body)))
	assert.NilError(f.t, err)
	req.Host = cmp.Or(c.host, host)
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(c.left.Milliseconds()))
	if f.credentials != "" {
		req.Header.Set("Authorization", f.credentials)
	}
	if c.key >= 0 {
		req.Header.Set(platform.HeaderKey, fmt.Sprint(c.key))
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return answer{err: err, id: id}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), id, err}
}

// sendUntilServed sends the call until it is answered 200, since its key may be moving.
func (f *fleet) sendUntilServed(g *Gateway, c call) answer {
	f.t.Helper()
	var last answer
	waittest.Until(f.t, c.path+" is served", func() bool {
		last = f.send(g, c)
		return last.status == http.StatusOK
	})
	return last
}

// holder returns the ID of the target that holds the key; several are joined by "+".
func (f *fleet) holder(k keyspace.Key) string {
	var held []string
	for id, target := range f.targets {
		if target.Holds(k) {
			held = append(held, id)
		}
	}
	return strings.Join(held, "+")
}

// leader returns the gateway that leads, or nil.
func (f *fleet) leader() *Gateway {
	return f.leaderOtherThan(nil)
}

// leaderOtherThan returns a gateway that leads and is not the given one, or nil.
func (f *fleet) leaderOtherThan(other *Gateway) *Gateway {
	for _, g := range f.gateways {
		g.subscription.mu.Lock()
		leads := g.subscription.term != nil && g.lifetime.Err() == nil
		g.subscription.mu.Unlock()
		if leads && g != other {
			return g
		}
	}
	return nil
}

// waiters returns the number of requests that wait for placement.
func (s *service) waiters() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// runsOf counts how often targets ran the request.
func (f *fleet) runsOf(id string) int {
	n := 0
	for _, target := range f.targets {
		for _, r := range target.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

const plainConfig = `"routes":[
{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe","timeout":"1000ms","target_latency":"400ms","service":"any","max_attempts":2},
{"name":"pay","host":"h.example","prefix":"/pay/","route_type":"unsafe","timeout":"1000ms","target_latency":"400ms","service":"any","max_attempts":2}],
"services":[{"name":"any","max_connections":40}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}`

const keyedConfig = `"routes":[
{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe","timeout":"1500ms","target_latency":"400ms","service":"keyed","max_attempts":2}],
"services":[{"name":"keyed","max_connections":40,"sharded":true,"health_path":"/healthz"}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}`

func plainTarget(id string) *platformtest.Target {
	return platformtest.NewTarget(id, "any", "hall", false)
}

func keyedTarget(id string) *platformtest.Target {
	return platformtest.NewTarget(id, "keyed", "hall", true)
}

// mixedConfig has a service with keys and one without.
const mixedConfig = `"routes":[
{"name":"look","host":"h.example","prefix":"/look/","route_type":"safe","timeout":"1500ms","target_latency":"400ms","service":"keyed","max_attempts":2},
{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe","timeout":"1000ms","target_latency":"400ms","service":"any","max_attempts":2},
{"name":"pay","host":"h.example","prefix":"/pay/","route_type":"unsafe","timeout":"1000ms","target_latency":"400ms","service":"any","max_attempts":2}],
"services":[{"name":"keyed","max_connections":40,"sharded":true,"health_path":"/healthz"},{"name":"any","max_connections":40}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}`

// mixedTargets are targets of the services of mixedConfig.
func mixedTargets() []*platformtest.Target {
	return []*platformtest.Target{
		keyedTarget("k0"), keyedTarget("k1"), keyedTarget("k2"), plainTarget("p0"), plainTarget("p1"), plainTarget("p2"),
	}
}

const (
	// stallTick is how often watchStalls reads the clock, and maxStall how late it may be: leases of
	// a second are renewed every few hundred milliseconds.
	stallTick = 20 * time.Millisecond
	maxStall  = 250 * time.Millisecond
	// stallTries is the maximum number of runs of a check that fails because of stalls.
	stallTries = 5
)

// retryOnStall runs a check that depends on leases being renewed in time. If the check fails and the whole
// process has stalled meanwhile for longer than leases allow, it is run again. A failure without a stall
// fails the test.
func retryOnStall(t *testing.T, check func() error) {
	t.Helper()
	var err error
	for range stallTries {
		worst := make(chan time.Duration, 1)
		done := make(chan struct{})
		go func() { worst <- watchStalls(done) }()
		err = check()
		close(done)
		stall := <-worst
		if err == nil {
			return
		}
		t.Logf("%v; the process stalled for up to %v", err, stall)
		if stall < maxStall {
			break
		}
	}
	t.Fatal(err)
}

// watchStalls returns the longest stall of the process until done is closed.
func watchStalls(done <-chan struct{}) (worst time.Duration) {
	last := time.Now()
	for {
		select {
		case <-done:
			return worst
		case <-time.After(stallTick):
		}
		now := time.Now()
		worst = max(worst, now.Sub(last)-stallTick)
		last = now
	}
}
