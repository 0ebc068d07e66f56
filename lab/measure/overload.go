package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/model"
	"tarragongw/dev"
	"tarragongw/target/sample"
)

// The part overload confirms the policy figures of docs/design/requests.md on real
// sockets: the same offered load goes through routers and straight to targets that
// queue what exceeds their slots. Routers, targets and load share this process, so
// the figures show the policy, not the router's speed.
const (
	overloadTargets  = 3
	overloadSlots    = 6
	overloadWork     = 20 * time.Millisecond
	overloadDeadline = 500 * time.Millisecond
	overloadRouters  = 2
	overloadTime     = 3 * time.Second
	overloadWarm     = time.Second
	overloadStop     = 5 * time.Second
	// overloadCapacity is in requests a second.
	overloadCapacity = float64(overloadTargets*overloadSlots) / (float64(overloadWork) / float64(time.Second))
	batchWorkers     = 48
	// peopleShare is the interactive load beside batch work.
	peopleShare = 0.5
)

// overloaded is one way from callers to the targets.
type overloaded struct {
	name string
	urls []string
	// arrivals counts the requests that reached a target.
	arrivals func() int
	client   *http.Client
}

func measureOverload(ctx context.Context, _ *settings, t *table) error {
	routed, stop, err := startRouted(ctx)
	if err != nil {
		return err
	}
	defer stop()
	direct, stopDirect, err := startDirect()
	if err != nil {
		return err
	}
	defer stopDirect()
	for _, way := range []*overloaded{direct, routed} {
		way.offer(overloadCapacity*peopleShare, overloadWarm, "interactive")
	}
	for _, times := range []float64{1.2, 2, 5} {
		reachable := direct.oneForEachSlot()
		t.add(fmt.Sprintf("overload %gx, direct, one caller for each slot: answers over capacity", times), "ratio", reachable)
		for _, way := range []*overloaded{direct, routed} {
			before := way.arrivals()
			got := way.offer(times*overloadCapacity, overloadTime, "interactive")
			name := fmt.Sprintf("overload %gx, %s: ", times, way.name)
			t.add(name+"answers in time over capacity", "ratio", got.goodput()).
				against("one caller for each slot", []float64{got.goodput()}, []float64{reachable}).goal(goalOf(way, ">= 0.95"))
			t.add(name+"arrivals at targets for each answer in time", "ratio",
				float64(way.arrivals()-before)/float64(max(len(got.ok), 1))).goal(goalOf(way, "<= 1.1"))
			t.add(name+"refusal, median", "ms", millis(quantile(got.refused, 0.5)))
			t.add(name+"ended neither in time nor with a refusal", "share", float64(got.other)/float64(max(got.sent, 1)))
		}
	}
	for _, way := range []*overloaded{direct, routed} {
		way.besideBatch(t)
	}
	return nil
}

func goalOf(way *overloaded, text string) string {
	if way.name == "direct" {
		return ""
	}
	return text
}

// besideBatch takes the latency of interactive work without and with batch work that
// saturates the targets.
func (w *overloaded) besideBatch(t *table) {
	alone := w.offer(peopleShare*overloadCapacity, overloadTime, "interactive")
	stop := make(chan struct{})
	var done atomic.Int64
	var workers sync.WaitGroup
	for range batchWorkers {
		workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if status, _ := w.send(i, "batch"); status == http.StatusOK {
					done.Add(1)
					continue
				}
				time.Sleep(overloadWork)
			}
		})
	}
	beside := w.offer(peopleShare*overloadCapacity, overloadTime, "interactive")
	close(stop)
	batch := float64(done.Load()) / overloadTime.Seconds()
	workers.Wait()
	name := "interactive at 0.5x beside batch, " + w.name + ": "
	slow, fast := millis(quantile(beside.ok, 0.99)), millis(quantile(alone.ok, 0.99))
	t.add(name+"p99", "ms", slow).against("without batch", []float64{slow}, []float64{fast}).goal(goalOf(w, "ratio <= 1.5"))
	t.add(name+"answered in time", "share", float64(len(beside.ok))/float64(max(beside.sent, 1)))
	t.add(name+"batch work done over what interactive work leaves", "ratio", batch/((1-peopleShare)*overloadCapacity))
}

// offered is what a stretch of open load got.
type offered struct {
	mu sync.Mutex
	// ok and refused hold latencies.
	ok, refused []time.Duration
	other, sent int
	// counted are the answers that came while requests were sent, until end.
	counted int
	end     time.Time
	took    time.Duration
}

// goodput leaves out what was queued at the end, which would count as answers of a
// time in which nothing was offered.
func (o *offered) goodput() float64 { return float64(o.counted) / o.took.Seconds() / overloadCapacity }

func (o *offered) count(status int, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case status == http.StatusOK && took <= overloadDeadline:
		o.ok = append(o.ok, took)
		if time.Now().Before(o.end) {
			o.counted++
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		o.refused = append(o.refused, took)
	default:
		o.other++
	}
}

// offer sends at the rate, whatever comes back.
func (w *overloaded) offer(rate float64, duration time.Duration, class string) *offered {
	o := &offered{took: duration, end: time.Now().Add(duration)}
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	began := time.Now()
	for due := began; due.Before(began.Add(duration)); due = due.Add(interval) {
		time.Sleep(time.Until(due))
		i := o.sent
		o.sent++
		group.Go(func() {
			status, took := w.send(i, class)
			o.count(status, took)
		})
	}
	group.Wait()
	return o
}

// oneForEachSlot is what the targets themselves reach on this machine, over their
// capacity: as many callers as slots, each of which asks again once it is answered, with
// no queue and no router. What it lacks of one is lost to timers, processor and the way.
func (w *overloaded) oneForEachSlot() float64 {
	var answered atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(overloadTime)
	for i := range overloadTargets * overloadSlots {
		group.Go(func() {
			for time.Now().Before(end) {
				// The index chooses the target, so that each has as many callers as slots.
				if status, _ := w.send(i, "interactive"); status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(answered.Load()) / overloadTime.Seconds() / overloadCapacity
}

// send returns the status, zero where there was no answer within the deadline.
func (w *overloaded) send(i int, class string) (int, time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), overloadDeadline)
	defer cancel()
	url := fmt.Sprintf("%s/work/key-%d", w.urls[i%len(w.urls)], i)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, 0
	}
	req.Header.Set("Class", class)
	req.Header.Set("Caller", fmt.Sprint("caller-", i%20))
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, time.Since(began)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, time.Since(began)
	}
	return resp.StatusCode, time.Since(began)
}

func newOverloadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// startRouted runs routers before sample targets that shed what exceeds their slots.
func startRouted(ctx context.Context) (*overloaded, func(), error) {
	system, err := dev.Start(ctx, dev.Config{
		Model:                overloadModel(),
		RoutersPerDataCentre: overloadRouters,
		Sample:               func(c *sample.Config) { c.Work = overloadWork },
	})
	if err != nil {
		return nil, nil, err
	}
	w := &overloaded{name: "routers", client: newOverloadClient()}
	for i := range system.Routers {
		w.urls = append(w.urls, system.CallerURL(i))
	}
	w.arrivals = func() int {
		var n int
		for _, target := range system.Targets {
			n += target.Arrivals()
		}
		return n
	}
	return w, func() {
		w.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(ctx, overloadStop)
		defer cancel()
		system.Stop(ctx)
	}, nil
}

func overloadModel() *model.Model {
	m := &model.Model{Services: []model.Service{{
		Name:            "work",
		Division:        model.Any,
		PathPrefix:      "/work",
		Caller:          model.Extract{From: model.FromHeader, Name: "Caller"},
		Class:           model.Extract{From: model.FromHeader, Name: "Class", Default: "interactive"},
		Timeout:         overloadDeadline,
		ProgressTimeout: overloadDeadline,
		QueueLength:     48,
		BatchShare:      0.1,
		Isolation:       model.Isolation{Keep: true},
	}}}
	for i := range overloadTargets {
		m.Targets = append(m.Targets, model.Target{
			Name: fmt.Sprint("work-", i), Service: "work", DataCentre: "hall", Address: "127.0.0.1:1",
			Slots: overloadSlots, Connections: 120,
		})
	}
	return m
}

// queueTarget works on what it has slots for and lets all else wait, as a server
// without admission does.
type queueTarget struct {
	slots    chan struct{}
	arrivals *atomic.Int64
}

func (q *queueTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q.arrivals.Add(1)
	select {
	case q.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-q.slots }()
	time.Sleep(overloadWork)
	_, _ = io.WriteString(w, "done\n") // an error means that the caller has gone
}

// startDirect runs targets that callers reach without a router.
func startDirect() (*overloaded, func(), error) {
	var arrivals atomic.Int64
	w := &overloaded{name: "direct", client: newOverloadClient(), arrivals: func() int { return int(arrivals.Load()) }}
	var servers []*http.Server
	stop := func() {
		w.client.CloseIdleConnections()
		for _, server := range servers {
			_ = server.Close() // nobody is served any more
		}
	}
	for range overloadTargets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, errors.Wrap(err, "listen for a target")
		}
		server := &http.Server{
			Handler:           &queueTarget{slots: make(chan struct{}, overloadSlots), arrivals: &arrivals},
			ReadHeaderTimeout: time.Second,
		}
		servers = append(servers, server)
		go func() { _ = server.Serve(l) }() // ends by Close
		w.urls = append(w.urls, "http://"+l.Addr().String())
	}
	return w, stop, nil
}

func quantile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
