package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryLimit is memory_mb of the settings, in bytes.
const memoryLimit = 284 << 20

// endlessHead answers everything on a connection with a head that has no end, until the other side closes.
func endlessHead(conn net.Conn, sent *atomic.Int64) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	for {
		n, err := conn.Write(headLines())
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// headLines are many short header lines, all of different names.
var headLines = sync.OnceValue(func() []byte {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	n := len(digits)
	var lines []byte
	for i := range n * n * n * n {
		lines = append(lines, digits[i%n], digits[i/n%n], digits[i/n/n%n], digits[i/n/n/n], ':', '\r', '\n')
	}
	return lines
})

// residentBytes returns the memory that a process uses now.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}

// guardMemory kills a router whose process exceeds memory_mb, and starts it again after a short delay, as the platform does.
func (w *world) guardMemory(r *router, kills *atomic.Int64, peak *atomic.Int64) {
	w.jobs.Go(func() {
		for w.sleep(2 * time.Millisecond) {
			r.mu.Lock()
			pid := r.cmd.Process.Pid
			r.mu.Unlock()
			used := residentBytes(pid)
			if used > peak.Load() {
				peak.Store(used)
			}
			if used <= memoryLimit && r.running() {
				continue
			}
			ended := "exceeds memory_mb and is killed"
			if used <= memoryLimit {
				ended = "has ended by itself"
			}
			r.kill()
			kills.Add(1)
			w.record.add("%s %s (%d MB)", r.name, ended, used>>20)
			if !w.sleep(500*time.Millisecond) || r.start() != nil {
				return
			}
		}
	})
}

func init() { cases["endless-head"] = endlessHeads }

// endlessHeads: some endpoints answer with heads without end.
func endlessHeads(bin, recordPath string, trouble bool) (int, error) {
	const endpoints, faulty = 12, 6
	w, err := newWorld(bin, recordPath, keyedConfig)
	if err != nil {
		return caseNotPlayed, err
	}
	defer w.close()
	var inTrouble atomic.Bool
	var sent atomic.Int64
	for i := range endpoints {
		e := &endpoint{id: fmt.Sprintf("i-%d", i), service: "listing", zone: "hall", slots: 3, queue: 12, keyed: true, work: 60 * time.Millisecond}
		if i < faulty {
			e.hijack = func(conn net.Conn) bool {
				if !inTrouble.Load() {
					return false
				}
				endlessHead(conn, &sent)
				return true
			}
		}
		if err := w.addEndpoint(e); err != nil {
			return caseNotPlayed, err
		}
	}
	if err := w.addRouters(4, w.store.Address()); err != nil {
		return caseNotPlayed, err
	}
	kills := make([]atomic.Int64, len(w.routers))
	peaks := make([]atomic.Int64, len(w.routers))
	for i, r := range w.routers {
		w.guardMemory(r, &kills[i], &peaks[i])
	}
	time.Sleep(3 * time.Second)
	var sending sync.WaitGroup
	end := time.Now().Add(65 * time.Second)
	for c := range 30 {
		sending.Go(func() {
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				w.send(client, w.routers[(c+n)%len(w.routers)], http.MethodGet, "/lookup/1", fmt.Sprintf("c%d-%d", c, n), rand.IntN(1<<16), 2500*time.Millisecond, nil)
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	w.record.add("the first %d endpoints turn faulty: %v", faulty, trouble)
	inTrouble.Store(trouble)
	sending.Wait()
	broken := 0
	for i := range kills {
		fmt.Printf("%s: killed %d times, peak %d MB\n", w.routers[i].name, kills[i].Load(), peaks[i].Load()>>20)
		w.record.add("%s: ended %d times, peak %d MB", w.routers[i].name, kills[i].Load(), peaks[i].Load()>>20)
		if kills[i].Load() >= 3 {
			broken++
		}
	}
	w.record.add("the faulty endpoints sent %d MB", sent.Load()>>20)
	if broken >= 2 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
