package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const refusalConfig = `{"version":"00000003","routes":[{"name":"plan-change","host":"shop.example","prefix":"/plan/","route_type":"unsafe",` +
	`"timeout":"2500ms","target_latency":"1000ms","priority":1,"service":"account","max_attempts":2}],` +
	`"services":[{"name":"account","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false,"sharded":true,"warm":"5s","grants":"rpc"}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`

func init() { cases["repeated-refusal"] = repeatedRefusal }

// repeatedRefusal: endpoints send some of their answers to requests once more, late, where the next answer on the connection is
// expected. Each has the id of its request. Requests may run once at most.
func repeatedRefusal(bin, recordPath string, trouble bool) (int, error) {
	const (
		// faulty of the endpoints send extraShare of their answers once more.
		endpoints  = 6
		faulty     = 3
		extraShare = 0.025
		length     = 90 * time.Second
		clients    = 120
		work       = 15 * time.Millisecond
	)
	w, err := newWorld(bin, recordPath, refusalConfig)
	if err != nil {
		return caseNotPlayed, err
	}
	defer w.close()
	ran := &runs{}
	var answers, extras atomic.Int64
	for i := range endpoints {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), service: "account", zone: "hall", slots: 3, queue: 2, keyed: true, work: work, onRun: ran.add}
		e.extra = func(_ *endpoint, a *answered, _ *http.Request) bool {
			answers.Add(1)
			if !trouble || i >= faulty || a.id == "" || rand.Float64() >= extraShare {
				return false
			}
			extras.Add(1)
			return true
		}
		if err := w.addEndpoint(e); err != nil {
			return caseNotPlayed, err
		}
	}
	if err := w.addRouters(3, w.store.Address()); err != nil {
		return caseNotPlayed, err
	}
	time.Sleep(3 * time.Second) // until the keys have been granted
	var sending sync.WaitGroup
	outcomes := make(chan outcome, 200000)
	end := time.Now().Add(length)
	for c := range clients {
		sending.Go(func() {
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", c, n)
				outcomes <- w.send(client, w.routers[(c+n)%3], http.MethodPost, "/plan/1", id, rand.IntN(1<<16), 3*time.Second, []byte("plan of "+id))
				time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
			}
		})
	}
	sending.Wait()
	time.Sleep(time.Second)
	close(outcomes)
	return judgeOnce(w, ran, outcomes, fmt.Sprintf("%d of %d answers were sent once more", extras.Load(), answers.Load())), nil
}

// judgeOnce checks TWICE and REFUSED for requests that may run once at most.
func judgeOnce(w *world, ran *runs, outcomes <-chan outcome, dose string) int {
	ran.mu.Lock()
	defer ran.mu.Unlock()
	byStatus := map[int]int{}
	refused, twice := 0, 0
	for o := range outcomes {
		byStatus[o.status]++
		n := ran.count[o.id]
		if n > 1 {
			twice++
			w.record.add("TWICE: %s ran %d times, its client got %d", o.id, n, o.status)
		}
		if n > 0 && (o.status == 429 || o.status == 503 || o.status == 408 || o.status == 421) {
			refused++
			w.record.add("REFUSED: %s was answered %d and has run", o.id, o.status)
		}
	}
	summary := fmt.Sprintf("%s; answers by status %v; TWICE %d, REFUSED %d", dose, byStatus, twice, refused)
	w.record.add("%s", summary)
	fmt.Println(summary)
	if twice+refused > 0 {
		return ruleBroken
	}
	return ruleHeld
}
