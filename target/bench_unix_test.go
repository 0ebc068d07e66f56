//go:build unix

package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendFunc sends a request and reads the response to its end.
type sendFunc func(r *http.Request) error

func benchServer(b *testing.B) string {
	response := []byte(strings.Repeat("x", 512))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(response)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func poolSender(b *testing.B, address string) sendFunc {
	return newPoolSender(b, PoolConfig{Address: address, MaxConns: 130, Wait: -1})
}

func newPoolSender(b *testing.B, cfg PoolConfig) sendFunc {
	p, err := New(cfg)
	assert.NilError(b, err)
	b.Cleanup(p.Close)
	return func(r *http.Request) error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resp, f := p.Attempt(ctx, r)
		if f != nil {
			return f
		}
		defer resp.Body.Close()
		_, err := io.Copy(io.Discard, resp.Body)
		return err
	}
}

func transportSender(b *testing.B, _ string) sendFunc {
	return newTransportSender(b, 128)
}

func newTransportSender(b *testing.B, conns int) sendFunc {
	t := &http.Transport{MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, DisableCompression: true}
	b.Cleanup(t.CloseIdleConnections)
	return func(r *http.Request) error {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resp, err := t.RoundTrip(r.WithContext(ctx))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

// BenchmarkExchange compares the pool with net/http's Transport. Client and server run in the
// same process, so both results include the server's cost.
func BenchmarkExchange(b *testing.B) {
	kinds := []struct {
		name string
		make func(*testing.B, string) sendFunc
	}{{"pool", poolSender}, {"transport", transportSender}}
	bodies := []struct {
		name string
		size int
	}{{"get", 0}, {"post1k", 1 << 10}, {"put64k", 64 << 10}}
	for _, body := range bodies {
		text := strings.Repeat("x", body.size)
		for _, kind := range kinds {
			b.Run(body.name+"/"+kind.name, func(b *testing.B) {
				address := benchServer(b)
				send := kind.make(b, address)
				b.ReportAllocs()
				b.ResetTimer()
				before := cpuTime()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if err := send(benchRequest(b, address, text)); err != nil {
							b.Error(err)
							return
						}
					}
				})
				b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// cpuTime returns the CPU time of the process, client and server together. On a shared machine
// it varies less than elapsed time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchRequest(b *testing.B, address, body string) *http.Request {
	method := http.MethodGet
	var reader io.Reader
	if body != "" {
		method, reader = http.MethodPut, strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+address+"/stall/7", reader)
	if err != nil {
		b.Fatal(err)
	}
	return r
}

// BenchmarkIdleConnection reports the memory of an idle connection, including the server side.
// "raw" is a plain net.Conn, so the difference to it is the client's share.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 500
	kinds := []struct {
		name string
		make func(*testing.B, string) sendFunc
	}{{"raw", rawSender}, {"pool", wideSender}, {"transport", wideTransport}}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(idleBytes(b, kind.make, conns)/conns, "bytes/conn")
			}
		})
	}
}

// idleBytes returns the memory that idle connections take.
func idleBytes(b *testing.B, make func(*testing.B, string) sendFunc, conns int) float64 {
	var arrived, done sync.WaitGroup
	arrived.Add(conns)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived.Done()
		arrived.Wait() // all requests are in flight at once, so that each needs a connection
	}))
	b.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	send := make(b, address)
	before := memory()
	for range conns {
		done.Add(1)
		go func() {
			defer done.Done()
			if err := send(benchRequest(b, address, "")); err != nil {
				b.Error(err)
			}
		}()
	}
	done.Wait()
	return float64(memory()) - float64(before)
}

// memory returns the bytes in use by the heap and by stacks.
func memory() uint64 {
	runtime.GC()
	runtime.GC() // the second empties the sync.Pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func rawSender(b *testing.B, address string) sendFunc {
	return func(r *http.Request) error {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		b.Cleanup(func() { c.Close() })
		if err := r.Write(c); err != nil {
			return err
		}
		_, err = c.Read(make([]byte, 4096))
		return err
	}
}

func wideSender(b *testing.B, address string) sendFunc {
	return newPoolSender(b, PoolConfig{Address: address, MaxConns: 1000, Wait: -1})
}

func wideTransport(b *testing.B, _ string) sendFunc {
	return newTransportSender(b, 1000)
}
