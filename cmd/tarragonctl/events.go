package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"tarragongw/eventlog"
	"tarragongw/operator"
)

// followEvery is the interval at which events --follow asks again.
const followEvery = time.Second

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "what a router did and why",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "since", Value: time.Minute, Usage: "how far back, as a `TIME` such as 5m"},
			&cli.BoolFlag{Name: "follow", Usage: "go on until interrupted, also while the router restarts; as JSON one event a line"},
			&cli.StringFlag{Name: flagOf, Usage: "`NAME` of another router, which the one asked passes the call on to"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			page, err := clientOf(c).EventPage(ctx, c.Duration("since"))
			if err != nil {
				return err
			}
			if !c.Bool("follow") {
				return show(c, page.Events, showEvents)
			}
			return follow(ctx, c, page)
		},
	}
}

// follow prints the page and what follows, each event once, until ctx ends. A router
// that doesn't answer is asked again: it may be restarting, and to end then would
// leave out just the events that one wants to see.
func follow(ctx context.Context, c *cli.Command, page *operator.EventPage) error {
	f := &follower{c: c, page: page}
	if err := f.print(page.Events); err != nil {
		return err
	}
	for {
		select {
		case <-time.After(followEvery):
		case <-ctx.Done():
			return nil
		}
		next, err := clientOf(c).EventsAfter(ctx, f.page)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.silent(err)
			continue
		}
		if err := f.take(next); err != nil {
			return err
		}
	}
}

// follower is what was printed up to now.
type follower struct {
	c    *cli.Command
	page *operator.EventPage
	// lost says that the router didn't answer the last time.
	lost bool
}

func (f *follower) silent(err error) {
	if !f.lost {
		f.note("%v; asking again", err)
	}
	f.lost = true
}

// take prints what is new and says what is missing.
func (f *follower) take(next *operator.EventPage) error {
	restarted := next.Life != f.page.Life
	switch {
	case restarted:
		f.note("router %s was restarted; events that it recorded after the last one above are lost with its memory", next.Router)
	case f.lost:
		f.note("router %s answers again", next.Router)
	}
	if next.Missed > 0 {
		f.note("%d events came faster than they could be read", next.Missed)
	}
	f.page, f.lost = next, false
	return f.print(next.Events)
}

// note tells of the stream itself, apart from the events.
func (f *follower) note(format string, args ...any) {
	fmt.Fprintf(f.c.Root().ErrWriter, "tarragonctl: "+format+"\n", args...)
}

func (f *follower) print(events []eventlog.Event) error {
	out := f.c.Root().Writer
	if f.c.String(flagOutput) != outputJSON {
		showEvents(out, events)
		return nil
	}
	encoder := json.NewEncoder(out)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return err
		}
	}
	return nil
}

func showEvents(out io.Writer, events []eventlog.Event) {
	for _, e := range events {
		fmt.Fprintf(out, "%s %s", e.Time.Format("15:04:05.000"), e.Kind)
		for _, f := range []eventlog.Field{
			{Key: "service", Value: e.Service}, {Key: "unit", Value: e.Unit}, {Key: "target", Value: e.Target},
			{Key: "router", Value: e.Router}, {Key: "caller", Value: e.Caller},
		} {
			if f.Value != "" {
				fmt.Fprintf(out, " %s=%s", f.Key, f.Value)
			}
		}
		for _, f := range e.Fields {
			fmt.Fprintf(out, " %s=%s", f.Key, f.Value)
		}
		fmt.Fprintf(out, " (%s)\n", e.Cause)
	}
}
