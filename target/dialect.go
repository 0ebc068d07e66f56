package target

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragongw/core/fault"
)

// Dialect names the header fields and statuses by which targets extend HTTP.
type Dialect struct {
	// NotRun is the response header field that states that the request was not run. Empty
	// means HeaderNotRun, which counts only with status 503 or 409.
	NotRun string
	// NotRunStatuses lists the statuses that alone state that the request was not run because it
	// was sent to the wrong target. They are checked only if NotRun is set.
	NotRunStatuses []int
	// RequestID is the header field in which responses echo the request's id; empty means
	// that they don't. A response with a different id belongs to an earlier request. One without an
	// id belongs to no request that can be told, unless the connection has carried no other.
	RequestID string
	// Signature is a header field that every successful response from the target itself has;
	// empty means that there is none.
	Signature string
	// Observe, if not nil, is called with each response that can come from the target itself, before refusals are
	// checked, and with when the request's first byte was about to be written; the zero time if the response
	// belongs to an earlier request. It must not read the body.
	Observe func(resp *http.Response, sentAt time.Time)
}

// maxStaleResponses bounds how many responses to earlier requests are skipped.
const maxStaleResponses = 2

var (
	errStaleResponses = &boundError{"target: the response belongs to an earlier request, and too much of such has come", "earlier_answers"}
	errUnsigned       = errors.New("target: a successful response lacks the target's signature")
	errUnidentified   = errors.New("target: the response lacks the request's id, on a connection that has carried other requests")
)

// answerOwner says to which request a response belongs.
type answerOwner uint8

const (
	ownAnswer answerOwner = iota
	othersAnswer
	unknownAnswer
)

// requestID returns the request's id; empty if it has none.
func (d *Dialect) requestID(r *http.Request) string {
	if d.RequestID == "" {
		return ""
	}
	return r.Header.Get(d.RequestID)
}

// ownerOf returns whether the response belongs to r, which is the first request of its connection if first is set.
//
// If a target responds twice to a request, the second time late, the second response arrives
// where the next request's response is expected. Without this check, one caller would get
// another caller's response.
func (d *Dialect) ownerOf(r *http.Request, resp *http.Response, first bool) answerOwner {
	id := d.requestID(r)
	if id == "" || first && d.requestIDOf(resp) == "" {
		return ownAnswer
	}
	switch d.requestIDOf(resp) {
	case id:
		return ownAnswer
	case "":
		return unknownAnswer
	default:
		return othersAnswer
	}
}

// requestIDOf returns the id that the response echoes; empty if it has none.
func (d *Dialect) requestIDOf(resp *http.Response) string { return resp.Header.Get(d.RequestID) }

// Check returns an error for a response that can't come from the target itself.
func (d *Dialect) Check(resp *http.Response) error {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if d.Signature != "" && success && resp.Header.Get(d.Signature) == "" {
		return errUnsigned
	}
	return nil
}

func (d *Dialect) observe(resp *http.Response, sentAt time.Time) {
	if d.Observe != nil && d.Check(resp) == nil {
		d.Observe(resp, sentAt)
	}
}

// refusal returns a fault if the response states that the request was not run, or nil.
func (d *Dialect) refusal(resp *http.Response) *fault.Fault {
	if d.NotRun == "" {
		return refusal(resp)
	}
	if slices.Contains(d.NotRunStatuses, resp.StatusCode) {
		return notRun(fault.StaleRoute, nil, "the target holds another place or key")
	}
	if len(resp.Header[d.NotRun]) == 0 {
		return nil
	}
	return notRun(fault.TargetRefused, nil, "the target answered "+strconv.Itoa(resp.StatusCode))
}

// keepAliveTimeout returns how long the target keeps an idle connection open according to
// its Keep-Alive header, or zero if it doesn't say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for _, part := range strings.Split(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.Atoi(strings.TrimSpace(value))
			if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
