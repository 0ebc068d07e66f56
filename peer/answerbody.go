package peer

import (
	"io"
	"net/http"

	"tarragongw/core/fault"
)

// answerBody is the body of an answer from another router.
type answerBody struct {
	body     io.ReadCloser
	exchange *exchange
	keep     bool
	err      error
}

// Read implements io.Reader. An answer that breaks off ends with a fault of kind
// AnswerTruncated and never with io.EOF.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	x := b.exchange
	if err == io.EOF {
		b.err = io.EOF
		x.finish(b.keep)
		return n, io.EOF
	}
	if x.ctx.Err() != nil {
		err = x.ctx.Err()
	}
	b.err = fault.Wrap(fault.AnswerTruncated, err, "router "+x.to)
	x.finish(false)
	return n, b.err
}

// Close implements io.Closer. It drops what was not read.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.finish(false)
	}
	return nil
}
