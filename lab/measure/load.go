package main

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// result is what a stretch of load got.
type result struct {
	requests int
	elapsed  time.Duration
	// latencies are sorted.
	latencies []time.Duration
}

func (r *result) rate() float64 { return float64(r.requests) / r.elapsed.Seconds() }

// quantile returns a latency in microseconds.
func (r *result) quantile(p float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	at := min(len(r.latencies)-1, int(p*float64(len(r.latencies))))
	return float64(r.latencies[at].Nanoseconds()) / 1e3
}

// caller is one connection of the load generator. It writes prepared bytes, so
// that it takes little of the machine that the proxies share with it.
type caller struct {
	address string
	// secure is nil for plain text.
	secure *tls.Config
	// fresh opens a connection for each request.
	fresh   bool
	conn    net.Conn
	reader  *bufio.Reader
	request [][]byte
	next    int
	// refused says that each request is one that no service matches.
	refused bool
}

// requestBytes is a request as a caller sends it.
func requestBytes(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: measure.example\r\nUser-Agent: measure\r\nAccept: */*\r\nX-Caller: counter\r\n\r\n", path)
}

func dialCaller(address string, secure *tls.Config, paths []string, first int) (*caller, error) {
	c := &caller{address: address, secure: secure, reader: bufio.NewReaderSize(nil, 4<<10), next: first}
	if err := c.dial(); err != nil {
		return nil, err
	}
	for _, path := range paths {
		c.request = append(c.request, requestBytes(path))
	}
	return c, nil
}

func (c *caller) dial() error {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	if c.fresh {
		// A connection that waits for its end would keep its port for a minute, and a run
		// would be out of ports.
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	if c.secure != nil {
		conn = tls.Client(conn, c.secure)
	}
	c.conn = conn
	c.reader.Reset(conn)
	return nil
}

// send makes one request and reads its answer whole.
func (c *caller) send() error {
	if c.fresh {
		_ = c.conn.Close()
		if err := c.dial(); err != nil {
			return err
		}
	}
	if _, err := c.conn.Write(c.request[c.next%len(c.request)]); err != nil {
		return err
	}
	c.next++
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return err
	}
	if c.refused && resp.StatusCode == http.StatusNotFound {
		return nil
	}
	if c.refused || resp.StatusCode != http.StatusOK || n != answerBytes {
		return errors.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return nil
}

// load is a set of connections to one address.
type load struct{ callers []*caller }

func dialLoad(address string, secure *tls.Config, conns int, paths []string) (*load, error) {
	l := &load{}
	for i := range conns {
		c, err := dialCaller(address, secure, paths, i)
		if err != nil {
			l.close()
			return nil, err
		}
		l.callers = append(l.callers, c)
	}
	return l, nil
}

func (l *load) close() {
	for _, c := range l.callers {
		_ = c.conn.Close()
	}
}

// once sends one request on each connection, all at once.
func (l *load) once() error {
	var group errgroup.Group
	for _, c := range l.callers {
		group.Go(c.send)
	}
	return group.Wait()
}

// run sends for the duration: each connection as fast as it is answered where
// rate is zero, else at its share of rate (requests a second). A request that is
// late because the one before it was still under way counts from when it was due,
// so that a stall shows in full; one that is late by the generator's own timer
// counts from when it was sent.
func (l *load) run(duration time.Duration, rate float64) (*result, error) {
	var wait sync.WaitGroup
	parts := make([]result, len(l.callers))
	errs := make([]error, len(l.callers))
	began := time.Now()
	for i, c := range l.callers {
		wait.Go(func() {
			if rate == 0 {
				errs[i] = c.runClosed(&parts[i], began.Add(duration))
				return
			}
			interval := time.Duration(float64(len(l.callers)) / rate * float64(time.Second))
			offset := interval * time.Duration(i) / time.Duration(len(l.callers))
			errs[i] = c.runPaced(&parts[i], began.Add(offset), began.Add(duration), interval)
		})
	}
	wait.Wait()
	sum := &result{elapsed: time.Since(began)}
	for i := range parts {
		if errs[i] != nil {
			return nil, errs[i]
		}
		sum.requests += parts[i].requests
		sum.latencies = append(sum.latencies, parts[i].latencies...)
	}
	slices.Sort(sum.latencies)
	return sum, nil
}

func (c *caller) runClosed(r *result, end time.Time) error {
	for time.Now().Before(end) {
		began := time.Now()
		if err := c.send(); err != nil {
			return err
		}
		r.count(time.Since(began))
	}
	return nil
}

func (c *caller) runPaced(r *result, due, end time.Time, interval time.Duration) error {
	for due.Before(end) {
		from := due
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
			from = time.Now()
		}
		if err := c.send(); err != nil {
			return err
		}
		r.count(time.Since(from))
		due = due.Add(interval)
	}
	return nil
}

func (r *result) count(latency time.Duration) {
	r.requests++
	r.latencies = append(r.latencies, latency)
}
