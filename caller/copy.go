package caller

import (
	"context"
	"io"
	"mime"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"tarragongw/core/fault"
)

const (
	copyBufferBytes = 32 * kibibyte
	// yieldAfterBytes is how much of an answer is copied before the other requests of the process get the processor between the
	// parts. Otherwise a few long answers at full speed would keep it for 10 ms each.
	yieldAfterBytes = 64 * kibibyte
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CopyAnswer streams a target's answer to w: the header without hop-by-hop fields and the
// router's own ones, the body as it arrives, and the trailers. It closes the body. Header
// values are shared with resp, not copied.
//
// It returns a fault of kind AnswerTruncated if the answer broke off or does not have the
// length it declared, DeadlineExceeded if the request's time was over before its end, and
// CallerGone if writing to w failed. In all cases the header was already written, so the
// connection behind w must be aborted.
func CopyAnswer(w http.ResponseWriter, resp *http.Response) *fault.Fault {
	defer resp.Body.Close()
	announced := copyHeader(w.Header(), resp)
	w.WriteHeader(resp.StatusCode)
	if f := copyBody(w, resp); f != nil {
		return f
	}
	copyTrailer(w.Header(), resp.Trailer, announced)
	return nil
}

// copyHeader copies the header of an answer and returns the number of announced trailers.
func copyHeader(dst http.Header, resp *http.Response) int {
	id := dst[headerRequestID]
	if len(resp.Header["Connection"]) > 0 {
		dropConnectionHeaders(resp.Header)
	}
	for name, values := range resp.Header {
		if !isHopByHop(name) && !isRouterHeader(name) {
			dst[name] = values
		}
	}
	if len(resp.Header["Content-Type"]) == 0 {
		// An entry without values keeps net/http from sniffing a content type.
		dst["Content-Type"] = nil
	}
	if len(id) > 0 {
		dst[headerRequestID] = id
	}
	if resp.ContentLength > 0 && len(dst["Content-Length"]) == 0 {
		dst["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	for name := range resp.Trailer {
		dst["Trailer"] = append(dst["Trailer"], name)
	}
	return len(resp.Trailer)
}

func copyBody(w http.ResponseWriter, resp *http.Response) *fault.Fault {
	if resp.Body == http.NoBody {
		return nil
	}
	var flusher http.Flusher
	if wantsFlush(resp) {
		flusher, _ = w.(http.Flusher)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var total int64
	for {
		n, readErr := resp.Body.Read(buffer[:])
		total += int64(n)
		if f := writePart(w, flusher, buffer[:n], readErr); f != nil {
			return f
		}
		if readErr == io.EOF {
			return checkLength(resp, total)
		}
		if readErr != nil {
			return readFault(resp, readErr)
		}
		if total > yieldAfterBytes {
			runtime.Gosched()
		}
	}
}

// writePart writes a part of the body. It does not flush the last part of a stream, since the
// end of the answer does.
func writePart(w http.ResponseWriter, flusher http.Flusher, part []byte, readErr error) *fault.Fault {
	if len(part) == 0 {
		return nil
	}
	if _, err := w.Write(part); err != nil {
		return writeFault(err)
	}
	if flusher != nil && readErr == nil {
		flusher.Flush()
	}
	return nil
}

const eventStream = "text/event-stream"

// wantsFlush reports whether each part of the answer is flushed as it arrives.
func wantsFlush(resp *http.Response) bool {
	return resp.ContentLength == -1 || isStream(resp.Header)
}

// isStream reports whether the parts of an answer are of use to the caller as they arrive: it is an
// event stream, or asks proxies not to buffer it.
func isStream(header http.Header) bool {
	if values := header["X-Accel-Buffering"]; len(values) > 0 && values[0] == "no" {
		return true
	}
	mediaType := header.Get("Content-Type")
	if len(mediaType) < len(eventStream) || !strings.EqualFold(mediaType[:len(eventStream)], eventStream) {
		return false // avoids the parser and its allocation of a map for nearly all answers
	}
	mediaType, _, _ = mime.ParseMediaType(mediaType)
	return mediaType == eventStream
}

// checkLength detects a body that is shorter than declared but that the transport ended
// without an error.
func checkLength(resp *http.Response, total int64) *fault.Fault {
	if resp.ContentLength < 0 || total == resp.ContentLength {
		return nil
	}
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return nil
	}
	return fault.New(fault.AnswerTruncated, "the target's answer does not have the length it declared")
}

// readFault distinguishes a caller that closed the connection and a deadline that passed, which
// end the request's context and so the read, from an answer that broke off.
func readFault(resp *http.Response, err error) *fault.Fault {
	cause := err
	if resp.Request != nil {
		cause = context.Cause(resp.Request.Context())
	}
	if errors.Is(cause, context.Canceled) {
		return ranFully(fault.Wrap(fault.CallerGone, err, "while the answer was read"))
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return ranFully(fault.Wrap(fault.DeadlineExceeded, err, "while the answer was read"))
	}
	return fault.Wrap(fault.AnswerTruncated, err, "")
}

func writeFault(err error) *fault.Fault {
	if errors.Is(err, http.ErrContentLength) || errors.Is(err, http.ErrBodyNotAllowed) {
		return fault.Wrap(fault.AnswerTruncated, err, "the target's answer is longer than it declared")
	}
	return ranFully(fault.Wrap(fault.CallerGone, err, "while the answer was sent"))
}

func ranFully(f *fault.Fault) *fault.Fault {
	f.Ran = fault.RanFully
	return f
}

// copyTrailer copies the trailers. Trailers that were not announced need the prefix
// http.TrailerPrefix.
func copyTrailer(dst, trailer http.Header, announced int) {
	prefix := ""
	if len(trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range trailer {
		if !isHopByHop(name) && !isRouterHeader(name) {
			dst[prefix+name] = values
		}
	}
}
