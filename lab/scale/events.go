package main

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"tarragongw/clock"
	"tarragongw/eventlog"
)

// event is what a router recorded in its journal, with the time since the VM's
// start, which all processes share.
type event struct {
	At   time.Duration
	By   string
	Kind eventlog.Kind
	// Router is whom a loss concerns, Revision what was put in force.
	Router   string
	Revision uint64
}

// events collects those that are measured.
type events struct {
	lock sync.Mutex
	list []event
}

func (e *events) take() []event {
	e.lock.Lock()
	defer e.lock.Unlock()
	list := e.list
	e.list = nil
	return list
}

func (e *events) logger(router string) *slog.Logger {
	return slog.New(&collector{events: e, router: router})
}

// collector is a log handler that keeps a router's events and drops the rest.
type collector struct {
	events *events
	router string
}

// Enabled implements slog.Handler.
func (c *collector) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

// WithAttrs implements slog.Handler.
func (c *collector) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup implements slog.Handler.
func (c *collector) WithGroup(string) slog.Handler { return c }

// Handle implements slog.Handler.
func (c *collector) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "event" {
		return nil
	}
	e := event{At: clock.Boot{}.Now(), By: c.router}
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "kind":
			e.Kind = eventlog.Kind(a.Value.String())
		case "router":
			e.Router = a.Value.String()
		case "revision":
			// Only numbers are written there; anything else would show as a change that is
			// in force nowhere.
			e.Revision, _ = strconv.ParseUint(a.Value.String(), 10, 64)
		}
		return true
	})
	if e.Kind != eventlog.ConfigApplied && e.Kind != eventlog.MemberLost {
		return nil
	}
	c.events.lock.Lock()
	defer c.events.lock.Unlock()
	c.events.list = append(c.events.list, e)
	return nil
}
