package caller

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/url"

	"tarragongw/core/fault"
)

var errTwoIDs = fault.New(fault.BadRequest, "the request has two ids")

// maxIDBytes bounds the length of a request ID that a caller sends.
const maxIDBytes = 128

const (
	idHexBytes      = 32
	spanHexBytes    = 16
	traceVersion    = "00-"
	traceNotSampled = "-00"
)

// setRequestID sets the request's ID, by which logs name it, and the one that is forwarded.
func (x *exchange) setRequestID() *fault.Fault {
	cfg := &x.handler.cfg
	sent := x.r.Header[cfg.RequestIDHeader]
	x.meta.ID = requestID(x.r.Header, cfg.RequestIDHeader)
	x.idValue[0] = x.meta.ID
	if cfg.KeepRequestID && len(sent) > 0 && sent[0] != "" {
		x.meta.ID, x.idValue[0] = logID(sent[0]), sent[0]
	}
	x.w.Header()[cfg.RequestIDHeader] = x.idValue[:]
	if cfg.KeepRequestID && len(sent) > 1 {
		return errTwoIDs
	}
	return nil
}

// logID returns a request ID in a form that is fit for a log line.
func logID(id string) string {
	if validID(id) {
		return id
	}
	escaped := url.PathEscape(id)
	return escaped[:min(len(escaped), maxIDBytes)]
}

// requestID returns the caller's request ID, or a new one if it sends none or one that is not
// fit for a log line.
func requestID(h http.Header, name string) string {
	if ids := h[name]; len(ids) == 1 && validID(ids[0]) {
		return ids[0]
	}
	var id [idHexBytes]byte
	randomHex(id[:])
	return string(id[:])
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return true
}

// newTraceparent returns a new W3C trace context that is not sampled.
func newTraceparent() string {
	var text [len(traceVersion) + idHexBytes + 1 + spanHexBytes + len(traceNotSampled)]byte
	next := copy(text[:], traceVersion)
	randomHex(text[next : next+idHexBytes])
	next += idHexBytes
	text[next] = '-'
	next++
	randomHex(text[next : next+spanHexBytes])
	next += spanHexBytes
	copy(text[next:], traceNotSampled)
	return string(text[:])
}

// randomHex fills dst, whose length is a multiple of 16, with random hexadecimal digits. IDs
// need to be distinct, not hard to guess, so math/rand/v2 is sufficient.
func randomHex(dst []byte) {
	var word [8]byte
	for ; len(dst) > 0; dst = dst[spanHexBytes:] {
		bits := rand.Uint64() | 1
		for i := range word {
			word[i] = byte(bits >> (8 * i))
		}
		hex.Encode(dst, word[:])
	}
}
