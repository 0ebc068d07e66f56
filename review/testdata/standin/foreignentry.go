package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"tarragongw/platform"
)

const (
	// cutLength is how long an endpoint does not reach the store.
	cutLength = 10 * time.Second
	// entryLife is after how long without a report the store removes an entry.
	entryLife = 3 * heartbeat
	// maxOverlap is for how long two endpoints may hold a key.
	maxOverlap = 500 * time.Millisecond
)

// setGone stops or resumes the endpoint's reports to the store. It goes on with everything else.
func (e *endpoint) setGone(gone bool) {
	e.mu.Lock()
	e.gone = gone
	e.mu.Unlock()
	if !gone {
		e.register()
	}
}

// holdersOf returns the endpoints that hold the key now.
func holdersOf(all []*endpoint, key int) (holders []string) {
	for _, e := range all {
		e.mu.Lock()
		if e.holds(key) {
			holders = append(holders, e.id)
		}
		e.mu.Unlock()
	}
	return holders
}

// overlaps watches keys that are spread over all, and counts those that two endpoints hold for longer than maxOverlap.
type overlaps struct {
	w      *world
	all    []*endpoint
	mu     sync.Mutex
	broken int
}

func (o *overlaps) watch() {
	since, counted := map[int]time.Time{}, map[int]bool{}
	for o.w.sleep(5 * time.Millisecond) {
		for key := 5; key < 1<<16; key += 131 {
			holders := holdersOf(o.all, key)
			if len(holders) > 1 {
				holders = holdersOf(o.all, key) // the key may have moved between two looks
			}
			if len(holders) < 2 {
				delete(since, key)
				delete(counted, key)
				continue
			}
			if _, known := since[key]; !known {
				since[key] = time.Now()
				o.w.record.add("%v hold key %d at the same time", holders, key)
			}
			if time.Since(since[key]) > maxOverlap && !counted[key] {
				counted[key] = true
				o.w.record.add("OWNER: %v hold key %d for over %v", holders, key, maxOverlap)
				o.mu.Lock()
				o.broken++
				o.mu.Unlock()
			}
		}
	}
}

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry: endpoints do not reach the store for a while, and meanwhile another writer writes an entry that names the address
// of such an endpoint and a service that the configuration doesn't have.
func foreignEntry(bin, recordPath string, trouble bool) (int, error) {
	const endpoints = 5
	w, err := newWorld(bin, recordPath, keyedConfig)
	if err != nil {
		return caseNotPlayed, err
	}
	defer w.close()
	var all []*endpoint
	for i := range endpoints {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), service: "listing", zone: "hall", slots: 4, queue: 12, keyed: true, work: 100 * time.Millisecond}
		if err := w.addEndpoint(e); err != nil {
			return caseNotPlayed, err
		}
		all = append(all, e)
	}
	if err := w.addRouters(3, w.store.Address()); err != nil {
		return caseNotPlayed, err
	}
	time.Sleep(3 * time.Second) // until the keys have been granted
	watch := &overlaps{w: w, all: slices.Clone(all)}
	w.jobs.Go(watch.watch)
	var sending sync.WaitGroup
	end := time.Now().Add(time.Duration(4) * (cutLength + 3*time.Second))
	for c := range 20 {
		sending.Go(func() {
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				w.send(client, w.routers[(c+n)%3], http.MethodGet, "/lookup/1", fmt.Sprintf("c%d-%d", c, n), rand.IntN(1<<16), 2500*time.Millisecond, nil)
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
			}
		})
	}
	for i := 0; time.Now().Before(end.Add(-cutLength)); i++ {
		if trouble {
			w.cutWithForeignEntry(all[i%endpoints], fmt.Sprintf("other-%d", i))
		}
		time.Sleep(3 * time.Second)
	}
	sending.Wait()
	summary := fmt.Sprintf("OWNER: %d of 501 watched keys had two holders for over %v", watch.broken, maxOverlap)
	w.record.add("%s", summary)
	fmt.Println(summary)
	if watch.broken > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// cutWithForeignEntry cuts an endpoint off from the store for cutLength.
func (w *world) cutWithForeignEntry(e *endpoint, other string) {
	w.record.add("%s is cut off from the store", e.id)
	e.setGone(true)
	time.Sleep(entryLife - time.Second)
	entry := fmt.Sprintf(`{"address":%q,"info":{"service":"elsewhere","version":"v1","zone":"hall","slots":4},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}`, e.listener.Addr())
	w.record.add("another writer writes servers/%s: %s", other, entry)
	if os.Getenv("FOREIGN") != "0" { // FOREIGN=0 shows that the cut alone breaks nothing
		w.store.Put(platform.TargetPrefix+other, []byte(entry))
	}
	time.Sleep(time.Second)
	w.record.add("the store removes the entry of %s", e.id)
	w.store.Delete(platform.TargetPrefix + e.id)
	time.Sleep(cutLength - entryLife)
	w.store.Delete(platform.TargetPrefix + other)
	e.setGone(false)
	w.record.add("%s reaches the store again", e.id)
}
