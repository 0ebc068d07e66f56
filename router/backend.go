package router

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"tarragongw/config"
	"tarragongw/confstore"
	"tarragongw/core/model"
	"tarragongw/eventlog"
	"tarragongw/kv"
	"tarragongw/operator"
)

const (
	// operatorHeaderTimeout bounds the arrival of an operators' request header, and
	// operatorHeaderBytes its size.
	operatorHeaderTimeout = 10 * time.Second
	operatorHeaderBytes   = 64 << 10
	// operatorIdleTimeout closes a connection of operators that rested for this time.
	operatorIdleTimeout = 2 * time.Minute
)

// backend offers the router to operators.
type backend struct{ r *Router }

// Config implements operator.Backend. Where the store is down it returns what is
// in force here.
func (b *backend) Config(ctx context.Context) (*operator.Config, error) {
	state, err := b.r.editor.Load(ctx)
	if err == nil {
		return encodeConfig(state.Model)
	}
	if v := b.r.view.Load(); v != nil {
		return encodeConfig(v.model())
	}
	return nil, operatorError(err)
}

func encodeConfig(m *model.Model) (*operator.Config, error) {
	data, err := config.Encode(m)
	if err != nil {
		return nil, operator.Errorf(operator.CodeInternal, "%v", err)
	}
	return &operator.Config{Revision: m.Revision, Model: data}, nil
}

// Apply implements operator.Backend.
func (b *backend) Apply(ctx context.Context, req *operator.ApplyRequest) (*operator.ApplyReply, error) {
	mine, err := config.Decode(req.Model)
	if err != nil {
		return nil, operatorError(err)
	}
	result, err := b.r.editor.Replace(ctx, req.Base, mine, req.Author, req.DryRun)
	return b.finish(ctx, result, err, req.DryRun)
}

// Drain implements operator.Backend.
func (b *backend) Drain(ctx context.Context, req *operator.DrainRequest) (*operator.ApplyReply, error) {
	result, err := b.r.editor.Change(ctx, req.Author, false, func(present *model.Model) (*model.Model, error) {
		return withDrain(present, req.Target, !req.Undo)
	})
	return b.finish(ctx, result, err, false)
}

func withDrain(present *model.Model, name string, drain bool) (*model.Model, error) {
	if present.Target(name) == nil {
		return nil, operator.Errorf(operator.CodeNotFound, "no target is named %q", name)
	}
	next := *present
	next.Targets = append([]model.Target(nil), present.Targets...)
	next.Target(name).Drain = drain
	return &next, nil
}

// finish puts an accepted change in force here and words the reply.
func (b *backend) finish(ctx context.Context, result *confstore.Result, err error, dryRun bool) (*operator.ApplyReply, error) {
	if err != nil {
		return nil, operatorError(err)
	}
	reply := &operator.ApplyReply{Revision: result.State.Revision(), Merged: result.Merged, Changes: []string{}}
	for _, c := range result.Changes {
		reply.Changes = append(reply.Changes, describeChange(&c))
	}
	if len(result.Changes) == 0 {
		reply.Revision--
		return reply, nil
	}
	if dryRun {
		return reply, nil
	}
	b.r.journal.Record(changedEvent(b.r.self.Name, result.State.Author, reply))
	if result.State.Stored > 0 {
		b.r.records.wrote(confstore.Key, uint64(result.State.Stored), result.State.Value)
	}
	b.r.config.learn(ctx, result.State)
	return reply, nil
}

// maxChangesNamed bounds the changes that the event about them names.
const maxChangesNamed = 4

func changedEvent(router, author string, reply *operator.ApplyReply) eventlog.Event {
	e := eventlog.Event{
		Kind:   eventlog.ConfigChanged,
		Cause:  "an operator's change was accepted",
		Router: router,
		Fields: []eventlog.Field{
			eventlog.F("revision", uintText(reply.Revision)),
			eventlog.F("author", author),
			eventlog.F("changes", fmt.Sprint(len(reply.Changes))),
		},
	}
	for _, change := range reply.Changes[:min(len(reply.Changes), maxChangesNamed)] {
		e.Fields = append(e.Fields, eventlog.F("change", change))
	}
	return e
}

func describeChange(c *config.Change) string {
	text := fmt.Sprintf("%s %s", c.Kind, c.Object)
	if c.Kind != config.Changed {
		return text
	}
	for i, f := range c.Fields {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		text += fmt.Sprintf("%s%s %s -> %s", separator, f.Field, f.Old, f.New)
	}
	return text
}

// operatorError maps an error to the closed list of operators' errors.
func operatorError(err error) error {
	var known *operator.Error
	if errors.As(err, &known) {
		return known
	}
	var conflict *confstore.ConflictError
	if errors.As(err, &conflict) {
		return conflictError(conflict)
	}
	var invalid config.Errors
	if errors.As(err, &invalid) {
		e := operator.Errorf(operator.CodeInvalid, "the configuration is refused; nothing was changed")
		for _, problem := range invalid {
			e.Problems = append(e.Problems, problem.Error())
		}
		return e
	}
	switch {
	case errors.Is(err, confstore.ErrBaseForgotten), errors.Is(err, confstore.ErrRaces):
		return operator.Errorf(operator.CodeConflict, "%v", err)
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrOverBudget):
		return operator.Errorf(operator.CodeUnavailable, "the store is not reached; nothing was changed: %v", err)
	case errors.Is(err, kv.ErrUnknown):
		return operator.Errorf(operator.CodeUnknown, "the store's reply was lost; look at the present configuration before trying again")
	case errors.Is(err, kv.ErrTooLarge):
		return operator.Errorf(operator.CodeInvalid, "the configuration exceeds what the store holds")
	}
	return operator.Errorf(operator.CodeInternal, "%v", err)
}

func conflictError(conflict *confstore.ConflictError) error {
	e := operator.Errorf(operator.CodeConflict, "%v; nothing was changed", conflict)
	for _, c := range conflict.Conflicts {
		e.Conflicts = append(e.Conflicts, operator.Conflict{Object: c.String(), Theirs: c.Theirs, Mine: c.Mine})
	}
	return e
}

// ExplainRequest implements operator.Backend.
func (b *backend) ExplainRequest(_ context.Context, id string) (*operator.RequestExplanation, error) {
	found, ok := b.r.journal.Request(id)
	if !ok {
		return nil, operator.Errorf(operator.CodeNotFound,
			"this router keeps no refused or failed request with the id %q; ask the router that answered it, or its memory was outrun", id)
	}
	return &operator.RequestExplanation{ID: id, Request: found}, nil
}
