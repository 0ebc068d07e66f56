package main

import (
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/target"
)

// Guards against a router that sends the body of a request whose header went out before the router was suspended past its right.
func TestSuspendedRouterSendsNoRestOfARequestAfterItsRightLapsed(t *testing.T) {
	in := installWith(t, unchecked, "one", "two", "three")
	for _, p := range in.routers {
		in.start(p)
	}
	in.serve()
	one, paused := in.routers[0], in.routers[2]
	key := in.keyGrantedBy(paused, one)
	before := in.explain(one, key)
	reader, body := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		_, err := paused.send(http.MethodPost, key, reader)
		ended <- err
	}()
	eventually(t, "the target has the request's header", func() bool { return in.works(before.Target) })
	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	eventually(t, "another router has the target", func() bool {
		e := in.explain(one, key)
		return e.Grantor != paused.name && e.Grantor != "" && e.Term > before.Term
	})
	in.ctl(one, "drain", before.Target)
	eventually(t, "the key has moved", func() bool {
		e := in.explain(one, key)
		return e.Target != before.Target && e.Token > before.Token && e.State == "owned"
	})
	woken := time.Now()
	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, "the router has taken note that its right lapsed", func() bool {
		e, err := paused.client().ExplainTarget(t.Context(), before.Target)
		return err == nil && e.Grantor != paused.name && e.Term > before.Term
	})
	// A write to the request ends with an error if the router has cut it off, as it may.
	_, _ = body.Write([]byte("x"))
	assert.NilError(t, body.Close())
	t.Logf("the request ended with: %v", <-ended)
	for _, e := range in.log.All() {
		assert.Check(t, e.Target != before.Target || e.Time.Before(woken), "%s ran %q %v after the pause", e.Target, e.RequestID, e.Time.Sub(woken))
	}
}

// works reports whether a target has a request in one of its slots.
func (in *installation) works(name string) bool {
	in.t.Helper()
	resp, err := http.Get("http://" + in.model.Target(name).Address + target.PathHealth)
	assert.NilError(in.t, err)
	defer resp.Body.Close()
	var health target.Health
	assert.NilError(in.t, json.NewDecoder(resp.Body).Decode(&health))
	return health.Load > 0
}
