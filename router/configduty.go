package router

import (
	"context"
	"time"

	"tarragongw/confstore"
	"tarragongw/core/model"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/kv"
)

// pauseAfterFailure spaces the attempts to reach the store. It is short because
// the platform budget already spreads a router's calls after failures.
const pauseAfterFailure = 100 * time.Millisecond

// configDuty puts configurations in force, one at a time, and never an older one
// than is in force already.
type configDuty struct {
	r    *Router
	duty *duty.Duty
	// read is the last record that came from the store or another router; the duty of
	// records alone uses it.
	read *confstore.State
}

// applyModel asks the duty to put a model in force.
type applyModel struct {
	model  *model.Model
	author string
	// done is closed once the model, or a newer one, is in force; it may be nil.
	done chan struct{}
}

func newConfigDuty(r *Router) *configDuty { return &configDuty{r: r} }

func (c *configDuty) start() {
	c.duty = c.r.startDuty(false, c.handle)
}

func (c *configDuty) handle(message any) {
	if m, ok := message.(*applyModel); ok {
		c.apply(m)
	}
}

// apply puts a model in force unless a newer or equal one is.
func (c *configDuty) apply(m *applyModel) {
	if m.done != nil {
		defer close(m.done)
	}
	old := c.r.view.Load()
	if m.model.Revision <= old.revision() {
		return
	}
	next, err := newView(m.model, old, time.Now())
	if err != nil {
		c.r.journal.Record(eventlog.Event{Kind: eventlog.ConfigRefused, Cause: err.Error(), Router: c.r.self.Name})
		return
	}
	gone, anew := c.r.upstreams.configure(next)
	c.r.history.Add(m.model)
	c.r.caller.SetModel(m.model)
	c.r.settleGates(anew)
	c.r.owner.configured(next)
	c.r.members.inForce(m.model.Revision)
	c.r.journal.Record(eventlog.Event{
		Kind:   eventlog.ConfigApplied,
		Cause:  "a newer revision was accepted",
		Router: c.r.self.Name,
		Fields: []eventlog.Field{eventlog.F("revision", uintText(m.model.Revision)), eventlog.F("author", m.author)},
	})
	for _, u := range gone {
		c.r.run(func() { c.retire(u) })
	}
}

// retire closes an upstream that is no longer configured once nobody uses it, so that
// a change of configuration cuts off nothing in flight.
func (c *configDuty) retire(u *upstream) {
	limit := time.NewTimer(c.r.opts.Settings.Drain.Limit)
	defer limit.Stop()
	every := time.NewTicker(retireCheckEvery)
	defer every.Stop()
	for !u.end() {
		select {
		case <-every.C:
		case <-limit.C:
			u.close()
			return
		case <-c.r.lifetime.Done():
			u.close()
			return
		}
	}
	u.close()
}

const retireCheckEvery = 50 * time.Millisecond

// learn hands a model that was written or received to the duty and waits until it
// is in force here.
func (c *configDuty) learn(ctx context.Context, state *confstore.State) {
	done := make(chan struct{})
	c.duty.Tell(&applyModel{model: state.Model, author: state.Author, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// learnRecord decodes a record from the store and hands it to the duty. What it has in
// common with the one before is not decoded again.
func (c *configDuty) learnRecord(key string, revision uint64, value []byte) {
	if key != confstore.Key {
		return
	}
	state, err := confstore.DecodeAfter(c.read, kv.Record{Key: key, Revision: kv.Revision(revision), Value: value})
	if err != nil {
		c.r.journal.Record(eventlog.Event{Kind: eventlog.ConfigRefused, Cause: err.Error(), Router: c.r.self.Name})
		return
	}
	c.read = state
	c.duty.Tell(&applyModel{model: state.Model, author: state.Author})
}
