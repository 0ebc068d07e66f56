package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The part saturated offers more than the router's own processor time allows while the
// targets have slots to spare: one router with one processor, and callers that do not
// wait for each other.
const (
	saturatedConns = 4000
	capacityConns  = 600
	saturatedTime  = 4 * time.Second
	// saturatedPatience is how late an answer may be to count.
	saturatedPatience = 100 * time.Millisecond
	capacityTime      = 2 * time.Second
)

var saturatedLoads = []float64{0.5, 0.9, 1.2, 1.5, 2}

// answers is what a stretch of open load got.
type answers struct {
	sent, inTime, late, refused, skipped int
	times, refusals                      []time.Duration
}

func (a *answers) add(b *answers) {
	a.sent += b.sent
	a.inTime += b.inTime
	a.late += b.late
	a.refused += b.refused
	a.skipped += b.skipped
	a.times = append(a.times, b.times...)
	a.refusals = append(a.refusals, b.refusals...)
}

// saturated is one way to meet the load.
type saturated struct {
	name  string
	fleet *fleet
	many  *load
}

func measureSaturated(ctx context.Context, s *settings, t *table) error {
	var ways []*saturated
	defer func() {
		for _, w := range ways {
			w.stop()
		}
	}()
	for _, shedding := range []bool{false, true} {
		w, err := startSaturated(ctx, s, shedding)
		if err != nil {
			return err
		}
		ways = append(ways, w)
	}
	for _, times := range saturatedLoads {
		// What as many callers get that wait for their answers as the targets have slots for.
		some := &load{callers: ways[0].many.callers[:capacityConns]}
		full, err := some.offer(capacityTime, 0)
		if err != nil {
			return err
		}
		capacity := float64(full.inTime+full.late) / capacityTime.Seconds()
		for _, w := range ways {
			if err := w.measure(times, capacity, t); err != nil {
				return err
			}
		}
	}
	return nil
}

func startSaturated(ctx context.Context, s *settings, shedding bool) (*saturated, error) {
	one := *s
	one.procs = 1
	f, err := startFleet(ctx, &one, shape{dataCentres: 1, routers: 1, targets: 8, shedding: shedding})
	if err != nil {
		return nil, err
	}
	w := &saturated{name: "no shedding", fleet: f}
	if shedding {
		w.name = "shedding"
	}
	var paths []string
	for i := range keysPerPath {
		paths = append(paths, fmt.Sprintf("%s/key-%d/page", servicePath, i))
	}
	if w.many, err = dialLoad(f.routers[0].Caller, nil, saturatedConns, paths); err != nil {
		f.stop()
		return nil, err
	}
	_, err = w.many.offer(warmTime, 0)
	return w, err
}

func (w *saturated) stop() {
	w.many.close()
	w.fleet.stop()
}

// measure offers a multiple of the capacity.
func (w *saturated) measure(times, capacity float64, t *table) error {
	got, err := w.many.offer(saturatedTime, times*capacity)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("own capacity %gx, %s: ", times, w.name)
	sent := float64(max(got.sent, 1))
	t.add(name+"answers in time over capacity", "ratio", float64(got.inTime)/saturatedTime.Seconds()/capacity)
	t.add(name+"p50", "ms", millis(quantile(got.times, 0.5)))
	t.add(name+"p99", "ms", millis(quantile(got.times, 0.99)))
	t.add(name+"refused", "share", float64(got.refused)/sent)
	t.add(name+"refusal, median", "ms", millis(quantile(got.refusals, 0.5)))
	t.add(name+"neither in time nor refused", "share", float64(got.late+got.skipped)/sent)
	return nil
}

// offer sends at the rate for the duration, whatever comes back, or with no rate as fast
// as answers come. A connection that is
// still busy when its next request is due leaves that one out, as a caller who gave up.
func (l *load) offer(duration time.Duration, rate float64) (*answers, error) {
	var wait sync.WaitGroup
	parts := make([]answers, len(l.callers))
	errs := make([]error, len(l.callers))
	began := time.Now()
	interval := time.Duration(0)
	if rate > 0 {
		interval = time.Duration(float64(len(l.callers)) / rate * float64(time.Second))
	}
	for i, c := range l.callers {
		wait.Go(func() {
			offset := interval * time.Duration(i) / time.Duration(len(l.callers))
			errs[i] = c.offer(&parts[i], began.Add(offset), began.Add(duration), interval)
		})
	}
	wait.Wait()
	sum := &answers{}
	for i := range parts {
		if errs[i] != nil {
			return nil, errs[i]
		}
		sum.add(&parts[i])
	}
	slices.Sort(sum.times)
	return sum, nil
}

func (c *caller) offer(a *answers, due, end time.Time, interval time.Duration) error {
	for ; due.Before(end) && time.Now().Before(end); due = due.Add(interval) {
		a.sent++
		if interval == 0 {
			due = time.Now()
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		} else if interval > 0 && -wait > interval/2 {
			a.skipped++
			continue
		}
		from := time.Now()
		status, err := c.ask()
		if err != nil {
			return err
		}
		took := time.Since(from)
		switch {
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			a.refused++
			a.refusals = append(a.refusals, took)
		case status == http.StatusOK && took <= saturatedPatience:
			a.inTime++
			a.times = append(a.times, took)
		default:
			a.late++
			a.times = append(a.times, took)
		}
	}
	return nil
}

// ask makes one request and returns the status of its answer.
func (c *caller) ask() (int, error) {
	if _, err := c.conn.Write(c.request[c.next%len(c.request)]); err != nil {
		return 0, err
	}
	c.next++
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
