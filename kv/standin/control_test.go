package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/kv"
)

func postFaults(p *Platform, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	p.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
	return recorder
}

func TestFaultRequestSetsEveryFault(t *testing.T) {
	ctx, p := context.Background(), New(Config{})
	c := p.Client("lapu/r1")
	lease, err := c.Acquire(ctx, "duty", "a", time.Hour)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, "k", 0, nil)
	assert.NilError(t, err)

	r := postFaults(p, `{"lose_replies":{"cas":1},"watch":"broken","stale_vms":true,"lapse":["duty"],"compact":true,"delay_ms":1}`)
	assert.Equal(t, r.Code, http.StatusNoContent, r.Body.String())
	_, err = c.CompareAndSwap(ctx, "k2", 0, nil)
	assert.ErrorIs(t, err, kv.ErrUnknown)
	_, _, err = c.Watch(ctx, "", 0)
	assert.ErrorIs(t, err, kv.ErrUnavailable)
	_, err = c.Renew(ctx, lease)
	assert.ErrorIs(t, err, kv.ErrLeaseLost)
	p.SetVMs([]kv.VM{{Name: "r1"}})
	vms, err := c.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
	assert.Equal(t, p.faults.delay, time.Millisecond)

	r = postFaults(p, `{"watch":"works","delay_ms":0,"stale_vms":false}`)
	assert.Equal(t, r.Code, http.StatusNoContent)
	_, _, err = c.Watch(ctx, "", 0)
	assert.ErrorIs(t, err, kv.ErrCompacted)

	for _, body := range []string{`{"down":true}`, `{"down":false,"cut_off":{"lapu":true}}`} {
		assert.Equal(t, postFaults(p, body).Code, http.StatusNoContent)
		_, err = c.Get(ctx, "k")
		assert.ErrorIs(t, err, kv.ErrUnavailable)
	}
}

func TestInvalidFaultRequestHasNoEffect(t *testing.T) {
	p := New(Config{})
	for _, body := range []string{
		`{"down":true,"watch":"odd"}`, `{"down":true,"delay_ms":-1}`, `{"down":true,"lose_replies":{"odd":1}}`,
		`{"down":true,"unknown":1}`, `{"down":`,
	} {
		assert.Equal(t, postFaults(p, body).Code, http.StatusBadRequest, body)
		_, err := p.Client("a").Get(context.Background(), "k")
		assert.ErrorIs(t, err, kv.ErrNotFound, body)
	}
}

func TestControlReportsCalls(t *testing.T) {
	p := New(Config{})
	_, _ = p.Client("a").Get(context.Background(), "k")
	recorder := httptest.NewRecorder()
	p.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, recorder.Body.String(), `{"get":1}`+"\n")
}
