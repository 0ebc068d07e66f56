package selector

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"tarragongw/core/model"
	"tarragongw/core/routing"
)

// Action says how a request is handled.
type Action uint8

const (
	// NoService means that the service does not exist.
	NoService Action = iota
	// Serve means that one of the targets serves the request; on a service divided by key
	// this is the owner of the unit.
	Serve
	// Refuse means that a selector refuses the request.
	Refuse
	// KeyMissing means that the service is divided by key and the request has no key.
	KeyMissing
)

// Decision is the result of Route. It shares its slices with the Compiled; they must not be
// changed.
type Decision struct {
	Action Action
	// Service is the service that serves the request, after all selectors with to_service.
	Service *model.Service
	// Unit is the unit of the key; the zero Unit unless the service is divided by key.
	Unit routing.Unit
	// Targets are the sorted names of the eligible targets, including draining ones.
	Targets []string
	// Selector is the name of the selector that decided, or empty if none matched.
	Selector string
}

// Route decides which targets may serve a caller's request. Selectors are tried in order of
// priority, highest first, and the first that matches decides. If none matches, all targets
// of the service are eligible. Route does not allocate.
func (c *Compiled) Route(name, key string, caller *Subject) Decision {
	s := c.services[name]
	if s == nil {
		return Decision{}
	}
	for {
		d, next := s.route(key, caller)
		if next == "" {
			return d
		}
		s = c.services[next]
	}
}

// route decides within one service; next is the service that the request is forwarded to, or
// empty. Forwarding ends because Compile refuses cycles.
func (s *service) route(key string, caller *Subject) (d Decision, next string) {
	keyRange := s.rangeOf(key)
	cl := s.noRange
	if keyRange != nil {
		cl = keyRange.class
	}
	d = Decision{Action: Serve, Service: s.model, Targets: cl.eligible}
	for i := range cl.rules {
		r := &cl.rules[i]
		if !Match(r.selector.Callers, caller) {
			continue
		}
		if r.toService != "" {
			return d, r.toService
		}
		d.Selector = r.selector.Name
		if r.selector.Refuse {
			d.Action = Refuse
			d.Targets = nil
			return d, ""
		}
		d.Targets = r.targets
		break
	}
	if s.model.Division != model.ByKey {
		return d, ""
	}
	if key == "" {
		d.Action = KeyMissing
		d.Targets = nil
		return d, ""
	}
	d.Unit = s.unit(key, keyRange)
	return d, ""
}

// rangeOf returns the range that contains the key, or nil. The empty key lies in no range,
// because it stands for a request without a key.
func (s *service) rangeOf(key string) *compiledRange {
	if key == "" || len(s.ranges) == 0 {
		return nil
	}
	i := sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].model.From > key }) - 1
	if i < 0 || !s.ranges[i].model.Contains(key) {
		return nil
	}
	return &s.ranges[i]
}

// unit returns the unit of a key that lies in keyRange, or in no range if keyRange is nil.
func (s *service) unit(key string, keyRange *compiledRange) routing.Unit {
	if keyRange != nil {
		return routing.Unit{Service: s.model.Name, Kind: routing.RangeUnit, Range: keyRange.model.Name}
	}
	return routing.Unit{Service: s.model.Name, Kind: routing.SlotUnit, Slot: uint32(Hash(key) & s.mask)}
}

// Hash returns the hash of a key: XXH64 with seed zero over the key's bytes. Its lowest bits
// are the key's slot. The function and seed must never change: otherwise routers of two
// releases would send requests for one key to two owners.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// UnitOf returns the unit that a key belongs to. It returns the zero Unit for a service that
// does not exist or is not divided by key, and for the empty key.
func (c *Compiled) UnitOf(name, key string) routing.Unit {
	s := c.services[name]
	if s == nil || key == "" || s.model.Division != model.ByKey {
		return routing.Unit{}
	}
	return s.unit(key, s.rangeOf(key))
}

// Eligible returns the sorted names of the targets that may own a unit, or nil if the unit
// does not exist. They include targets with Drain set, because the code that assigns units
// decides whether a draining target may get one. The slice must not be changed.
func (c *Compiled) Eligible(unit routing.Unit) []string {
	s := c.services[unit.Service]
	if s == nil {
		return nil
	}
	if unit.Kind == routing.RangeUnit {
		if cl := s.classByRange[unit.Range]; cl != nil {
			return cl.eligible
		}
		return nil
	}
	if uint64(unit.Slot) > s.mask || s.model.Division != model.ByKey {
		return nil
	}
	return s.noRange.eligible
}

// Units returns all units of a service divided by key: its slots in order, then its ranges in
// order of From. It returns nil for other services.
func (c *Compiled) Units(name string) []routing.Unit {
	s := c.services[name]
	if s == nil || s.model.Division != model.ByKey {
		return nil
	}
	units := make([]routing.Unit, 0, int(s.model.HashSlots)+len(s.ranges))
	for slot := uint32(0); slot < s.model.HashSlots; slot++ {
		units = append(units, routing.Unit{Service: name, Kind: routing.SlotUnit, Slot: slot})
	}
	return append(units, c.RangeUnits(name)...)
}

// RangeUnits returns the units of a service's ranges in order of From, or nil if the service
// is not divided by key.
func (c *Compiled) RangeUnits(name string) []routing.Unit {
	s := c.services[name]
	if s == nil || s.model.Division != model.ByKey {
		return nil
	}
	units := make([]routing.Unit, 0, len(s.ranges))
	for _, r := range s.ranges {
		units = append(units, routing.Unit{Service: name, Kind: routing.RangeUnit, Range: r.model.Name})
	}
	return units
}

// Model returns the compiled model; it must not be changed.
func (c *Compiled) Model() *model.Model { return c.model }

// Service returns the service with the name, or nil if there is none.
func (c *Compiled) Service(name string) *model.Service {
	if s := c.services[name]; s != nil {
		return s.model
	}
	return nil
}

// Target returns the target with the name, or nil if there is none.
func (c *Compiled) Target(name string) *model.Target { return c.targets[name] }

// Caller returns the subject of the caller with the name. It has no labels if the model does
// not contain the caller.
func (c *Compiled) Caller(name string) Subject {
	if known := c.callers[name]; known != nil {
		return Subject{Name: name, Labels: known.Labels}
	}
	return Subject{Name: name}
}

// Weight returns a caller's share relative to other callers, or 1 if the model does not
// contain the caller.
func (c *Compiled) Weight(name string) float64 {
	if known := c.callers[name]; known != nil {
		return known.Weight
	}
	return 1
}
