package router

import (
	"sync"

	"tarragongw/caller"
	"tarragongw/core/fault"
	"tarragongw/core/request"
	"tarragongw/eventlog"
	"tarragongw/telemetry"
)

// observer turns the outcome of each request into metrics and, where it was
// refused or failed, into what explain finds by its id.
type observer struct{ r *Router }

// Observe implements caller.Observer.
func (o *observer) Observe(out *caller.Outcome) {
	if o.r.opts.Unrecorded {
		return
	}
	code, ran := telemetry.CodeOK, fault.RanFully
	if out.Fault != nil {
		code, ran = out.Fault.Kind.String(), out.Fault.Ran
	}
	o.r.tel.RecordRequest(out.Meta.Service, out.Meta.Caller, out.Meta.Class, code, ran, out.Duration)
	if out.Fault == nil {
		return
	}
	last := lastAttempt(out.Meta)
	o.r.journal.RecordRequest(eventlog.Request{
		ID:       out.Meta.ID,
		Unit:     last.Unit,
		Target:   last.Target,
		Attempts: last.Number,
		Trail:    trail(out.Meta),
		Service:  out.Meta.Service,
		Caller:   out.Meta.Caller,
		Class:    out.Meta.Class.String(),
		Router:   o.r.self.Name,
		Code:     code,
		Ran:      ran.String(),
		Cause:    out.Fault.Detail,
		Elapsed:  out.Duration,
		Revision: o.r.view.Load().revision(),
	})
}

func lastAttempt(meta *request.Meta) request.Attempt {
	if len(meta.Attempts) == 0 {
		return request.Attempt{}
	}
	return meta.Attempts[len(meta.Attempts)-1]
}

// trail words the attempts for the journal.
func trail(meta *request.Meta) []eventlog.Attempt {
	out := make([]eventlog.Attempt, 0, len(meta.Attempts))
	for i := range meta.Attempts {
		a := &meta.Attempts[i]
		out = append(out, eventlog.Attempt{
			Number: a.Number, After: a.After, Took: a.Took, Unit: a.Unit, Target: a.Target, Router: a.Router,
			Code: a.Fault.Kind.String(), Ran: a.Fault.Ran.String(), Cause: a.Fault.Detail,
		})
	}
	return out
}

// nameSet is a set of names for concurrent use.
type nameSet struct{ names sync.Map }

func (s *nameSet) set(name string, on bool) {
	if on {
		s.names.Store(name, struct{}{})
		return
	}
	s.names.Delete(name)
}

func (s *nameSet) has(name string) bool {
	_, ok := s.names.Load(name)
	return ok
}
