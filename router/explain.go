package router

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"tarragongw/core/health"
	"tarragongw/core/membership"
	"tarragongw/core/model"
	"tarragongw/core/ownership"
	"tarragongw/core/routing"
	"tarragongw/core/selector"
	"tarragongw/eventlog"
	"tarragongw/operator"
)

// explainEvents bounds the events shown with an explanation.
const explainEvents = 20

// ExplainKey implements operator.Backend.
func (b *backend) ExplainKey(_ context.Context, service, key string) (*operator.KeyExplanation, error) {
	v, err := b.viewInForce()
	if err != nil {
		return nil, err
	}
	spec := v.compiled.Service(service)
	if spec == nil {
		return nil, operator.Errorf(operator.CodeNotFound, "no service is named %q", service)
	}
	if spec.Division != model.ByKey {
		return nil, operator.Errorf(operator.CodeInvalid, "service %q is not divided by key: every eligible target serves every key", service)
	}
	if key == "" {
		return nil, operator.Errorf(operator.CodeInvalid, "the key is empty")
	}
	unit := v.compiled.UnitOf(service, key)
	owner, grantor := b.r.table.Load().Lookup(unit)
	nobody := v.compiled.Caller("")
	decision := v.compiled.Route(service, key, &nobody)
	e := &operator.KeyExplanation{
		Service:  service,
		Key:      key,
		Unit:     unit.String(),
		Target:   owner.Target,
		Token:    owner.Token,
		State:    ownerState(owner),
		Grantor:  grantor.Router,
		Term:     grantor.Term,
		Revision: v.revision(),
		Eligible: v.compiled.Eligible(unit),
		Selector: decision.Selector,
		Events:   b.r.journal.Events(0, eventlog.Filter{Unit: unit.String(), Limit: explainEvents}).Events,
	}
	for _, f := range b.r.table.Load().Formers(owner.Target) {
		if f.Units.Contains(unit) {
			e.FormerGrantors = append(e.FormerGrantors, f.Router.Name)
		}
	}
	e.Because = b.because(v, e, unit, &decision)
	return e, nil
}

func ownerState(owner routing.Owner) string {
	switch {
	case owner.Target == "":
		return "unowned"
	case owner.Releasing:
		return "releasing"
	default:
		return "owned"
	}
}

// because words the reasons in order.
func (b *backend) because(v *view, e *operator.KeyExplanation, unit routing.Unit, d *selector.Decision) []string {
	var out []string
	if unit.Kind == routing.RangeUnit {
		out = append(out, fmt.Sprintf("The key lies in the range %q, which moves as a whole.", unit.Range))
	} else {
		slots := v.compiled.Service(e.Service).HashSlots
		out = append(out, fmt.Sprintf("The key's hash falls into slot %d of %d.", unit.Slot, slots))
	}
	if d.Selector != "" {
		out = append(out, fmt.Sprintf("Selector %q decides for callers without labels.", d.Selector))
	}
	out = append(out, fmt.Sprintf("%d targets are eligible.", len(e.Eligible)))
	if e.Target == "" {
		return append(out, "No target owns the unit yet.")
	}
	out = append(out, fmt.Sprintf("Target %q owns the unit under token %d.", e.Target, e.Token))
	if e.Grantor == "" {
		return append(out, "No router is the target's grantor now; requests wait or are refused as not run.")
	}
	out = append(out, fmt.Sprintf("Router %q is the target's grantor under term %d; all requests go through it.", e.Grantor, e.Term))
	for _, name := range e.FormerGrantors {
		out = append(out, fmt.Sprintf("Router %q handed the target over with requests begun on the unit; it does not move before these have ended.", name))
	}
	return out
}

func (b *backend) viewInForce() (*view, error) {
	v := b.r.view.Load()
	if v == nil {
		return nil, operator.Errorf(operator.CodeUnavailable, "this router has no configuration yet")
	}
	return v, nil
}

// ExplainTarget implements operator.Backend.
func (b *backend) ExplainTarget(_ context.Context, name string) (*operator.TargetExplanation, error) {
	v, err := b.viewInForce()
	if err != nil {
		return nil, err
	}
	spec := v.compiled.Target(name)
	if spec == nil {
		return nil, operator.Errorf(operator.CodeNotFound, "no target is named %q", name)
	}
	table := b.r.table.Load()
	grantor := table.Grantor(name)
	e := &operator.TargetExplanation{
		Target:     name,
		Service:    spec.Service,
		DataCentre: spec.DataCentre,
		Address:    spec.Address,
		Grantor:    grantor.Router,
		Term:       grantor.Term,
		Successors: successors(table, name),

		FormerGrantors: formerGrantors(table, name),
		Units:          ownedUnits(v, b.r, spec),
		Health:         b.health(name),
		Draining:       spec.Drain,
		Slots:          spec.Slots,
		Events:         b.r.journal.Events(0, eventlog.Filter{Target: name, Limit: explainEvents}).Events,
	}
	if u := b.r.upstreams.settled(name); u != nil {
		stats := u.gate.Stats()
		e.InFlight = u.flights.count()
		e.Queued = stats.QueuedInteractive + stats.QueuedBatch
	}
	return e, nil
}

func successors(table *ownership.Table, target string) []string {
	names := []string{}
	for i, r := range table.Routers(target) {
		if i > 0 {
			names = append(names, r.Name)
		}
	}
	return names
}

func formerGrantors(table *ownership.Table, target string) []string {
	var names []string
	for _, f := range table.Formers(target) {
		names = append(names, f.Router.Name)
	}
	return names
}

func ownedUnits(v *view, r *Router, spec *model.Target) int {
	table := r.table.Load()
	var n int
	for _, unit := range v.compiled.Units(spec.Service) {
		if owner, _ := table.Lookup(unit); owner.Target == spec.Name {
			n++
		}
	}
	return n
}

func (b *backend) health(name string) string {
	if b.r.lost.has(name) {
		return "lost"
	}
	if judged, known := (*b.r.health.now.Load())[name]; known {
		return judged.state.String()
	}
	return health.Healthy.String()
}

// Revisions implements operator.Backend.
func (b *backend) Revisions(ctx context.Context, all bool) ([]operator.RouterRevision, error) {
	v := b.r.view.Load()
	own := operator.RouterRevision{Router: b.r.self.Name, DataCentre: b.r.self.DataCentre, State: membership.Alive.String(), Revision: v.revision()}
	if v != nil {
		own.Since = v.since
	}
	out := []operator.RouterRevision{own}
	if !all {
		return out, nil
	}
	now := time.Now()
	for name, row := range b.r.records.askAll(ctx) {
		if name == b.r.self.Name {
			continue
		}
		out = append(out, operator.RouterRevision{
			Router:     name,
			DataCentre: row.DataCentre,
			State:      row.State,
			Revision:   row.Revision,
			Since:      now.Add(-row.Age),
			Silent:     !ownReport(&row),
		})
	}
	slices.SortFunc(out, func(a, b operator.RouterRevision) int { return strings.Compare(a.Router, b.Router) })
	return out, nil
}
