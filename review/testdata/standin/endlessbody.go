package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragongw/platform"
)

const bodyConfig = `{"version":"00000003","routes":[{"name":"pull","host":"shop.example","prefix":"/pull/","route_type":"safe",` +
	`"timeout":"1500ms","target_latency":"500ms","priority":2,"service":"archive","max_attempts":2}],` +
	`"services":[{"name":"archive","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`

const (
	// bodyTimeout is the timeout of the route, and answerGrace how much later the rule looks for an answer.
	bodyTimeout = 1500 * time.Millisecond
	answerGrace = 500 * time.Millisecond
	// bodyLimit is the clients' own time limit.
	bodyLimit = 6 * time.Second
)

// endlessBody answers a request with a body that has no end, until the other side closes.
func (e *endpoint) endlessBody(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	e.w.record.add("%s runs %s and answers without end", e.id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\nTransfer-Encoding: chunked\r\n\r\n",
		platform.HeaderRequestID, id, platform.HeaderStamp, e.id)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", 1000, bytes.Repeat([]byte("x"), 1000))
	for {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func init() { cases["endless-body"] = endlessBodies }

// endlessBodies: some endpoints answer with bodies without end.
func endlessBodies(bin, recordPath string, trouble bool) (int, error) {
	const endpoints, faulty = 6, 2
	w, err := newWorld(bin, recordPath, bodyConfig)
	if err != nil {
		return caseNotPlayed, err
	}
	defer w.close()
	for i := range endpoints {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), service: "archive", zone: "hall", slots: 3, queue: 12, work: 100 * time.Millisecond}
		if i < faulty && trouble {
			e.hijack = func(conn net.Conn) bool { e.endlessBody(conn); return true }
		}
		if err := w.addEndpoint(e); err != nil {
			return caseNotPlayed, err
		}
	}
	if err := w.addRouters(3, w.store.Address()); err != nil {
		return caseNotPlayed, err
	}
	time.Sleep(2 * time.Second)
	var sending sync.WaitGroup
	var mu sync.Mutex
	sent, unanswered, stillUnanswered, never := 0, 0, 0, 0
	end := time.Now().Add(50 * time.Second)
	for c := range 20 {
		sending.Go(func() {
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				took, whole := w.pull(client, w.routers[(c+n)%3], fmt.Sprintf("c%d-%d", c, n))
				mu.Lock()
				sent++
				if took > bodyTimeout {
					unanswered++
				}
				if took > bodyTimeout+answerGrace {
					stillUnanswered++
				}
				if !whole && took >= bodyLimit {
					never++
				}
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	sending.Wait()
	summary := fmt.Sprintf("%d requests, %d unanswered at their route's timeout, %d half a second later, %d never answered", sent, unanswered, stillUnanswered, never)
	w.record.add("%s", summary)
	fmt.Println(summary)
	if stillUnanswered >= 8 && 2*stillUnanswered > unanswered {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// pull sends a request and returns after how long its answer ended or its client left, and whether the answer is whole.
func (w *world) pull(c *http.Client, r *router, id string) (took time.Duration, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), bodyLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.front+"/pull/1", nil)
	if err != nil {
		return 0, false
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(bodyLimit.Milliseconds()))
	began := time.Now()
	w.record.add("client sends %s to %s", id, r.name)
	resp, err := c.Do(req)
	status, bytesRead := 0, int64(0)
	if err == nil {
		status = resp.StatusCode
		bytesRead, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took = time.Since(began)
	w.record.add("client has status %d and %d bytes for %s after %v, error %v", status, bytesRead, id, took.Round(time.Millisecond), err)
	return took, err == nil
}
