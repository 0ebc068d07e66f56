package router

import (
	"context"
	"fmt"
	"strings"
	"time"

	"tarragongw/core/membership"
	"tarragongw/leasewrite"
	"tarragongw/operator"
)

// maxNamed bounds the objects that one problem names.
const maxNamed = 5

// Status implements operator.Backend.
func (b *backend) Status(_ context.Context) (*operator.Status, error) {
	v := b.r.view.Load()
	causes := b.r.admin.NotReadyCauses()
	status := &operator.Status{
		Router:     b.r.self.Name,
		DataCentre: b.r.self.DataCentre,
		Ready:      len(causes) == 0,
		Causes:     causes,
		Revision:   v.revision(),
		Store:      b.store(),
		Problems:   []operator.Problem{},
	}
	if v != nil {
		status.Since = v.since
	}
	b.addOutlived(status)
	b.addMembers(status)
	b.addUnserved(status)
	b.addIsolated(status)
	b.addLost(status, v)
	b.addHeld(status, v)
	b.addForeign(status, v)
	b.addKeys(status)
	b.addDatagrams(status)
	b.addSaturated(status)
	addWrites(status, leasewrite.Check(), leasewrite.Count().Unprotected)
	return status, nil
}

// store says what this router knows of the store.
func (b *backend) store() string {
	switch {
	case !b.r.records.watching.Load():
		return "watched by other routers of the data centre"
	case b.r.storeUp.Load():
		return "answers"
	default:
		return "does not answer"
	}
}

func (b *backend) addOutlived(status *operator.Status) {
	if b.r.outlived.Load() {
		status.Problems = append(status.Problems, operator.Problem{
			What:   errOutlived.Error(),
			Doing:  "it sends nothing to targets and is not ready; the other routers take its targets over",
			Action: outlivedAction,
		})
	}
}

func (b *backend) addSaturated(status *operator.Status) {
	delay, admitted, since := b.r.own.state()
	if since.IsZero() {
		return
	}
	status.Problems = append(status.Problems, operator.Problem{
		What:   fmt.Sprintf("work waits %s for this router's own processor", delay.Round(time.Millisecond)),
		Since:  since,
		Doing:  fmt.Sprintf("it takes %s of what comes and refuses the rest at once as router_busy, not run", percent(admitted)),
		Action: "add entry VMs or processors, or see what else runs on this one",
	})
}

// addWrites adds the cause for which writes are not protected, nil if they are, and how many were not.
func addWrites(status *operator.Status, cause error, unprotected int64) {
	if cause == nil {
		return
	}
	status.Problems = append(status.Problems, operator.Problem{
		What:   fmt.Sprintf("writes to targets are not protected against a suspension of this process, %d so far: %v", unprotected, cause),
		Doing:  "it checks the clock before each write; if it is suspended right after that, it may send one request late to a target that checks nothing",
		Action: "run it on Linux on amd64 or arm64, and let its seccomp filter pass rseq(2)",
	})
}

func (b *backend) addMembers(status *operator.Status) {
	members := b.r.members.view.Load()
	for _, dc := range members.DataCentres() {
		for _, m := range members.Members(dc) {
			status.Routers = append(status.Routers, fmt.Sprintf("%s %s %s", m.Name, dc, m.State))
			if m.State != membership.Alive && m.State != membership.Left {
				status.Problems = append(status.Problems, memberProblem(m))
			}
		}
	}
	if b.r.records.watching.Load() && !b.r.storeUp.Load() {
		status.Problems = append(status.Problems, operator.Problem{
			What:   "the store does not answer",
			Doing:  "routers go on serving what they own and refuse changes of configuration",
			Action: "see to the platform's store; nothing needs a restart afterwards",
		})
	}
}

func memberProblem(m membership.Status) operator.Problem {
	return operator.Problem{
		What:   fmt.Sprintf("router %s of %s is %s", m.Name, m.DataCentre, m.State),
		Doing:  "other routers of its data centre take its targets over",
		Action: "none, unless the platform does not replace the VM",
	}
}

func (b *backend) addUnserved(status *operator.Status) {
	s, since := b.r.surveyor.now()
	if n := s.unservedUnits(); n > 0 {
		status.Problems = append(status.Problems, operator.Problem{
			What:   fmt.Sprintf("%d of %d units of keys are not served", n, s.units),
			Since:  since,
			Doing:  "their requests wait briefly and are then refused as not run; the units get owners as soon as that is safe",
			Action: waitAction(since),
		})
	}
	if len(s.orphans) > 0 {
		status.Problems = append(status.Problems, operator.Problem{
			What:   fmt.Sprintf("%d targets have no grantor: %s", len(s.orphans), named(s.orphans)),
			Since:  since,
			Doing:  "the routers of their data centre take them over",
			Action: "see that each data centre with targets has a router that is alive",
		})
	}
}

// usualRepair is the time within which a loss is repaired without anybody's help.
const usualRepair = 10 * time.Second

func waitAction(since time.Time) string {
	if time.Since(since) < usualRepair {
		return "none yet; a loss is repaired within seconds"
	}
	return "look at `tarragonctl events` for unit_unserved and its cause; see that the service has targets that are alive"
}

func (b *backend) addIsolated(status *operator.Status) {
	for _, dc := range b.r.isolation.now() {
		status.Problems = append(status.Problems, operator.Problem{
			What:   fmt.Sprintf("data centre %s can't be reached from here; %d units of keys are owned there", dc.name, dc.units),
			Since:  dc.since,
			Doing:  "requests for these are refused here at once as not run; its own routers go on serving those who reach them",
			Action: "see to the network between the data centres; nothing needs a restart afterwards",
		})
	}
}

func (b *backend) addLost(status *operator.Status, v *view) {
	lost := targetsIn(v, b.r.lost.has)
	if len(lost) == 0 {
		return
	}
	status.Problems = append(status.Problems, operator.Problem{
		What:   fmt.Sprintf("%d targets do not answer: %s", len(lost), named(lost)),
		Doing:  "their keys are owned by other targets; they are tried again and taken back",
		Action: "see to these targets",
	})
}

// addHeld names the silent targets that are not given up.
func (b *backend) addHeld(status *operator.Status, v *view) {
	held := targetsIn(v, b.r.held.has)
	if len(held) == 0 {
		return
	}
	status.Problems = append(status.Problems, operator.Problem{
		What:   fmt.Sprintf("%d targets are silent to this router and are not declared lost: %s", len(held), named(held)),
		Doing:  "too many are silent at once, or the store is silent too: their keys stay until other routers say that they don't reach them either",
		Action: "see to the network between this router and its targets",
	})
}

// addForeign names the targets of other data centres that this router is grantor of.
func (b *backend) addForeign(status *operator.Status, v *view) {
	gate := b.r.gate.Load()
	foreign := targetsIn(v, func(name string) bool {
		return gate.Term(name) != 0 && v.compiled.Target(name).DataCentre != b.r.self.DataCentre
	})
	if len(foreign) == 0 {
		return
	}
	status.Problems = append(status.Problems, operator.Problem{
		What:   fmt.Sprintf("%d targets of other data centres have their grantor here: %s", len(foreign), named(foreign)),
		Doing:  "their data centre was cut off and their service yields; those that don't answer have lost their keys to targets of this data centre",
		Action: "see to their data centre; its routers ask for them 10 s after it is heard again",
	})
}

// targetsIn returns the names of the model's targets of which has holds, in the
// model's order; none without a view.
func targetsIn(v *view, has func(name string) bool) []string {
	if v == nil {
		return nil
	}
	var names []string
	for i := range v.model().Targets {
		if name := v.model().Targets[i].Name; has(name) {
			names = append(names, name)
		}
	}
	return names
}

func named(names []string) string {
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}
