package ownmeasure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"tarragongw/caller"
	"tarragongw/core/model"
	"tarragongw/dev"
)

const (
	// wallBeside is the number of systems that run at the same time.
	wallBeside  = 3
	wallService = "faq-viewer"
	wallTargets = 6
	wallRouters = 2
	wallKeys    = 60
	wallSettle  = 500 * time.Millisecond
	wallWatch   = 2500 * time.Millisecond
	// wallCallers is the number of callers of each key: a request that is in the hands of a
	// router as it is lost may hang while the key is served to others.
	wallCallers = 3
	// wallPause is the rest of a caller between two requests, and the resolution.
	wallPause    = 20 * time.Millisecond
	wallPatience = 30 * time.Second
)

var wallDataCentres = []string{"abashiri-hall", "kushiro-hall", "nemuro-hall"}

// wallLoss is what a trial loses.
type wallLoss struct {
	name            string
	target, grantor bool
}

// Wall prints the unavailable time of keys of a running system over loopback, by the
// wall clock and with the default timers.
func Wall(out io.Writer, opt Options) error {
	fmt.Fprintf(out, "# unavailable time of a key in ms by the wall clock, default settings, %d data centres with %d routers and %d targets each, over loopback, resolution %v\n",
		len(wallDataCentres), wallRouters, wallTargets/len(wallDataCentres), wallPause)
	for _, l := range []wallLoss{{"target lost", true, false}, {"grantor lost", false, true}, {"both lost", true, true}} {
		if !strings.Contains(l.name, opt.Loss) {
			continue
		}
		for _, k := range []kind{kinds[0], kinds[3]} {
			if err := wallOf(out, l, k, opt); err != nil {
				return err
			}
		}
	}
	return nil
}

func wallOf(out io.Writer, l wallLoss, k kind, opt Options) error {
	var sum wallResult
	results := make([]wallResult, opt.Trials)
	var g errgroup.Group
	g.SetLimit(wallBeside)
	for i := range results {
		g.Go(func() (err error) {
			results[i], err = wallTrial(l, k, opt.Explain)
			return errors.WithMessagef(err, "%s, %s", l.name, k.name)
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range results {
		sum.gaps = append(sum.gaps, r.gaps...)
		fmt.Fprint(out, r.explained)
		sum.extra += r.extra
		sum.overlaps += r.overlaps
	}
	fmt.Fprintf(out, "wall loss=%q kind=%s trials=%d keys=%d p50=%.0f p99=%.0f max=%.0f extra_moves=%d two_owners=%d\n",
		l.name, k.name, opt.Trials, len(sum.gaps), milli(sum.gaps, 0.5), milli(sum.gaps, 0.99), milli(sum.gaps, 1), sum.extra, sum.overlaps)
	return nil
}

// wallResult is what trials found: the longest time between two answers for each key,
// the keys that moved without need, and the executions of one unit by two targets.
type wallResult struct {
	gaps            []time.Duration
	extra, overlaps int
	// explained is what happened where a key was away for longer than was asked about.
	explained string
}

// wallTrial runs a system, asks for keys of one target all the time, and takes that
// target, its grantor or both away.
func wallTrial(l wallLoss, k kind, longest time.Duration) (wallResult, error) {
	var r wallResult
	ctx, cancel := context.WithTimeout(context.Background(), wallPatience)
	defer cancel()
	var lines routerLog
	cfg := dev.Config{Model: wallModel(k.check), RoutersPerDataCentre: wallRouters}
	if longest > 0 {
		cfg.Logger = lines.logger()
	}
	s, err := dev.Start(ctx, cfg)
	if err != nil {
		return r, errors.WithMessage(err, "start a system")
	}
	defer end(ctx, s)
	if err := awaitSuccessors(ctx, s); err != nil {
		return r, err
	}
	time.Sleep(wallSettle)
	owners, err := ownersOf(ctx, s, 0)
	if err != nil {
		return r, err
	}
	struck := owners["key-0"]
	grantor, entry := routerNamed(s, struck.grantor)
	watch := startWatch(s.CallerURL(entry), owners)
	time.Sleep(wallSettle)
	watch.mark()
	lostAt := time.Now()
	if l.target {
		s.Targets[struck.target].Close()
	}
	if l.grantor {
		s.Routers[grantor].Abort()
	}
	time.Sleep(wallWatch)
	r.gaps = watch.end(keysOf(owners, struck, l))
	if longest > 0 && slices.Max(r.gaps) > longest {
		r.explained = watch.explain(&lines, struck, lostAt)
	}
	after, err := ownersOf(ctx, s, entry)
	if err != nil {
		return r, err
	}
	for key, o := range owners {
		if after[key].target != o.target && !(l.target && o.target == struck.target) {
			r.extra++
		}
	}
	r.overlaps = len(s.Log.Overlaps())
	return r, nil
}

// end ends a system without the pauses of a planned stop.
func end(ctx context.Context, s *dev.System) {
	for _, r := range s.Routers {
		r.Abort()
	}
	s.Stop(ctx)
}

// wallModel keeps the rebalancing of loads out, so that only losses move keys.
func wallModel(check model.GrantCheck) *model.Model {
	m := &model.Model{Services: []model.Service{{
		Name: wallService, Division: model.ByKey, HashSlots: 64, PathPrefix: "/" + wallService, StripPrefix: true,
		Key:     model.Extract{From: model.FromPath},
		Caller:  model.Extract{From: model.FromHeader, Name: "Caller", Default: "anyone"},
		Class:   model.Extract{From: model.FromHeader, Name: "Class", Default: "interactive"},
		Timeout: 2 * time.Second, ProgressTimeout: time.Second, QueueLength: 48, Isolation: model.Isolation{Keep: true},
		Weights: model.Weights{Imbalance: 0.001, Churn: 1000, Unavailable: 1000},
	}}}
	for i := range wallTargets {
		m.Targets = append(m.Targets, model.Target{Name: fmt.Sprintf("faq-%02d", i), Service: wallService,
			DataCentre: wallDataCentres[i%len(wallDataCentres)], Address: "127.0.0.1:1", Slots: 6, Connections: 40, Grants: check})
	}
	return m
}

// holder is who serves a key.
type holder struct{ target, grantor string }

func ownersOf(ctx context.Context, s *dev.System, router int) (map[string]holder, error) {
	out := make(map[string]holder, wallKeys)
	for i := range wallKeys {
		key := fmt.Sprintf("key-%d", i)
		e, err := s.Operator(router).ExplainKey(ctx, wallService, key)
		if err != nil {
			return nil, errors.WithMessage(err, "explain a key")
		}
		out[key] = holder{e.Target, e.Grantor}
	}
	return out, nil
}

// keysOf returns the keys that a loss concerns.
func keysOf(owners map[string]holder, struck holder, l wallLoss) []string {
	var out []string
	for key, o := range owners {
		if l.target && o.target == struck.target || l.grantor && o.grantor == struck.grantor {
			out = append(out, key)
		}
	}
	return out
}

// routerNamed returns the index of the router and that of one of another data centre.
func routerNamed(s *dev.System, name string) (index, elsewhere int) {
	for i, r := range s.Routers {
		if r.Name() == name {
			index = i
		}
	}
	for i, r := range s.Routers {
		if r.DataCentre() != s.Routers[index].DataCentre() {
			return index, i
		}
	}
	return index, index
}

// awaitSuccessors waits until each grantor record names a successor.
func awaitSuccessors(ctx context.Context, s *dev.System) error {
	for name := range s.Targets {
		for {
			e, err := s.Operator(0).ExplainTarget(ctx, name)
			if err == nil && len(e.Successors) > 0 {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("no successor on record for %s", name)
			}
			time.Sleep(wallPause)
		}
	}
	return nil
}

// watch asks for keys all the time and notes the longest time
// between two answers of each since mark.
type watch struct {
	url  string
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	last map[string]time.Time
	gap  map[string]time.Duration
	// asked holds the requests that were not answered as they should, or late.
	asked []asked
}

// startWatch asks for all keys alike, so that no load is evened out meanwhile.
func startWatch(url string, owners map[string]holder) *watch {
	w := &watch{url: url, stop: make(chan struct{}), last: map[string]time.Time{}, gap: map[string]time.Duration{}}
	client := &http.Client{Timeout: wallPatience, Transport: &http.Transport{MaxIdleConnsPerHost: wallKeys * wallCallers}}
	for key := range owners {
		w.last[key] = time.Now()
	}
	for key := range owners {
		for range wallCallers {
			w.done.Add(1)
			go w.ask(client, key)
		}
	}
	return w
}

func (w *watch) ask(client *http.Client, key string) {
	defer w.done.Done()
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		w.send(client, key)
		time.Sleep(wallPause)
	}
}

func (w *watch) send(client *http.Client, key string) {
	began := time.Now()
	resp, err := client.Post(w.url+"/"+wallService+"/"+key, "text/plain", strings.NewReader("x"))
	if err != nil {
		w.note(key, began, err.Error())
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode == http.StatusOK {
		w.answered(key)
	}
	w.note(key, began, fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(caller.HeaderError), " ", resp.Header.Get(caller.HeaderRan)))
}

func (w *watch) answered(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.gap[key] = max(w.gap[key], now.Sub(w.last[key]))
	w.last[key] = now
}

// mark begins to measure.
func (w *watch) mark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.gap)
}

// end returns the longest gap of each of the keys, up to now for one that is not served.
func (w *watch) end(keys []string) []time.Duration {
	close(w.stop)
	w.done.Wait()
	var out []time.Duration
	for _, key := range keys {
		out = append(out, max(w.gap[key], time.Since(w.last[key])))
	}
	return out
}
