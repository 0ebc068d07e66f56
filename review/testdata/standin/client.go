package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragongw/platform"
)

// outcome is how a request ended for its client: a status with a whole body, or an error.
type outcome struct {
	id     string
	router string
	status int
	stamp  string
	body   string
	err    error
	retry  string
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// send sends one client attempt to a router and waits for its end. key is negative for none.
func (w *world) send(c *http.Client, r *router, method, path, id string, key int, limit time.Duration, body []byte) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = io.MultiReader(bytes.NewReader(body)) // net/http can't send it again by itself
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.front+path, reader)
	if err != nil {
		return outcome{id: id, err: err}
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(limit.Milliseconds()))
	if key >= 0 {
		req.Header.Set(platform.HeaderKey, fmt.Sprint(key))
	}
	w.record.add("client sends %s to %s", id, r.name)
	o := outcome{id: id, router: r.name}
	resp, err := c.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		o.status, o.stamp, o.body, o.retry = resp.StatusCode, resp.Header.Get(platform.HeaderStamp), string(data), resp.Header.Get("Retry-After")
	}
	o.err = err
	if err != nil {
		w.record.add("client gets no answer to %s: %v", id, err)
	} else {
		w.record.add("client gets %d to %s", o.status, id)
	}
	return o
}

// runs counts how often each request has begun to run.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *runs) add(_ *endpoint, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = map[string]int{}
	}
	c.count[id]++
}

// awaitReady waits until a router answers 200 on its readiness address.
func (w *world) awaitReady(r *router) bool {
	c := &http.Client{Timeout: time.Second}
	for range 150 {
		if resp, err := c.Get("http://" + r.ready + "/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
