package router

import (
	"math/rand/v2"

	"tarragongw/core/balance"
	"tarragongw/core/model"
	"tarragongw/core/request"
)

// globalSource is the process's random source, which is safe for concurrent use
// and takes no lock.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

var choiceRandom = rand.New(globalSource{})

// choose returns the better of two targets drawn by weight, from this data centre
// where it has any that take work. It avoids the one that a former attempt of the
// same request went to, where there is another.
func (r *Router) choose(v *view, names []string, x *exchange) (string, bool) {
	avoid := x.last.owner.Target
	for _, near := range []bool{true, false} {
		candidates := r.candidates(v, names, near, x.meta.Class)
		if i := pick(candidates, avoid); i >= 0 {
			return candidates[i].Name, true
		}
	}
	return r.lastResort(v, names)
}

// pick draws from all but the avoided candidate, else takes that one.
func pick(candidates []balance.Candidate, avoid string) int {
	for i := range candidates {
		if candidates[i].Name != avoid || avoid == "" {
			continue
		}
		kept := candidates[i].Weight
		candidates[i].Weight = 0
		if found := balance.PowerOfTwo(candidates, choiceRandom); found >= 0 {
			return found
		}
		candidates[i].Weight = kept
	}
	return balance.PowerOfTwo(candidates, choiceRandom)
}

// candidates are the targets that may take work, only those of this data centre
// where near is set.
func (r *Router) candidates(v *view, names []string, near bool, class request.Class) []balance.Candidate {
	out := make([]balance.Candidate, 0, len(names))
	judged, living := *r.health.now.Load(), r.upstreams.all()
	for _, name := range names {
		spec := v.compiled.Target(name)
		if !r.takesWork(spec) || (near && spec.DataCentre != r.self.DataCentre) || r.isolation.refuses(spec.DataCentre) {
			continue
		}
		weight := 1.0
		if verdict, known := judged[name]; known {
			weight = verdict.weight
		}
		if weight <= 0 {
			continue
		}
		candidate := balance.Candidate{Name: name, Weight: weight}
		if u := living[name]; u != nil {
			candidate.InFlight = int(u.meter(class).inFlight.Load())
			candidate.Latency = u.meter(class).mean()
		}
		out = append(out, candidate)
	}
	return out
}

// takesWork reports whether a target is configured to take work and can be reached.
func (r *Router) takesWork(spec *model.Target) bool {
	if spec == nil || spec.Drain || r.lost.has(spec.Name) {
		return false
	}
	return r.table.Load().Grantor(spec.Name).Router != ""
}

// lastResort returns any target that takes work where all are ejected: refusing
// everything would be worse than a target that fails a part.
func (r *Router) lastResort(v *view, names []string) (string, bool) {
	first := rand.IntN(max(len(names), 1))
	for i := range names {
		name := names[(first+i)%len(names)]
		if r.takesWork(v.compiled.Target(name)) {
			return name, true
		}
	}
	return "", false
}
