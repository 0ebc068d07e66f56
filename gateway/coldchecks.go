package gateway

import (
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

const (
	// maxColdChecks bounds the status checks in flight that ask targets whether they are cold.
	maxColdChecks = 16
	// coldBatch is for how long their answers are gathered, because each batch goes to all routers.
	coldBatch = 50 * time.Millisecond
)

// coldAnswer is what a target has answered about itself.
type coldAnswer struct {
	holder keyspace.Holder
	// coldFor is for how long it is still cold at a time; zero if it is not.
	coldFor time.Duration
	at      time.Time
}

// coldAnswers are those of some targets.
type coldAnswers []coldAnswer

// coldCheck is a target to be asked, and its status check.
type coldCheck struct {
	target directory.Target
	path   string
}

// assumeCold has the targets of a data centre, whose evacuation has ended by what is known now, count as cold: they may have
// become so without a request that would have shown it. A leader asks them, and tells its followers; others wait for that or
// for the time to end.
func (cs *clusterState) assumeCold(dataCentre string) {
	if cs.config == nil {
		return
	}
	cs.directory.AssumeCold(time.Now(), dataCentre, cs.evacuations.Revision(), func(service string) time.Duration {
		if spec := cs.config.Service(service); spec != nil {
			return spec.Warmup
		}
		return 0
	})
	if !cs.g.subscription.leads() {
		return
	}
	var checks []coldCheck
	for _, t := range cs.directory.Targets() {
		if spec := cs.config.Service(t.Service); t.DataCentre == dataCentre && spec != nil && spec.Warmup > 0 && spec.HealthPath != "" {
			checks = append(checks, coldCheck{t, spec.HealthPath})
		}
	}
	cs.g.goRun(func() { cs.g.askWhetherCold(checks) })
}

// askWhetherCold asks targets whether they are cold, and tells the state duty what they answer.
func (g *Gateway) askWhetherCold(checks []coldCheck) {
	pending, answers := make(chan coldCheck), make(chan *coldAnswer)
	for range min(maxColdChecks, len(checks)) {
		g.goRun(func() {
			for c := range pending {
				answers <- g.askOneWhetherCold(&c)
			}
		})
	}
	g.goRun(func() {
		defer close(pending)
		for _, c := range checks {
			pending <- c
		}
	})
	var batch coldAnswers
	sent := time.Now()
	for range checks {
		if a := <-answers; a != nil {
			batch = append(batch, *a)
		}
		if time.Since(sent) >= coldBatch && len(batch) > 0 {
			g.state.duty.Tell(batch)
			batch, sent = nil, time.Now()
		}
	}
	if len(batch) > 0 {
		g.state.duty.Tell(batch)
	}
}

// askOneWhetherCold returns what a target answers; nil if it doesn't.
func (g *Gateway) askOneWhetherCold(c *coldCheck) *coldAnswer {
	if g.lifetime.Err() != nil || g.rests.check(&c.target) != nil {
		return nil
	}
	coldFor, err := g.opts.Adapter.Warmup(g.lifetime, &c.target, c.path)
	if err != nil {
		g.log.Info("target did not say whether it is cold", "target", c.target.ID, "service", c.target.Service, "err", err)
		return nil
	}
	return &coldAnswer{c.target.Holder(), coldFor, time.Now()}
}

// useColdAnswers records what targets have answered.
func (cs *clusterState) useColdAnswers(all coldAnswers) {
	cold := 0
	for _, a := range all {
		cs.directory.SetCold(a.at, a.holder, a.coldFor)
		if a.coldFor > 0 {
			cold++
		}
	}
	cs.g.log.Info("targets asked whether they are cold", "answers", len(all), "cold", cold)
	cs.publishTargets(true)
}
