package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/rendezvous"
)

// Guards against a key that moves after a hand-over while the former grantor finishes a request on it.
func TestRequestBegunBeforeAHandOverEndsBeforeTheKeyMoves(t *testing.T) {
	for name, suspended := range map[string]bool{"suspended": true, "slow caller": false} {
		t.Run(name, func(t *testing.T) { handOverWithARequestBegun(t, suspended) })
	}
}

func handOverWithARequestBegun(t *testing.T, suspended bool) {
	in := installWith(t, unchecked, "one", "two", "three")
	one, late, old := in.routers[0], in.routers[1], in.routers[2]
	in.start(one)
	in.start(old)
	all := in.routers
	in.routers = []*process{one, old}
	in.serve()
	in.routers = all
	var key string
	eventually(t, "a key whose target the third router will be handed", func() bool {
		for i := range 200 {
			k := fmt.Sprint("key-", i)
			e, err := one.client().ExplainKey(t.Context(), "faq-viewer", k)
			if err == nil && e.State == "owned" && e.Grantor == old.name && rendezvous.Top(e.Target, 1, []string{one.name, late.name, old.name})[0] == late.name {
				key = k
				return true
			}
		}
		return false
	})
	before := in.explain(one, key)
	in.start(late)
	eventually(t, "the third router is ready", late.ready)
	// Requests end at their service's timeout, so that one is begun every now and then.
	var begun []*slowUpload
	eventually(t, "the target was handed over", func() bool {
		if len(begun) == 0 || time.Since(begun[len(begun)-1].began) > uploadEvery {
			begun = append(begun, beginUpload(old, key))
		}
		e := in.explain(one, key)
		return e.Grantor == late.name && e.Term > before.Term
	})
	handed := time.Now()
	if suspended {
		assert.NilError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	}
	in.ctl(one, "drain", before.Target)
	eventually(t, "the key has moved", func() bool {
		e := in.explain(one, key)
		return e.Target != before.Target && e.Token > before.Token && e.State == "owned"
	})
	moved := time.Now()
	t.Logf("the key moved %v after the hand-over", moved.Sub(handed))
	if suspended {
		time.Sleep(pausedFor)
		assert.NilError(t, old.cmd.Process.Signal(syscall.SIGCONT))
	}
	eventually(t, "the old router knows that the key moved", func() bool {
		e, err := old.client().ExplainKey(t.Context(), "faq-viewer", key)
		return err == nil && e.Target != before.Target
	})
	for _, u := range begun {
		// A write to a request that was cut off ends with an error.
		_, _ = u.body.Write([]byte("x"))
		assert.NilError(t, u.body.Close())
		if err := <-u.ended; err == nil {
			t.Logf("the request begun %v before the hand-over was answered", handed.Sub(u.began))
		}
	}
	for _, e := range in.log.All() {
		assert.Check(t, e.Target != before.Target || e.Time.Before(moved), "%s ran %q %v after the key had moved", e.Target, e.RequestID, e.Time.Sub(moved))
	}
}

// uploadEvery is the time between two requests of the test above.
const uploadEvery = 200 * time.Millisecond

// slowUpload is a request whose header has been sent and whose body has not.
type slowUpload struct {
	began time.Time
	body  *io.PipeWriter
	ended chan error
}

func beginUpload(p *process, key string) *slowUpload {
	reader, writer := io.Pipe()
	u := &slowUpload{began: time.Now(), body: writer, ended: make(chan error, 1)}
	go func() {
		_, err := p.send(http.MethodPost, key, reader)
		u.ended <- err
	}()
	return u
}
