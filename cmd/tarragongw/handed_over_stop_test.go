package main

import (
	"slices"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/core/model"
)

// Guards against a planned stop after which a key moves beside a request that the stopped router had begun, against a wait for it that operators can't see, and against a stop that cuts it off.
func TestPlannedStopFinishesARequestBeforeItsKeyMoves(t *testing.T) {
	in := installWith(t, func(m *model.Model) {
		unchecked(m)
		service := m.Service("faq-viewer")
		service.Timeout, service.ProgressTimeout = testTimeout, testTimeout
	}, "one", "two", "three")
	for _, p := range in.routers {
		in.start(p)
	}
	in.serve()
	one, stopped := in.routers[0], in.routers[2]
	key := in.keyGrantedBy(stopped, one)
	before := in.explain(one, key)
	// A stop waits for the router's own callers before it hands over, so that another router has to
	// forward the request.
	upload := beginUpload(one, key)
	eventually(t, "the target has the request's header", func() bool { return in.works(before.Target) })
	assert.NilError(t, stopped.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "the target was handed over", func() bool {
		e := in.explain(one, key)
		return e.Grantor != stopped.name && e.Term > before.Term
	})
	in.ctl(one, "drain", before.Target)
	eventually(t, "the move has begun", func() bool { return in.explain(one, key).State == "releasing" })
	waiting := in.explain(one, key)
	assert.DeepEqual(t, waiting.FormerGrantors, []string{stopped.name})
	assert.Assert(t, slices.ContainsFunc(waiting.Because, func(reason string) bool { return strings.Contains(reason, "requests begun on the unit") }))
	next := in.named(waiting.Grantor)
	eventually(t, "the wait is logged", func() bool {
		return strings.Contains(next.output.String(), "kind=move_waits") && strings.Contains(next.output.String(), "former="+stopped.name)
	})
	_, err := upload.body.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, in.explain(one, key).Target, before.Target)
	assert.NilError(t, upload.body.Close())
	assert.NilError(t, <-upload.ended)
	eventually(t, "the key has moved", func() bool {
		e := in.explain(one, key)
		return e.Target != before.Target && e.State == "owned"
	})
	assert.Equal(t, len(in.explain(one, key).FormerGrantors), 0)
	eventually(t, "the end of the wait is logged", func() bool { return strings.Contains(next.output.String(), "kind=move_goes_on") })
	assert.Equal(t, stopped.exitCode(t), 0)
}

func (in *installation) named(name string) *process {
	in.t.Helper()
	i := slices.IndexFunc(in.routers, func(p *process) bool { return p.name == name })
	assert.Assert(in.t, i >= 0, "no router is named %q", name)
	return in.routers[i]
}
