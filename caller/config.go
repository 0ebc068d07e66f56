package caller

import (
	"context"
	"crypto/tls"
	"log"
	"log/slog"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Config holds the settings of a Handler and a Server. Zero fields take their defaults.
type Config struct {
	// ReadHeaderTimeout bounds the time to read a request's header. Default 10 s.
	ReadHeaderTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request's header. Default 64 KiB.
	MaxHeaderBytes int
	// MaxKeyBytes bounds the size of a key and of a caller's name. Default 1 KiB.
	MaxKeyBytes int
	// IdleTimeout is how long a connection may be idle before it is closed. Default 75 s.
	IdleTimeout time.Duration
	// BodyWindow is the time spent waiting for a request's body within which BodyWindowBytes,
	// or the end of the body, must arrive. Time in which the target is the slow side does not
	// count. Default 30 s.
	BodyWindow time.Duration
	// BodyWindowBytes is the minimum progress per window. Default 4 KiB.
	BodyWindowBytes int64
	// AnswerWindow is how long the caller may take no byte of its answer. Default 30 s.
	AnswerWindow time.Duration
	// DrainBytes and DrainTimeout bound how much of a request's body is read and discarded
	// after the answer was sent, so that a caller that is still sending gets to read the
	// answer. Default 1 MiB and 2 s.
	DrainBytes   int64
	DrainTimeout time.Duration
	// MaxRequests bounds the number of requests in flight. Default 16384.
	MaxRequests int
	// MaxConns bounds the number of callers' connections. Default 16384.
	MaxConns int
	// MaxConnsPerAddress bounds the number of connections from one IP address. Behind a load
	// balancer all callers share its few addresses. Default 8192.
	MaxConnsPerAddress int
	// MaxStreams bounds the concurrent streams of one HTTP/2 connection. Default 250.
	MaxStreams int
	// PingAfter is how long an HTTP/2 connection may be silent before it is sent a ping, and
	// PingTimeout how long the answer to the ping may take before the connection is closed.
	// Default 30 s and 15 s.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// RequestIDHeader is the header that carries the request ID chosen by the caller, in
	// canonical form. Default X-Request-Id.
	RequestIDHeader string
	// KeepRequestID has an ID that the caller chose forwarded as it is. Otherwise one that is longer than 128 bytes or has other than
	// visible ASCII characters is replaced.
	KeepRequestID bool
	// OmitAddedHeaders turns off the headers Traceparent and X-Forwarded-For, which the router
	// otherwise adds to a forwarded request.
	OmitAddedHeaders bool
	// StrictPrefixes has the prefix of a service match only paths that begin with it, its last slash included. Otherwise the last
	// slash is optional, in the prefix and in the path that ends there.
	StrictPrefixes bool
	// FractionalRetryAfter makes Retry-After a decimal fraction of seconds, for callers that accept
	// it; whole seconds are too coarse where a delay of 100 ms is enough.
	FractionalRetryAfter bool
	// StatusImpliesNotRun means that callers take the statuses 408, 421, 429 and 503 as a guarantee that
	// the request did not run. A fault with one of these statuses and without that proof is
	// answered with 502 instead.
	StatusImpliesNotRun bool
	// BeforeRouting is called before a request is matched with the model, and may wait for a newer one; nil for nothing.
	BeforeRouting func(ctx context.Context)
	// CloseAfterAnswer reports whether the caller's connection is to be closed after the current
	// answer, which then announces it. Nil keeps all connections open.
	CloseAfterAnswer func() bool
	// DeadlineMargin is how long before the caller's deadline a request times out at the router.
	// A caller that gives up at its deadline closes the connection and so cancels the requests
	// it pipelined behind the late one. It does not apply to a request with less than twice
	// this time left.
	DeadlineMargin time.Duration
	// LimitAnswers has answers end by the request's deadline: short ones begin only once they are whole, and one that
	// has begun is cut off AnswerGrace after the deadline. Otherwise an answer may go on for as long as it makes progress.
	LimitAnswers bool
	// MaxHeldBytes bounds the parts of answers that are held back, of all requests together; beyond it answers begin
	// before they are whole. Default 16 MiB.
	MaxHeldBytes int64
	// AnswerGrace leaves time for long answers that are nearly whole. Default 200 ms.
	AnswerGrace time.Duration
	// MaxPipelined is the number of pipelined requests of one clear-text connection that are
	// served before their turn, see pipeline. Zero serves the requests of a connection one
	// after the other.
	MaxPipelined int
	// AwaitPlacement has them wait until the forwarder has told by Placer that the request in its turn has its place.
	AwaitPlacement bool
	// Admit returns a fault if the router itself refuses requests of the class, for example
	// under overload. It must not block. Nil admits all.
	Admit func(class request.Class) *fault.Fault
	// Accepts returns an error if the client certificate of a connection is no longer
	// accepted. It is called after the handshake and after each call of Recheck. Nil turns the
	// check off.
	Accepts func(state *tls.ConnectionState) error
	// ErrorLog, if not nil, receives the log lines of net/http instead of Logger.
	ErrorLog *log.Logger
	// Now is the wall clock against which the expiry of certificates is checked. Default:
	// time.Now.
	Now func() time.Time
	// Logger receives the log of net/http and of the handler. Default: discarded.
	Logger *slog.Logger
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// closing reports whether callers' connections are to be closed after their current answers.
func (c *Config) closing() bool { return c.CloseAfterAnswer != nil && c.CloseAfterAnswer() }

func (c Config) withDefaults() Config {
	orDefault(&c.ReadHeaderTimeout, 10*time.Second)
	orDefault(&c.MaxHeaderBytes, 64*kibibyte)
	if c.RequestIDHeader == "" {
		c.RequestIDHeader = headerRequestID
	}
	orDefault(&c.MaxKeyBytes, kibibyte)
	orDefault(&c.IdleTimeout, 75*time.Second)
	orDefault(&c.BodyWindow, 30*time.Second)
	orDefault(&c.BodyWindowBytes, 4*kibibyte)
	orDefault(&c.AnswerWindow, 30*time.Second)
	orDefault(&c.AnswerGrace, 200*time.Millisecond)
	orDefault(&c.MaxHeldBytes, 16*mebibyte)
	orDefault(&c.DrainBytes, mebibyte)
	orDefault(&c.DrainTimeout, 2*time.Second)
	orDefault(&c.MaxRequests, 16384)
	orDefault(&c.MaxConns, 16384)
	orDefault(&c.MaxConnsPerAddress, 8192)
	orDefault(&c.MaxStreams, 250)
	orDefault(&c.PingAfter, 30*time.Second)
	orDefault(&c.PingTimeout, 15*time.Second)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

func orDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
