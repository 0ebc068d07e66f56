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

// Dialect names the fields by which targets say what is not in HTTP itself.
type Dialect struct {
	// NotRun is the field of an answer that states that the request was not run. Empty
	// means HeaderNotRun, which goes with the statuses 503 and 409 only.
	NotRun string
	// Misplaced are statuses that state by themselves that the request was not run,
	// because it is for another target.
	Misplaced []int
	// RequestID is the field by which answers echo the request's; empty means that they
	// don't. An answer with another id belongs to an earlier request.
	RequestID string
	// Signature is a field that each successful answer of the target's own has; empty
	// means that there is none.
	Signature string
	// Observe is given the header of each of the target's own answers; nil ignores them.
	Observe func(h http.Header)
}

// maxStaleResponses bounds the answers to earlier requests that are passed over before one's own.
const maxStaleResponses = 2

var (
	errStaleResponse = errors.New("target: the answer belongs to an earlier request")
	errUnsigned      = errors.New("target: a success without the target's signature")
)

// forOtherRequest reports whether the answer belongs to another request than r.
//
// A target that answers twice, the second time late, leaves bytes on the connection where
// the next request's answer is due. Taken for that, one caller gets another's answer.
func (d *Dialect) forOtherRequest(r *http.Request, resp *http.Response) bool {
	if d.RequestID == "" {
		return false
	}
	echoed := resp.Header.Get(d.RequestID)
	return echoed != "" && echoed != r.Header.Get(d.RequestID)
}

// check returns an error for an answer that can't be the target's own.
func (d *Dialect) check(resp *http.Response) error {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if d.Signature != "" && success && resp.Header.Get(d.Signature) == "" {
		return errUnsigned
	}
	return nil
}

// refusal returns the target's statement that it did not run the request, or nil.
func (d *Dialect) refusal(resp *http.Response) *fault.Fault {
	if d.NotRun == "" {
		return refusal(resp)
	}
	if slices.Contains(d.Misplaced, resp.StatusCode) {
		return notRun(fault.StaleRoute, nil, "the target holds another place or key")
	}
	if len(resp.Header[d.NotRun]) == 0 {
		return nil
	}
	return notRun(fault.TargetRefused, nil, "the target answered "+strconv.Itoa(resp.StatusCode))
}

// keepAliveTimeout reads how long the target keeps a connection at rest; zero where it doesn't say.
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
