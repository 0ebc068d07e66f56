package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func decodeAnswer(data []byte) (answer, error) {
	var a answer
	err := json.Unmarshal(data, &a)
	return a, err
}

// balancer sends requests to the routers in turn, except to those that were removed.
type balancer struct {
	routers []*process
	// removed holds the names of the routers that get no new requests.
	removed   sync.Map
	stop      context.CancelFunc
	done      sync.WaitGroup
	succeeded atomic.Int64
	mu        sync.Mutex
	failures  []string
}

// startLoad starts callers that each send one request at a time.
func startLoad(callers int, routers ...*process) *balancer {
	ctx, stop := context.WithCancel(context.Background())
	b := &balancer{routers: routers, stop: stop}
	for caller := range callers {
		b.done.Add(1)
		go func() {
			defer b.done.Done()
			for i := caller; ctx.Err() == nil; i++ {
				b.sendOne(i)
			}
		}()
	}
	return b
}

func (b *balancer) sendOne(i int) {
	p := b.routers[i%len(b.routers)]
	if _, removed := b.removed.Load(p.name); removed {
		return
	}
	if _, err := p.send(http.MethodPost, fmt.Sprint("key-", i%200), strings.NewReader("x")); err != nil {
		b.mu.Lock()
		b.failures = append(b.failures, p.name+": "+err.Error())
		b.mu.Unlock()
		return
	}
	b.succeeded.Add(1)
}

// stopAndCheck stops the load and checks that no request failed.
func (b *balancer) stopAndCheck(t *testing.T) {
	t.Helper()
	b.stop()
	b.done.Wait()
	assert.Equal(t, len(b.failures), 0, "%d failed, the first: %v", len(b.failures), b.failures[:min(1, len(b.failures))])
	assert.Assert(t, b.succeeded.Load() > 0)
}

// upload is a request whose body is still being sent.
type upload struct {
	body     *io.PipeWriter
	result   chan error
	response answer
}

// startUpload starts an upload through the router and returns once the HTTP client has read
// the first chunk of the body.
func startUpload(t *testing.T, p *process, key string) *upload {
	t.Helper()
	reader, writer := io.Pipe()
	u := &upload{body: writer, result: make(chan error, 1)}
	go func() {
		var err error
		u.response, err = p.send(http.MethodPost, key, reader)
		u.result <- err
	}()
	u.writeChunk(t)
	return u
}

const uploadChunkSize = 1000

func (u *upload) writeChunk(t *testing.T) {
	t.Helper()
	_, err := u.body.Write(make([]byte, uploadChunkSize))
	assert.NilError(t, err)
}

// writeSlowly sends more of the body, in small chunks, for d and returns the number of bytes.
func (u *upload) writeSlowly(t *testing.T, d time.Duration) (sent int) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); sent += uploadChunkSize {
		u.writeChunk(t)
		time.Sleep(20 * time.Millisecond)
	}
	return sent
}

// Three router processes serve and apply a configuration change. One is stopped gracefully
// and restarted, one is killed, and one is stopped at once by a second signal.
func TestSeparateProcesses(t *testing.T) {
	in := install(t, "one", "two", "three")
	for _, p := range in.routers {
		in.start(p)
	}
	one, two, three := in.routers[0], in.routers[1], in.routers[2]
	in.serve()
	in.applyChange(two)
	in.stopGracefully(one, two, three)
	in.start(one)
	eventually(t, "the restarted router is ready", one.ready)
	in.killRouter(two, one, three)
	in.forceStop(three)
	assert.Equal(t, len(in.log.Repeated()), 0, "a request ran twice")
	assert.Equal(t, len(in.log.Overlaps()), 0, "a unit had two owners")
}

// serve applies the configuration and reads keys through each router.
func (in *installation) serve() {
	t := in.t
	for _, p := range in.routers {
		eventually(t, "the operators' endpoint answers", func() bool {
			_, err := p.client().Revisions(t.Context(), false)
			return err == nil
		})
	}
	out := in.ctl(in.routers[0], "apply", filepath.Join(in.workDir, "model"))
	assert.Assert(t, strings.Contains(out, "revision 1:"), out)
	for _, p := range in.routers {
		eventually(t, p.name+" serves", func() bool {
			_, err := p.get("key-1")
			return err == nil && p.ready()
		})
	}
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		var first answer
		eventually(t, key+" is served", func() bool {
			var err error
			first, err = in.routers[0].get(key)
			return err == nil
		})
		for _, p := range in.routers[1:] {
			got, err := p.get(key)
			assert.NilError(t, err)
			assert.Equal(t, got.Target, first.Target)
		}
	}
}

// applyChange drains a target through one router and waits until all routers have applied the
// change.
func (in *installation) applyChange(p *process) {
	out := in.ctl(p, "drain", "faq-viewer-01")
	assert.Assert(in.t, strings.Contains(out, "revision 2:"), out)
	for _, other := range in.routers {
		eventually(in.t, "the change is in force at "+other.name, func() bool {
			revisions, err := other.client().Revisions(in.t.Context(), false)
			return err == nil && revisions[0].Revision == 2
		})
	}
}

// Symptom: a planned stop cuts off callers.
// Sequence: callers send through all routers and one caller uploads slowly; the router of the
// upload receives SIGTERM; the balancer removes it once it reports that it is not ready.
// Cause: the router stops listening, or hands its targets over, before its requests end.
func (in *installation) stopGracefully(p *process, others ...*process) {
	t := in.t
	load := startLoad(6, append([]*process{p}, others...)...)
	eventually(t, "callers are served", func() bool { return load.succeeded.Load() > 100 })
	slow := startUpload(t, p, "kiosk-7")
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "the router reports that it is not ready", func() bool { return !p.ready() })
	load.removed.Store(p.name, true)
	sent := uploadChunkSize + slow.writeSlowly(t, time.Second)
	assert.NilError(t, slow.body.Close())
	assert.NilError(t, <-slow.result)
	assert.Equal(t, slow.response.Received, int64(sent))
	assert.Equal(t, p.exitCode(t), 0)
	before := load.succeeded.Load()
	eventually(t, "callers are still served", func() bool { return load.succeeded.Load() > before+100 })
	load.stopAndCheck(t)
	assert.Assert(t, strings.Contains(p.output.String(), "msg=stopped cut=0 handed_over=true"), lastLines(p.output.String(), 5))
}

// Symptom: the keys of a target stay unserved after its grantor has crashed.
// Sequence: the router that is the grantor of a target is killed (SIGKILL).
// Cause: no other router becomes the target's grantor.
func (in *installation) killRouter(p *process, others ...*process) {
	t := in.t
	key := in.keyGrantedBy(p, others[0])
	assert.NilError(t, p.cmd.Process.Kill())
	<-p.exited
	for _, other := range others {
		elapsed := eventually(t, "the key is served again", func() bool {
			_, err := other.get(key)
			return err == nil
		})
		t.Logf("served again through %s after %v", other.name, elapsed.Round(time.Millisecond))
	}
}

// keyGrantedBy finds a key whose target has p as its grantor, according to observer.
func (in *installation) keyGrantedBy(p, observer *process) string {
	var key string
	eventually(in.t, "a key is granted by "+p.name, func() bool {
		for i := range 200 {
			key = fmt.Sprint("key-", i)
			e, err := observer.client().ExplainKey(in.t.Context(), "faq-viewer", key)
			if err == nil && e.Grantor == p.name {
				return true
			}
		}
		return false
	})
	return key
}

// Symptom: a stop waits for a request that does not end, or does not report the requests that
// it cut off.
// Sequence: an upload is in flight; SIGTERM arrives twice.
// Cause: the second signal is ignored, or requests that were cut off are not counted.
func (in *installation) forceStop(p *process) {
	t := in.t
	slow := startUpload(t, p, "kiosk-8")
	slow.writeSlowly(t, 200*time.Millisecond)
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "the router reports that it is not ready", func() bool { return !p.ready() })
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, p.exitCode(t), exitRequestsCut)
	// The client's transport waits for the body even after its connection has broken.
	assert.NilError(t, slow.body.Close())
	assert.Assert(t, <-slow.result != nil, "an upload that was cut off was reported as answered")
	out := p.output.String()
	assert.Assert(t, strings.Contains(out, "second signal: stopping at once"), lastLines(out, 5))
	assert.Assert(t, strings.Contains(out, "tarragongw: 1 requests were cut off"), lastLines(out, 5))
}
