package caller

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
)

// Guards against a caller that repeats an upload which the target has run. If callers take a
// 408 to mean "not run", a body that stalls on its way to the target must only be answered 408
// with proof that the request did not run.
func TestNotRunStatusNeedsProof(t *testing.T) {
	for _, promises := range []bool{false, true} {
		cfg := Config{StatusImpliesNotRun: promises}
		for _, kind := range fault.Kinds() {
			f := fault.New(kind, "")
			f.Ran = fault.RanUnknown
			w := httptest.NewRecorder()
			writeFaultAnswer(w, http.MethodGet, "id", f, &cfg)
			switch w.Code {
			case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
				assert.Assert(t, !promises, kind.String())
			}
			f.Ran = fault.NotRun
			w = httptest.NewRecorder()
			writeFaultAnswer(w, http.MethodGet, "id", f, &cfg)
			assert.Equal(t, w.Code, kind.Row().Status)
		}
	}
}

func TestFractionalRetryAfter(t *testing.T) {
	f := fault.New(fault.QueueFull, "")
	f.RetryAfter = 120 * time.Millisecond
	w := httptest.NewRecorder()
	writeFaultAnswer(w, http.MethodGet, "id", f, &Config{FractionalRetryAfter: true})
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 0.12 && seconds <= 0.25, "%v", seconds)
}
