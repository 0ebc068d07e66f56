package selector

import "tarragongw/core/model"

// Recompile returns the same result as Compile, but shares with old the tables of services
// that the change from old's model to m does not affect; old may be nil. It validates only
// the objects that the change affects. If one of them has a problem, or if the change removes a
// service, which unchanged objects may refer to, it calls Compile for the whole model.
func Recompile(old *Compiled, m *model.Model) (*Compiled, []model.Problem) {
	if old == nil {
		return Compile(m)
	}
	d := model.Compare(old.model, m)
	x := newIndex(m, d.ChangedServices)
	if d.ServiceRemoved || len(model.ValidateDifference(m, d)) > 0 || len(x.rangeProblems()) > 0 || len(x.selectorProblems()) > 0 {
		return Compile(m)
	}
	c := &Compiled{model: m, services: make(map[string]*service, len(m.Services)), callers: old.callers, targets: old.targets}
	if d.CallersChanged {
		c.callers = callersOf(m)
	}
	if d.TargetsChanged {
		c.targets = targetsByName(m)
	}
	for i := range m.Services {
		name := m.Services[i].Name
		c.services[name] = old.services[name]
		if d.ChangedServices[name] {
			c.services[name] = newService(x, &m.Services[i])
		}
	}
	return c, nil
}
