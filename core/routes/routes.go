// Package routes holds the routes that operators set: which service a request goes to,
// in which shares, within which times and how often it may be tried.
package routes

import "time"

// Repeat says how often a request of a route may run.
type Repeat uint8

const (
	// AtMostOnce requests may run once; it is the zero value, so that a route of a kind
	// that is not known is never run twice.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Share is one service's part of a route.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route; zero gets nothing.
	Weight int
}

// Route is one route as operators set it.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Timeout bounds the wait for the answer to begin; zero leaves it to the caller.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth; zero is none.
	Objective time.Duration
	// Rank is the urgency, zero the highest.
	Rank int
	// MaxTargets bounds the targets to which one request may be sent.
	MaxTargets int
	Shares     []Share
}

// Service is what routes go to.
type Service struct {
	Name string
	// ByKey services run a request only at the target that holds its key.
	ByKey bool
	// MaxConns bounds the connections of all routers together to one target.
	MaxConns int
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	// Version grows with each configuration, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   CallerLimits
}

// Service returns the service of the name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
