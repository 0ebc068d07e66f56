package peer

import (
	"context"
	"encoding/base64"
	"math"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/peerpb"
	"tarragongw/reqctx"
)

// HeaderEnvelope carries the envelope of a forwarded request between routers.
// The caller side strips Tarragon-* from what callers send, so that no caller
// can inject one.
const HeaderEnvelope = "Tarragon-Envelope"

// maxEnvelope bounds the encoded header value in bytes.
const maxEnvelope = 32 << 10

type requestKey struct{}

// requestContext is the context of a forwarded request, as a Handler receives it.
type requestContext struct {
	*reqctx.Context
	envelope *Envelope
}

// Value implements context.Context.
func (c *requestContext) Value(key any) any {
	if key == (requestKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// EnvelopeFrom returns the envelope of the forwarded request that ctx belongs to.
func EnvelopeFrom(ctx context.Context) (*Envelope, bool) {
	c, ok := ctx.Value(requestKey{}).(*requestContext)
	if !ok {
		return nil, false
	}
	return c.envelope, true
}

// ContextFrom returns what bounds the forwarded request that ctx belongs to, so that
// the handler can set the limit that the envelope names, and lift it again; nil where
// ctx belongs to none.
func ContextFrom(ctx context.Context) *reqctx.Context {
	c, ok := ctx.Value(requestKey{}).(*requestContext)
	if !ok {
		return nil
	}
	return c.Context
}

// encodeEnvelope returns the header value for e.
func encodeEnvelope(e *Envelope) (string, error) {
	raw, err := proto.Marshal(&peerpb.Envelope{
		RequestId:      e.RequestID,
		Service:        e.Service,
		Key:            e.Key,
		Caller:         e.Caller,
		Class:          uint32(e.Class),
		DeadlineMillis: e.DeadlineMillis,
		Repeatable:     e.Repeatable,
		Unit:           e.Unit,
		Target:         e.Target,
		Token:          e.Token,
		Term:           e.Term,
		Attempt:        uint32(max(e.Attempt, 0)),
	})
	if err != nil {
		return "", errors.Wrap(err, "envelope")
	}
	value := base64.RawURLEncoding.EncodeToString(raw)
	if len(value) > maxEnvelope {
		return "", errors.Wrapf(ErrFrameTooLarge, "envelope of %d bytes", len(value))
	}
	return value, nil
}

// envelopeOf returns the envelope in a request's header, which must be there once.
func envelopeOf(h http.Header) (*Envelope, error) {
	values := h[HeaderEnvelope]
	if len(values) != 1 {
		return nil, errors.Errorf("envelope: %d headers", len(values))
	}
	return decodeEnvelope(values[0])
}

// decodeEnvelope is the inverse of encodeEnvelope. Unknown fields are ignored. An
// empty value is the envelope with nothing set.
func decodeEnvelope(value string) (*Envelope, error) {
	if len(value) > maxEnvelope {
		return nil, errors.Wrapf(ErrFrameTooLarge, "envelope of %d bytes", len(value))
	}
	raw, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil {
		return nil, errors.Wrap(err, "envelope")
	}
	var m peerpb.Envelope
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(err, "envelope")
	}
	if m.Class > math.MaxUint8 || m.Attempt > math.MaxInt32 || m.DeadlineMillis < 0 {
		return nil, errors.New("envelope: value out of range")
	}
	return &Envelope{
		RequestID:      m.RequestId,
		Service:        m.Service,
		Key:            m.Key,
		Caller:         m.Caller,
		Class:          uint8(m.Class),
		DeadlineMillis: m.DeadlineMillis,
		Repeatable:     m.Repeatable,
		Unit:           m.Unit,
		Target:         m.Target,
		Token:          m.Token,
		Term:           m.Term,
		Attempt:        int(m.Attempt),
	}, nil
}
