package config

import (
	"time"

	"tarragongw/core/model"
)

// Defaults of a service, a target and a caller.
const (
	DefaultTimeout         = 10 * time.Second
	DefaultProgressTimeout = 5 * time.Second
	DefaultQueueLength     = 64
	DefaultBatchShare      = 0.1
	DefaultConnections     = 128
	DefaultWeight          = 1.0
)

// Headers that the default rules of a service read.
const (
	HeaderCaller     = "Tarragon-Caller"
	HeaderClass      = "Tarragon-Class"
	HeaderDeadline   = "Tarragon-Deadline-Ms"
	HeaderRepeatable = "Tarragon-Repeatable"
)

var extractFields = []field[model.Extract]{
	{name: "from", unit: "header, path, query or none", def: "none", effect: "Part of the request that the rule reads; with none, the default always applies.", pointer: func(e *model.Extract) any { return &e.From }},
	{name: "name", unit: "text", effect: "Name of the header or query parameter.", pointer: func(e *model.Extract) any { return &e.Name }},
	{name: "segment", unit: "count", def: "0", effect: "Index of the path segment after the prefix, from zero.", pointer: func(e *model.Extract) any { return &e.Segment }},
	{name: "default", unit: "text", effect: "Value if the request does not have the field.", pointer: func(e *model.Extract) any { return &e.Default }},
}

var isolationFields = []field[model.Isolation]{
	{name: "keep", unit: "boolean", def: "true", effect: "Keys stay with their owners in a data centre that is cut off, for as long as it is cut off.", pointer: func(i *model.Isolation) any { return &i.Keep }},
	{name: "yield_after", unit: "duration", effect: "Time after which owners that are cut off stop serving and others may take over; sets keep to false.", pointer: func(i *model.Isolation) any { return &i.YieldAfter }},
}

var weightsFields = []field[model.Weights]{
	{name: "imbalance", unit: "number", def: "1", effect: "Relative cost of uneven load.", pointer: func(w *model.Weights) any { return &w.Imbalance }},
	{name: "churn", unit: "number", def: "1", effect: "Relative cost of moving keys.", pointer: func(w *model.Weights) any { return &w.Churn }},
	{name: "unavailable", unit: "number", def: "1", effect: "Relative cost of time in which keys are not served.", pointer: func(w *model.Weights) any { return &w.Unavailable }},
}

var grantsFields = []field[model.GrantCheck]{
	{name: "checks_tokens", unit: "boolean", def: "false", effect: "The target refuses requests and grants with an old term or token.", pointer: func(g *model.GrantCheck) any { return &g.ChecksTokens }},
	{name: "expires", unit: "boolean", def: "false", effect: "The target stops serving by itself when its grant expires.", pointer: func(g *model.GrantCheck) any { return &g.Expires }},
}

var serviceFields = []field[model.Service]{
	{name: "name", required: true, unit: "name", effect: "Name of the service.", pointer: func(s *model.Service) any { return &s.Name }},
	{name: "labels", unit: "labels", effect: "Labels of the service.", pointer: func(s *model.Service) any { return &s.Labels }},
	{name: "division", unit: "by-key or any", def: "by-key", effect: "by-key gives each key a single owner; any lets every eligible target serve every request.", pointer: func(s *model.Service) any { return &s.Division }},
	{name: "hash_slots", unit: "count", def: "1024", effect: "Hash slots of the key space; a power of two from 16 to 65536, which cannot be changed later. Only where division is by-key.", pointer: func(s *model.Service) any { return &s.HashSlots }},
	{name: "hosts", unit: "list of hosts", effect: "Hosts of the requests that are for the service; all hosts if empty.", pointer: func(s *model.Service) any { return &s.Hosts }},
	{name: "path_prefix", unit: "path", def: "/ and the name", effect: "Prefix of the paths that are for the service.", pointer: func(s *model.Service) any { return &s.PathPrefix }},
	{name: "strip_prefix", unit: "boolean", def: "false", effect: "Removes the prefix before the request goes to the target.", pointer: func(s *model.Service) any { return &s.StripPrefix }},
	{name: "key", unit: "rule", effect: "Finds the key; needed where division is by-key.", pointer: func(s *model.Service) any { return &s.Key }},
	{name: "caller", unit: "rule", def: "header Tarragon-Caller", effect: "Finds the name of the caller.", pointer: func(s *model.Service) any { return &s.Caller }},
	{name: "class", unit: "rule", def: "header Tarragon-Class", effect: "Finds the class: interactive (the default if none is found) or batch.", pointer: func(s *model.Service) any { return &s.Class }},
	{name: "deadline", unit: "rule", def: "header Tarragon-Deadline-Ms", effect: "Finds the time limit that the caller sets for the request, in milliseconds.", pointer: func(s *model.Service) any { return &s.Deadline }},
	{name: "repeatable", unit: "rule", def: "header Tarragon-Repeatable", effect: "Finds true or false; if neither is found, GET, HEAD and OPTIONS are repeatable and other methods run at most once.", pointer: func(s *model.Service) any { return &s.Repeatable }},
	{name: "timeout", unit: "duration", def: "10s", effect: "Deadline of requests that carry none; 1ms to 1h.", pointer: func(s *model.Service) any { return &s.Timeout }},
	{name: "progress_timeout", unit: "duration", def: "5s", effect: "Longest time that a connection with a request in flight may be silent; 1ms to 1h.", pointer: func(s *model.Service) any { return &s.ProgressTimeout }},
	{name: "queue_length", unit: "count", def: "64", effect: "Largest number of requests queued for one target; 1 to 65536.", pointer: func(s *model.Service) any { return &s.QueueLength }},
	{name: "batch_share", unit: "share from 0 to 1", def: "0.1", effect: "Smallest share of slots that queued batch requests get.", pointer: func(s *model.Service) any { return &s.BatchShare }},
	{name: "isolation", unit: "table", def: "{ keep = true }", effect: "What other data centres may do with the keys of one that is cut off.", pointer: func(s *model.Service) any { return &s.Isolation }},
	{name: "weights", unit: "table", def: "1 each", effect: "Relative costs of imbalance, churn and unavailability.", pointer: func(s *model.Service) any { return &s.Weights }},
}

var targetFields = []field[model.Target]{
	{name: "name", required: true, unit: "name", effect: "Name of the target.", pointer: func(t *model.Target) any { return &t.Name }},
	{name: "service", required: true, unit: "name", effect: "Service that the target belongs to.", pointer: func(t *model.Target) any { return &t.Service }},
	{name: "data_centre", required: true, unit: "name", effect: "Data centre that the target is in.", pointer: func(t *model.Target) any { return &t.DataCentre }},
	{name: "address", required: true, unit: "host:port", effect: "Address of the target.", pointer: func(t *model.Target) any { return &t.Address }},
	{name: "labels", unit: "labels", effect: "Labels of the target. The labels name and data_centre are set by the router.", pointer: func(t *model.Target) any { return &t.Labels }},
	{name: "slots", unit: "count", def: "0", effect: "Number of requests that the target works on at once; 0 means unknown.", pointer: func(t *model.Target) any { return &t.Slots }},
	{name: "connections", unit: "count", def: "128", effect: "Largest number of connections to the target from all routers together; 1 to 65536.", pointer: func(t *model.Target) any { return &t.Connections }},
	{name: "grants", unit: "table", effect: "What the target itself does with grants; nothing if left out.", pointer: func(t *model.Target) any { return &t.Grants }},
	{name: "drain", unit: "boolean", def: "false", effect: "Marks a target that is leaving.", pointer: func(t *model.Target) any { return &t.Drain }},
}

var rangeFields = []field[model.KeyRange]{
	{name: "name", required: true, unit: "name", effect: "Name of the range; also its label name.", pointer: func(r *model.KeyRange) any { return &r.Name }},
	{name: "service", required: true, unit: "name", effect: "Service whose keys the range contains.", pointer: func(r *model.KeyRange) any { return &r.Service }},
	{name: "from", unit: "text", effect: "First key of the range, in order of bytes.", pointer: func(r *model.KeyRange) any { return &r.From }},
	{name: "to", unit: "text", effect: "First key after the range; no upper end if left out. Equal to from: the range is that single key.", pointer: func(r *model.KeyRange) any { return &r.To }},
	{name: "labels", unit: "labels", effect: "Labels that conditions on keys can test.", pointer: func(r *model.KeyRange) any { return &r.Labels }},
}

var callerFields = []field[model.Caller]{
	{name: "name", required: true, unit: "text", effect: "Name that the service's rule finds; also its label name.", pointer: func(c *model.Caller) any { return &c.Name }},
	{name: "labels", unit: "labels", effect: "Labels that conditions on callers can test.", pointer: func(c *model.Caller) any { return &c.Labels }},
	{name: "weight", unit: "number", def: "1", effect: "Share relative to other callers; above 0.", pointer: func(c *model.Caller) any { return &c.Weight }},
}

var selectorFields = []field[model.Selector]{
	{name: "name", required: true, unit: "name", effect: "Name of the selector.", pointer: func(s *model.Selector) any { return &s.Name }},
	{name: "service", required: true, unit: "name", effect: "Service whose requests it decides on.", pointer: func(s *model.Selector) any { return &s.Service }},
	{name: "priority", unit: "count", def: "0", effect: "Of the selectors that match a request, the one with the highest priority decides; selectors of equal priority must not overlap.", pointer: func(s *model.Selector) any { return &s.Priority }},
	{name: "callers", unit: "expression", effect: "Condition on the labels of the caller; all callers if left out.", pointer: func(s *model.Selector) any { return &s.Callers }},
	{name: "keys", unit: "expression", effect: "Condition on the labels of the key's range; all keys if left out. Keys in no range have no labels.", pointer: func(s *model.Selector) any { return &s.Keys }},
	{name: "targets", unit: "expression", effect: "Action: only targets that match are eligible. On a service divided by key it can't be combined with callers.", pointer: func(s *model.Selector) any { return &s.Targets }},
	{name: "to_service", unit: "name", effect: "Action: the request goes to another service, whose selectors then apply.", pointer: func(s *model.Selector) any { return &s.ToService }},
	{name: "refuse", unit: "boolean", def: "false", effect: "Action: the request is refused.", pointer: func(s *model.Selector) any { return &s.Refuse }},
}

// newService returns a service with the defaults that do not depend on other fields.
func newService() model.Service {
	return model.Service{
		Caller:          model.Extract{From: model.FromHeader, Name: HeaderCaller},
		Class:           model.Extract{From: model.FromHeader, Name: HeaderClass},
		Deadline:        model.Extract{From: model.FromHeader, Name: HeaderDeadline},
		Repeatable:      model.Extract{From: model.FromHeader, Name: HeaderRepeatable},
		Timeout:         DefaultTimeout,
		ProgressTimeout: DefaultProgressTimeout,
		QueueLength:     DefaultQueueLength,
		BatchShare:      DefaultBatchShare,
		Isolation:       model.Isolation{Keep: true},
		Weights:         model.Weights{Imbalance: DefaultWeight, Churn: DefaultWeight, Unavailable: DefaultWeight},
	}
}

func newTarget() model.Target { return model.Target{Connections: DefaultConnections} }

func newCaller() model.Caller { return model.Caller{Weight: DefaultWeight} }

// setDerivedDefaults sets the defaults that depend on other fields. raw is the service's table.
func setDerivedDefaults(s *model.Service, raw map[string]any) {
	if _, given := raw["hash_slots"]; !given && s.Division == model.ByKey {
		s.HashSlots = model.DefaultHashSlots
	}
	if _, given := raw["path_prefix"]; !given {
		s.PathPrefix = "/" + s.Name
	}
}

// clearReplacedRules clears the default rules that the file replaces, so that a rule never
// mixes fields of the file with fields of the default. It also defaults isolation.keep to
// false if the file sets isolation.yield_after.
func clearReplacedRules(s *model.Service, raw map[string]any) {
	rules := map[string]*model.Extract{"caller": &s.Caller, "class": &s.Class, "deadline": &s.Deadline, "repeatable": &s.Repeatable}
	for name, rule := range rules {
		if _, given := raw[name]; given {
			*rule = model.Extract{}
		}
	}
	if isolation, ok := raw["isolation"].(map[string]any); ok {
		_, yields := isolation["yield_after"]
		s.Isolation.Keep = !yields
	}
}
