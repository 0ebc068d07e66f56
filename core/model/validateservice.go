package model

import (
	"fmt"
	"strings"
)

func (v *validator) service(s *Service) {
	v.object = Ref{KindService, s.Name}
	v.name(s.Name)
	v.labels(s.Labels)
	if s.Division > Any {
		v.addProblem("division", "use by-key or any", "the division %d does not exist", s.Division)
	}
	v.hashSlots(s)
	v.hosts(s.Hosts)
	v.prefix(s)
	v.extract("key", s.Key)
	v.extract("caller", s.Caller)
	v.extract("class", s.Class)
	v.extract("deadline", s.Deadline)
	v.extract("repeatable", s.Repeatable)
	v.defaults(s)
	v.duration("timeout", s.Timeout, MinTimeout, MaxTimeout)
	v.duration("progress_timeout", s.ProgressTimeout, MinTimeout, MaxTimeout)
	v.integer("queue_length", s.QueueLength, 1, MaxQueueLength)
	v.number("batch_share", s.BatchShare, 0, 1)
	if s.Isolation.Keep && s.Isolation.YieldAfter != 0 {
		v.addProblem("isolation", "set keep = false, or leave yield_after out", "yield_after has no effect where keep is true")
	}
	if !s.Isolation.Keep {
		v.duration("isolation.yield_after", s.Isolation.YieldAfter, MinYieldAfter, MaxYieldAfter)
	}
	v.number("weights.imbalance", s.Weights.Imbalance, 0, MaxWeight)
	v.number("weights.churn", s.Weights.Churn, 0, MaxWeight)
	v.number("weights.unavailable", s.Weights.Unavailable, 0, MaxWeight)
}

func (v *validator) hashSlots(s *Service) {
	if s.Division != ByKey {
		if s.HashSlots != 0 {
			v.addProblem("hash_slots", "leave it out, or set division = \"by-key\"", "a service that is not divided by key has no hash slots")
		}
		return
	}
	if s.HashSlots < MinHashSlots || s.HashSlots > MaxHashSlots || s.HashSlots&(s.HashSlots-1) != 0 {
		v.addProblem("hash_slots", fmt.Sprintf("use a power of two from %d to %d", MinHashSlots, MaxHashSlots), "%d is not allowed", s.HashSlots)
	}
	if s.Key.From == FromNone {
		v.addProblem("key", "add a rule, for instance key = { from = \"path\", segment = 0 }", "a service that is divided by key needs a rule that finds the key")
	}
	if s.Key.Default != "" {
		v.addProblem("key.default", "leave it out; a request without a key is refused", "a default key would send all requests without one to one owner")
	}
}

func (v *validator) defaults(s *Service) {
	if d := s.Class.Default; d != "" && d != "interactive" && d != "batch" {
		v.addProblem("class.default", "use interactive or batch", "%q is not a class", d)
	}
	if d := s.Repeatable.Default; d != "" && d != "true" && d != "false" {
		v.addProblem("repeatable.default", "use \"true\" or \"false\", or leave it out so that the method decides", "%q is neither true nor false", d)
	}
	if s.Deadline.Default != "" {
		v.addProblem("deadline.default", "set timeout", "the deadline of requests that carry none is the service's timeout")
	}
}

func (v *validator) prefix(s *Service) {
	p := s.PathPrefix
	if !strings.HasPrefix(p, "/") || len(p) > MaxPrefixLength || strings.ContainsAny(p, "?#% ") {
		v.addProblem("path_prefix", fmt.Sprintf("use a path such as \"/%s\", at most %d bytes, without ?, #, %% and spaces", s.Name, MaxPrefixLength), "%q is not a path prefix", p)
	}
}

func (v *validator) hosts(hosts []string) {
	if len(hosts) > MaxHosts {
		v.addProblem("hosts", fmt.Sprintf("keep at most %d", MaxHosts), "there are %d hosts", len(hosts))
	}
	seen := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		if !validName(host, MaxHostLength, hostChar) {
			v.addProblem("hosts", "write the host in lower case and without a port", "%q is not a host name", host)
		}
		if seen[host] {
			v.addProblem("hosts", "name each host once", "the host %q is there twice", host)
		}
		seen[host] = true
	}
}

// routes adds a problem for each two services with the same host and prefix:
// a request could match both.
func (v *validator) routes() {
	type route struct{ host, prefix string }
	serviceOf := make(map[route]string)
	for i := range v.model.Services {
		s := &v.model.Services[i]
		hosts := s.Hosts
		if len(hosts) == 0 {
			hosts = []string{""}
		}
		prefix := strings.TrimSuffix(s.PathPrefix, "/")
		for _, host := range hosts {
			r := route{host, prefix}
			other, found := serviceOf[r]
			if !found {
				serviceOf[r] = s.Name
				continue
			}
			if other == s.Name {
				continue
			}
			v.object = Ref{KindService, s.Name}
			v.addProblem("path_prefix", "give one of them another prefix or other hosts", "%s has the same prefix and host", Ref{KindService, other})
			v.problems[len(v.problems)-1].Others = []Ref{{KindService, other}}
		}
	}
}
