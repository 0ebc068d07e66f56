// Package model defines the operators' configuration: services, targets, key ranges,
// callers and selectors. It validates and compares configurations and does no I/O. A
// Model is immutable once built.
package model

import "time"

// Labels maps the labels of an object to their values.
type Labels map[string]string

// Model is one complete revision of the operators' configuration.
type Model struct {
	// Revision grows by one with each accepted change.
	Revision uint64 `json:"revision"`
	// Services, Targets, Ranges, Callers and Selectors are sorted by name.
	Services  []Service  `json:"services,omitempty"`
	Targets   []Target   `json:"targets,omitempty"`
	Ranges    []KeyRange `json:"ranges,omitempty"`
	Callers   []Caller   `json:"callers,omitempty"`
	Selectors []Selector `json:"selectors,omitempty"`
}

// Division determines how the requests of a service are divided among its targets.
type Division uint8

const (
	// ByKey gives each key a single owner.
	ByKey Division = iota
	// Any lets every eligible target serve every request.
	Any
)

// Source is the part of a request from which a field is read.
type Source uint8

// The parts of a request that a rule can read.
const (
	FromNone Source = iota
	FromHeader
	FromPath
	FromQuery
)

// Extract is a rule for extracting one field from a request.
type Extract struct {
	// From is the part of the request that is read.
	From Source `json:"from"`
	// Name is the name of the header or query parameter.
	Name string `json:"name"`
	// Segment is the index of the path segment, counted from zero after the prefix.
	Segment int `json:"segment,omitempty"`
	// Default is the value for requests that do not have the field.
	Default string `json:"default,omitempty"`
}

// Isolation determines whether other data centres may take over the keys of a data
// centre that is cut off.
type Isolation struct {
	// Keep leaves the keys with their owners until the data centre is connected again.
	Keep bool `json:"keep,omitempty"`
	// YieldAfter is how long owners continue without the store before they stop and
	// others may take over; it is used only if Keep is false.
	YieldAfter time.Duration `json:"yield_after_ns,omitempty"`
}

// Weights are the relative costs of load imbalance, of changes of owner (churn) and of
// keys that are unavailable.
type Weights struct {
	Imbalance   float64 `json:"imbalance,omitempty"`
	Churn       float64 `json:"churn,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
}

// Service is one service to which callers send requests.
type Service struct {
	Name     string   `json:"name"`
	Labels   Labels   `json:"labels,omitempty"`
	Division Division `json:"division"`
	// HashSlots is the number of hash slots of the key space. It cannot be changed after
	// the service has been created.
	HashSlots uint32 `json:"hash_slots,omitempty"`
	// Hosts and PathPrefix determine which requests belong to the service; an empty list
	// of hosts matches every host.
	Hosts      []string `json:"hosts,omitempty"`
	PathPrefix string   `json:"path_prefix,omitempty"`
	// StripPrefix removes the prefix before a request is forwarded to a target.
	StripPrefix bool    `json:"strip_prefix,omitempty"`
	Key         Extract `json:"key,omitzero"`
	Caller      Extract `json:"caller,omitzero"`
	Class       Extract `json:"class,omitzero"`
	Deadline    Extract `json:"deadline,omitzero"`
	Repeatable  Extract `json:"repeatable,omitzero"`
	// Timeout applies to requests that have no deadline of their own.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
	// ProgressTimeout is the longest time for which a connection with a request in flight
	// may be silent.
	ProgressTimeout time.Duration `json:"progress_timeout_ns,omitempty"`
	// QueueLength is the maximum number of requests queued for one target.
	QueueLength int `json:"queue_length,omitempty"`
	// BatchShare is the minimum share of slots, from 0 to 1, for queued batch requests.
	BatchShare float64   `json:"batch_share,omitempty"`
	Isolation  Isolation `json:"isolation,omitzero"`
	Weights    Weights   `json:"weights,omitzero"`
}

// GrantCheck describes which checks of grants a target makes itself.
type GrantCheck struct {
	// ChecksTokens means that the target refuses requests and grants with an old term or token.
	ChecksTokens bool `json:"checks_tokens,omitempty"`
	// Expires means that the target itself stops serving a unit when its grant expires.
	Expires bool `json:"expires,omitempty"`
}

// Target is one server that holds state for the keys that it owns.
type Target struct {
	Name       string `json:"name"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	// Address is host:port.
	Address string `json:"address,omitempty"`
	Labels  Labels `json:"labels,omitempty"`
	// Slots is the number of requests that the target processes concurrently; zero means
	// unknown.
	Slots int `json:"slots,omitempty"`
	// Connections is the maximum number of connections from all routers together.
	Connections int        `json:"connections,omitempty"`
	Grants      GrantCheck `json:"grants,omitzero"`
	// Drain marks a target that is being drained: it gets no new work.
	Drain bool `json:"drain,omitempty"`
}

// KeyRange is a named range of keys of one service, From inclusive and To
// exclusive in byte order; an empty To means no upper bound. A range with From
// equal to To contains that single key.
type KeyRange struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Labels  Labels `json:"labels,omitempty"`
}

// Caller sets the labels and the weight of the caller with the name.
type Caller struct {
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Weight is the share of the caller relative to other callers; 1 if not set.
	Weight float64 `json:"weight,omitempty"`
}

// Op is the operator of one requirement of a label expression.
type Op uint8

// The operators.
const (
	Equals Op = iota
	NotEquals
	In
	NotIn
	Exists
	NotExists
)

// Requirement is one condition on a label.
type Requirement struct {
	Label  string   `json:"label,omitempty"`
	Op     Op       `json:"op"`
	Values []string `json:"values,omitempty"`
}

// Expr is a conjunction of requirements; an empty Expr matches everything.
type Expr []Requirement

// Selector restricts the targets of the requests that it matches by caller and key,
// hands them to another service or refuses them: exactly one of Targets, ToService and
// Refuse is set.
type Selector struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	// Priority decides between selectors that overlap: the highest wins. A model in which
	// selectors of equal priority overlap is refused.
	Priority int `json:"priority,omitempty"`
	// Callers and Keys are conditions on the labels of the caller and of the key's range.
	Callers Expr `json:"callers,omitempty"`
	Keys    Expr `json:"keys,omitempty"`
	// Targets restricts placement to the targets that match.
	Targets Expr `json:"targets,omitempty"`
	// ToService hands the requests to another service.
	ToService string `json:"to_service,omitempty"`
	// Refuse refuses the requests.
	Refuse bool `json:"refuse,omitempty"`
}

// Service returns the service with the name, or nil.
func (m *Model) Service(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

// Target returns the target with the name, or nil.
func (m *Model) Target(name string) *Target {
	for i := range m.Targets {
		if m.Targets[i].Name == name {
			return &m.Targets[i]
		}
	}
	return nil
}
