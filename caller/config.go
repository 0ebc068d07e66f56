package caller

import (
	"crypto/tls"
	"log"
	"log/slog"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Config holds the limits of the caller side. A zero field takes its default.
type Config struct {
	// ReadHeaderTimeout bounds the arrival of a request's header. Default 10 s.
	ReadHeaderTimeout time.Duration
	// MaxHeaderBytes bounds a request's header. Default 64 KiB.
	MaxHeaderBytes int
	// MaxKeyBytes bounds a key and a caller's name. Default 1 KiB.
	MaxKeyBytes int
	// IdleTimeout closes a connection that rested for this time. Default 75 s.
	IdleTimeout time.Duration
	// BodyWindow is the time spent waiting for a request's body within which
	// BodyWindowBytes, or the body's end, must arrive. Time in which the target is the
	// slow side does not count. Default 30 s.
	BodyWindow time.Duration
	// BodyWindowBytes is the least progress per window. Default 4 KiB.
	BodyWindowBytes int64
	// AnswerWindow is the longest time that the caller may accept no byte of its
	// answer. Default 30 s.
	AnswerWindow time.Duration
	// DrainBytes and DrainTimeout bound what is read and thrown away of a request's
	// body after its answer was sent, so that a caller that is still sending gets to
	// read the answer. Default 1 MiB and 2 s.
	DrainBytes   int64
	DrainTimeout time.Duration
	// MaxRequests bounds the requests in flight. Default 16384.
	MaxRequests int
	// MaxConns bounds the callers' connections. Default 16384.
	MaxConns int
	// MaxConnsPerAddress bounds the connections of one IP address. Behind a balancer
	// all callers share its few addresses. Default 8192.
	MaxConnsPerAddress int
	// MaxStreams bounds the concurrent streams of one HTTP/2 connection. Default 250.
	MaxStreams int
	// PingTimeout closes an HTTP/2 connection that was silent for PingAfter and then
	// does not answer a ping. Default 15 s after 30 s.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// RequestIDHeader is the field by which callers name their requests, in canonical
	// form. Default X-Request-Id.
	RequestIDHeader string
	// Untraced leaves out the fields that the router adds of its own accord: a trace
	// context and the caller's address.
	Untraced bool
	// FractionalWaits gives the advised wait in Retry-After in fractions of a second, for
	// callers that read them; whole seconds are too coarse where a wait of 100 ms does.
	FractionalWaits bool
	// Promises says that callers take the statuses 408, 421, 429 and 503 for the promise that
	// a request did not run. One of which that isn't known is then answered 502 in place.
	Promises bool
	// ClosesAfter says whether the caller's connection is to end after the answer, which is
	// then announced; nil keeps all.
	ClosesAfter func() bool
	// AnswerBefore is by how much sooner than the caller leaves it is told that its time is
	// over. A caller that leaves ends its connection, and with it what it sent behind that
	// request. Not applied to requests with less than twice as much left.
	AnswerBefore time.Duration
	// LookAhead is how many requests of one connection in clear text are served before their
	// turn, see lookAhead; zero serves one after the other.
	LookAhead int
	// Admit refuses a request of the class for reasons of the router's own, at once; nil
	// refuses none.
	Admit func(class request.Class) *fault.Fault
	// Accepts says whether the certificate that a connection's caller showed is still
	// accepted, by an error if not; nil asks for none. It is asked after the handshake and
	// after each Recheck.
	Accepts func(state *tls.ConnectionState) error
	// ErrorLog takes the lines of net/http in place of Logger, where it is not nil.
	ErrorLog *log.Logger
	// Now is the wall clock that certificates are held against. Default: time.Now.
	Now func() time.Time
	// Logger receives what net/http and the handler report. Default: discarded.
	Logger *slog.Logger
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// closing reports whether callers' connections are to end after their answers.
func (c *Config) closing() bool { return c.ClosesAfter != nil && c.ClosesAfter() }

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
