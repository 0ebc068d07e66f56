package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"tarragongw/core/fault"
)

// Headers of an answer that the router generates itself.
const (
	// HeaderError carries the machine-readable code of the fault.
	HeaderError = "Tarragon-Error"
	// HeaderRan says whether the request ran: not-run, unknown or ran.
	HeaderRan = "Tarragon-Ran"
	// HeaderRetryAfterMillis carries the advised retry delay in milliseconds.
	HeaderRetryAfterMillis = "Retry-After-Ms"
)

const millisPerSecond = 1000

// Answer is the JSON body of the answer to a fault.
type Answer struct {
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	Detail           string `json:"detail,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// WriteFault answers with the status, code and retry delay that the fault table lists for the
// kind of f. It writes the complete answer; for HEAD it leaves out the body.
func WriteFault(w http.ResponseWriter, method, requestID string, f *fault.Fault) {
	writeFaultAnswer(w, method, requestID, f, &Config{})
}

// writeFaultAnswer is WriteFault with the settings in cfg.
func writeFaultAnswer(w http.ResponseWriter, method, requestID string, f *fault.Fault, cfg *Config) {
	row := f.Kind.Row()
	answer := Answer{Code: row.Code, Ran: f.Ran.String(), Detail: f.Detail, RequestID: requestID}
	h := w.Header()
	if wait := f.Wait(); wait > 0 {
		fraction := rand.Float64()
		answer.RetryAfterMillis = jitter(roundUp(wait, time.Millisecond), fraction)
		h.Set("Retry-After", strconv.FormatInt(jitter(roundUp(wait, time.Second), fraction), 10))
		if cfg.FractionalRetryAfter {
			seconds := float64(answer.RetryAfterMillis) / millisPerSecond
			h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
		}
		h.Set(HeaderRetryAfterMillis, strconv.FormatInt(answer.RetryAfterMillis, 10))
	}
	body, err := json.Marshal(answer)
	if err != nil {
		body = []byte("{}")
	}
	h.Set(HeaderError, answer.Code)
	h.Set(HeaderRan, answer.Ran)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(cfg.statusOf(row.Status, f.Ran))
	if method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// statusOf returns the status for a fault. Where callers take certain statuses as a guarantee
// that the request did not run, a fault without that proof gets 502 instead. Otherwise a
// caller whose upload stalled would be answered 408, take the request as not run and send it
// again, although the target had received enough of it to run it.
func (c *Config) statusOf(status int, ran fault.Ran) int {
	if !c.StatusImpliesNotRun || ran == fault.NotRun {
		return status
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return status
}

// jitter lengthens a retry delay by a random amount of up to the delay itself. Without it,
// callers that are refused at the same moment, because a target stopped or a queue was full,
// would all return at the same moment and be refused again; the symptom is refusals that come
// in waves. fraction is uniformly distributed in [0, 1).
func jitter(units int64, fraction float64) int64 {
	return units + int64(fraction*float64(units+1))
}

// roundUp returns d in whole units, rounded up.
func roundUp(d, unit time.Duration) int64 {
	return int64((d-1)/unit) + 1
}
