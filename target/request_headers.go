package target

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// RequestHeaders holds the header fields that the router adds to each request to a target.
type RequestHeaders struct {
	// RequestID identifies the request in logs; an id is never used for two different requests.
	RequestID string
	// Unit, Token and Term identify the grant under which the request is sent.
	Unit  string
	Token uint64
	Term  uint64
	// TimeLeft is the time until the caller's deadline; zero means no deadline.
	TimeLeft time.Duration
}

// maxNumberLength is the length of the longest number in a header field.
const maxNumberLength = 20

// Set writes the fields into the header of a request. Fields of the same names that the
// caller sent are replaced or removed. To need only two allocations per request, the names
// are constants in canonical form, all values share one array, and all numbers share one
// string.
func (o *RequestHeaders) Set(h http.Header) {
	var buf [3 * maxNumberLength]byte
	text := strconv.AppendUint(buf[:0], o.Token, 10)
	tokenEnd := len(text)
	text = strconv.AppendUint(text, o.Term, 10)
	termEnd := len(text)
	if o.TimeLeft > 0 {
		// Rounded up, so that the target does not time out before the router does.
		text = strconv.AppendInt(text, int64((o.TimeLeft+time.Millisecond-1)/time.Millisecond), 10)
	}
	numbers := string(text)
	values := &[...]string{
		o.Unit, numbers[:tokenEnd], numbers[tokenEnd:termEnd], o.RequestID, numbers[termEnd:],
	}
	h[HeaderUnit] = values[0:1:1]
	h[HeaderToken] = values[1:2:2]
	h[HeaderTerm] = values[2:3:3]
	if o.RequestID != "" {
		h[HeaderRequestID] = values[3:4:4]
	}
	if o.TimeLeft <= 0 {
		delete(h, HeaderDeadline)
		return
	}
	h[HeaderDeadline] = values[4:5:5]
}

// ParseRequestHeaders reads the fields from the header of a request. An absent field is zero.
func ParseRequestHeaders(h http.Header) (RequestHeaders, error) {
	o := RequestHeaders{RequestID: h.Get(HeaderRequestID), Unit: h.Get(HeaderUnit)}
	var err error
	if o.Token, err = parseUint(h, HeaderToken); err != nil {
		return o, err
	}
	if o.Term, err = parseUint(h, HeaderTerm); err != nil {
		return o, err
	}
	millis, err := parseUint(h, HeaderDeadline)
	o.TimeLeft = time.Duration(min(millis, maxDeadlineMillis)) * time.Millisecond
	return o, err
}

// maxDeadlineMillis keeps a deadline within the range of time.Duration; it is about 11 days.
const maxDeadlineMillis = 1_000_000_000

func parseUint(h http.Header, name string) (uint64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, errors.Wrapf(err, "target: header %s", name)
}
