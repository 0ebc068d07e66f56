package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["repeated-release"] = repeatedRelease }

// repeatedRelease: endpoints send some answers to releases once more, late, where the next answer on the connection is expected.
func repeatedRelease(bin, recordPath string, trouble bool) (int, error) {
	const (
		length    = 95 * time.Second
		clients   = 40
		endpoints = 5
		faulty    = 3
		work      = 400 * time.Millisecond
	)
	w, err := newWorld(bin, recordPath, keyedConfig)
	if err != nil {
		return caseNotPlayed, err
	}
	defer w.close()
	var answers, extras, broken atomic.Int64
	var all []*endpoint
	for i := range endpoints {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), service: "listing", zone: "hall", slots: 4, queue: 12, keyed: true, work: work}
		e.extra = func(_ *endpoint, a *answered, next *http.Request) bool {
			answers.Add(1)
			if !trouble || i >= faulty || a.what != "POST /release" || next.URL.Path != "/release" {
				return false
			}
			extras.Add(1)
			return true
		}
		e.onGrant = func(e *endpoint, from, to int, fence uint64) {
			for _, other := range all {
				if other == e {
					continue
				}
				if key := other.atWork(from, to); key >= 0 {
					broken.Add(1)
					w.record.add("OWNER: %s is given the keys %d to %d (fence %d) while %s is still at work on key %d", e.id, from, to, fence, other.id, key)
				}
			}
		}
		all = append(all, e)
	}
	for _, e := range all {
		if err := w.addEndpoint(e); err != nil {
			return caseNotPlayed, err
		}
	}
	if err := w.addRouters(3, w.store.Address()); err != nil {
		return caseNotPlayed, err
	}
	time.Sleep(2 * time.Second)
	var sending sync.WaitGroup
	began := time.Now()
	for c := range clients {
		sending.Go(func() {
			client := newClient()
			for n := 0; time.Since(began) < length; n++ {
				// The busy keys are close to one another, and others become busy every few seconds.
				key := rand.IntN(1 << 16)
				if rand.Float64() < 0.7 {
					key = (int(time.Since(began)/(4*time.Second))*9000 + rand.IntN(4000)) % (1 << 16)
				}
				w.send(client, w.routers[(c+n)%3], http.MethodGet, "/lookup/1", fmt.Sprintf("c%d-%d", c, n), key, 2500*time.Millisecond, nil)
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	sending.Wait()
	summary := fmt.Sprintf("%d of %d answers were sent once more; OWNER %d", extras.Load(), answers.Load(), broken.Load())
	w.record.add("%s", summary)
	fmt.Println(summary)
	if broken.Load() > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
