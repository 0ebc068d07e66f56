package target

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Order is what a grantor tells the target with each request.
type Order struct {
	// RequestID identifies the request in logs; the same id never comes with two
	// different requests.
	RequestID string
	// Unit, Token and Term say under which grant the request is sent.
	Unit  string
	Token uint64
	Term  uint64
	// Left is the time until the caller's deadline; zero means none.
	Left time.Duration
}

// maxNumberLength is the length of the longest number of an order.
const maxNumberLength = 20

// Set puts the order into the header of a request. Fields of the same names that
// the caller sent are replaced or removed. The names are in canonical form, all
// values lie in one array and the numbers' texts in one string, so that a request
// costs two allocations for them.
func (o *Order) Set(h http.Header) {
	var room [3 * maxNumberLength]byte
	text := strconv.AppendUint(room[:0], o.Token, 10)
	tokenEnd := len(text)
	text = strconv.AppendUint(text, o.Term, 10)
	termEnd := len(text)
	if o.Left > 0 {
		// Rounded up: a target must not give up before the router does.
		text = strconv.AppendInt(text, int64((o.Left+time.Millisecond-1)/time.Millisecond), 10)
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
	if o.Left <= 0 {
		delete(h, HeaderDeadline)
		return
	}
	h[HeaderDeadline] = values[4:5:5]
}

// ParseOrder reads an order from the header of a request. An absent field is zero.
func ParseOrder(h http.Header) (Order, error) {
	o := Order{RequestID: h.Get(HeaderRequestID), Unit: h.Get(HeaderUnit)}
	var err error
	if o.Token, err = parseUint(h, HeaderToken); err != nil {
		return o, err
	}
	if o.Term, err = parseUint(h, HeaderTerm); err != nil {
		return o, err
	}
	millis, err := parseUint(h, HeaderDeadline)
	o.Left = time.Duration(min(millis, maxDeadlineMillis)) * time.Millisecond
	return o, err
}

// maxDeadlineMillis keeps a deadline within time.Duration; it is about 11 days.
const maxDeadlineMillis = 1_000_000_000

func parseUint(h http.Header, name string) (uint64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, errors.Wrapf(err, "target: header %s", name)
}
