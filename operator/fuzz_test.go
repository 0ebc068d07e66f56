package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/operator"
)

// FuzzEndpoint checks that any request to the operator endpoint gets a JSON answer, and
// each failure a code and a message, or an answer of the multiplexer itself.
func FuzzEndpoint(f *testing.F) {
	f.Add("PUT", operator.PathConfig, "", `{"base":1,"author":"ann","model":{}}`)
	f.Add("POST", operator.PathDrain, "", `{"target":"t"}`)
	f.Add("POST", operator.PathConfirmDead, "", `{"target":"t","unknown":1}`)
	f.Add("GET", operator.PathEvents, "after=3&life=-1&since=1h", "")
	f.Add("GET", operator.PathSeries, "since=9999999999h", "")
	f.Add("GET", operator.PathExplainKey, "service=%00&key=%ff;", "")
	f.Add("GET", operator.PathStatus, "router=b", "")
	f.Add("POST", operator.PathCheck, "", strings.Repeat("[", 20_000))
	handler := operator.NewHandler(&fakeBackend{})
	f.Fuzz(func(t *testing.T, method, path, query, body string) {
		req, err := http.NewRequest(method, "http://router"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(req.URL.Path, "/v1/") {
			return
		}
		req.URL.RawQuery = query
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		if w.Header().Get("Content-Type") != "application/json" {
			// The multiplexer's own answers: unknown path, wrong method, redirect to the clean path.
			assert.Assert(t, w.Code == 404 || w.Code == 405 || w.Code/100 == 3, "%d", w.Code)
			return
		}
		assert.Assert(t, json.Valid(w.Body.Bytes()), "%s", w.Body)
		if w.Code == http.StatusOK {
			return
		}
		var e operator.Error
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e))
		assert.Assert(t, e.Code != "" && e.Message != "")
	})
}
