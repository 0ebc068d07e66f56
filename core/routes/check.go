package routes

import (
	"fmt"
	"math"
	"strings"
)

// Reason says why a configuration can't be put in force, in one word.
type Reason string

// The reasons why a configuration can't be put in force.
const (
	NoRoutes       Reason = "no_routes"
	MissingName    Reason = "missing_name"
	DuplicateName  Reason = "duplicate_name"
	InvalidHost    Reason = "invalid_host"
	InvalidPrefix  Reason = "invalid_prefix"
	DuplicateRoute Reason = "duplicate_route"
	NoService      Reason = "no_service"
	UnknownService Reason = "unknown_service"
	InvalidWeight  Reason = "invalid_weight"
	OutOfRange     Reason = "out_of_range"
)

// CheckError is why a configuration can't be put in force.
type CheckError struct {
	Why Reason
	// Subject names the route, service or limit that is wrong.
	Subject string
}

func (e *CheckError) Error() string { return fmt.Sprintf("%s: %s", e.Subject, e.Why) }

// Reason returns the reason in one word.
func (e *CheckError) Reason() string { return string(e.Why) }

// Check returns a *CheckError if no router may put the configuration in force, as it would leave requests without a service
// or send them to one by chance. Fields that are missing and have a default are no error.
func (c *Config) Check() error {
	if len(c.Routes) == 0 {
		return &CheckError{NoRoutes, "the configuration"}
	}
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		if why := c.Services[i].check(services); why != "" {
			return &CheckError{why, fmt.Sprintf("service %q", c.Services[i].Name)}
		}
		services[c.Services[i].Name] = true
	}
	names, places := make(map[string]bool, len(c.Routes)), make(map[[2]string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		place := [2]string{r.Host, r.Prefix}
		why := r.check(services)
		switch {
		case why != "":
		case names[r.Name]:
			why = DuplicateName
		case places[place]:
			why = DuplicateRoute
		}
		if why != "" {
			return &CheckError{why, fmt.Sprintf("route %q", r.Name)}
		}
		names[r.Name], places[place] = true, true
	}
	if l := &c.Limits; l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return &CheckError{OutOfRange, "the limits"}
	}
	return nil
}

// check returns why a service is wrong, empty if it isn't; others are the services before it.
func (s *Service) check(others map[string]bool) Reason {
	switch {
	case s.Name == "":
		return MissingName
	case others[s.Name]:
		return DuplicateName
	case s.MaxConns < 0 || s.Warmup < 0 || !(s.WarmupRate >= 0) || math.IsInf(s.WarmupRate, 0):
		return OutOfRange
	}
	return ""
}

// check returns why a route is wrong, empty if it isn't.
func (r *Route) check(services map[string]bool) Reason {
	switch {
	case r.Name == "":
		return MissingName
	case r.Host == "":
		return InvalidHost
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return InvalidPrefix
	case min(r.Timeout, r.Objective) < 0 || r.Priority < 0 || r.MaxTargets < 1:
		return OutOfRange
	case len(r.Shares) == 0:
		return NoService
	}
	return checkShares(r.Shares, services)
}

// maxTotalWeight is the highest sum of the weights of a route, with which the splitter can't overflow.
const maxTotalWeight = math.MaxInt32

func checkShares(shares []Share, services map[string]bool) Reason {
	total := 0
	for _, s := range shares {
		if !services[s.Service] {
			return UnknownService
		}
		if s.Weight < 0 || s.Weight > maxTotalWeight-total {
			return InvalidWeight
		}
		total += s.Weight
	}
	return "" // weights that are all zero refuse the route's requests
}
