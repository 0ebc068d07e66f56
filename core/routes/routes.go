// Package routes holds the routes that operators configure: to which services requests
// go and in which shares, the timeout and objective of an answer, and whether a request
// may run more than once.
package routes

import "time"

// Repeat says whether a request of a route may run more than once.
type Repeat uint8

const (
	// AtMostOnce requests must not run more than once. It is the zero value, so that
	// requests of a route whose kind is unknown never run twice.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route; a share with weight zero gets no
	// requests.
	Weight int
}

// Route is one route as operators configured it.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Timeout is how long after its arrival a request may wait for its whole answer; zero leaves it to the caller.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value; zero means none.
	Objective time.Duration
	// Priority is the priority; zero is the most urgent.
	Priority int
	// MaxTargets is the largest number of targets to which one request may be sent.
	MaxTargets int
	Shares     []Share
}

// Service is a service to which routes send requests.
type Service struct {
	Name string
	// ByKey says that the keys are divided among the service's targets: a request runs only
	// at the target that holds its key.
	ByKey bool
	// MaxConns is the largest number of connections that all routers together may have to
	// one target.
	MaxConns int
	// HealthPath is the path of the targets' health check; empty if they have none.
	HealthPath string
	// Warmup is for how long a target may be cold after its start, or once it has become cold again; zero if unknown.
	// WarmupRate is how many requests per second a cold target bears; zero if that is not limited.
	Warmup     time.Duration
	WarmupRate float64
}

// CallerLimits are the limits on requests and connections of callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	// Version is larger in each later configuration; it may grow by more than one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   CallerLimits
}

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
