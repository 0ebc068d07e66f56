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

// followInterval is the interval at which events --follow polls the router.
const followInterval = time.Second

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
			page, err := clientForRouter(c).EventPage(ctx, c.Duration("since"))
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

// follow prints the events of the page and all later ones, each event once, until ctx
// ends. A router that doesn't answer is polled again: it may be restarting, and events
// around a restart are the ones that an operator wants to see.
func follow(ctx context.Context, c *cli.Command, page *operator.EventPage) error {
	f := &follower{c: c, page: page}
	if err := f.print(page.Events); err != nil {
		return err
	}
	for {
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return nil
		}
		next, err := clientForRouter(c).EventsAfter(ctx, f.page)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.reportFailure(err)
			continue
		}
		if err := f.advance(next); err != nil {
			return err
		}
	}
}

// follower holds the state of events --follow between two polls.
type follower struct {
	c *cli.Command
	// page is the last page that was printed.
	page *operator.EventPage
	// unreachable is set if the last poll failed.
	unreachable bool
}

// reportFailure prints a note on the first of several failed polls in a row.
func (f *follower) reportFailure(err error) {
	if !f.unreachable {
		f.note("%v; trying again", err)
	}
	f.unreachable = true
}

// advance prints the new events, with notes about a restart and about missed events.
func (f *follower) advance(next *operator.EventPage) error {
	restarted := next.Life != f.page.Life
	switch {
	case restarted:
		f.note("router %s was restarted; events that it recorded after the last one above are lost with its memory", next.Router)
	case f.unreachable:
		f.note("router %s answers again", next.Router)
	}
	if next.Missed > 0 {
		f.note("%d events came faster than they could be read", next.Missed)
	}
	f.page, f.unreachable = next, false
	return f.print(next.Events)
}

// note prints a message about the stream to the error output, apart from the events.
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
