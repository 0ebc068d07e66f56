package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/operator"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "read the configuration or the revisions in force",
		Commands: []*cli.Command{
			getConfigCommand(),
			{
				Name:  "revision",
				Usage: "print the revision in force",
				Flags: []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "of every router"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					reply, err := client(c).Revisions(ctx, c.Bool("all"))
					if err != nil {
						return err
					}
					return show(c, reply, showRevisions)
				},
			},
		},
	}
}

func showRevisions(out io.Writer, revisions []operator.RouterRevision) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTER\tDATA CENTRE\tSTATE\tREVISION\tSINCE")
	for _, r := range revisions {
		state := r.State
		if r.Silent {
			state += ", did not answer"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", r.Router, r.DataCentre, state, r.Revision, r.Since.Format(time.RFC3339Nano))
	}
	// The output is the terminal; there is nowhere else to report an error to.
	_ = w.Flush()
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "explain the state of a key or target, or the failure of a request",
		Commands: []*cli.Command{
			{
				Name: "key", Usage: "who owns a key and why", ArgsUsage: "SERVICE KEY",
				Action: explainKey,
			},
			{
				Name: "request", Usage: "why a request was refused or failed", ArgsUsage: "ID",
				Action: explainRequest,
			},
			{
				Name: "target", Usage: "how a target stands", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagOf, Usage: "`NAME` of the router whose slots and queue are shown, such as the grantor"}},
				Action: explainTarget,
			},
		},
	}
}

func explainKey(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("give a service and a key: tarragonctl explain key SERVICE KEY")
	}
	reply, err := client(c).ExplainKey(ctx, c.Args().Get(0), c.Args().Get(1))
	if err != nil {
		return err
	}
	return show(c, reply, func(out io.Writer, e *operator.KeyExplanation) {
		fmt.Fprintf(out, "key %s of %s: unit %s, %s by %s\n", e.Key, e.Service, e.Unit, e.State, orNone(e.Target))
		for _, reason := range e.Because {
			fmt.Fprintln(out, " ", reason)
		}
		showEvents(out, e.Events)
	})
}

func explainTarget(ctx context.Context, c *cli.Command) error {
	name, err := argument(c, "NAME")
	if err != nil {
		return err
	}
	reply, err := clientForRouter(c).ExplainTarget(ctx, name)
	if err != nil {
		return err
	}
	return show(c, reply, func(out io.Writer, e *operator.TargetExplanation) {
		fmt.Fprintf(out, "target %s of %s in %s at %s: %s\n", e.Target, e.Service, e.DataCentre, e.Address, e.Health)
		fmt.Fprintf(out, "  grantor %s, term %d; successors %s\n", orNone(e.Grantor), e.Term, orNone(strings.Join(e.Successors, ", ")))
		if len(e.FormerGrantors) > 0 {
			fmt.Fprintf(out, "  requests begun before a hand-over by %s\n", strings.Join(e.FormerGrantors, ", "))
		}
		fmt.Fprintf(out, "  owns %d units; draining %t\n", e.Units, e.Draining)
		fmt.Fprintf(out, "  here: %d of %d slots in use, %d waiting\n", e.InFlight, e.Slots, e.Queued)
		showEvents(out, e.Events)
	})
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "what is wrong, what the system does about it and what you need to do",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagOf, Usage: "`NAME` of another router, which the one asked passes the call on to"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			reply, err := clientForRouter(c).Status(ctx)
			if err != nil {
				return err
			}
			return show(c, reply, showStatus)
		},
	}
}

func showStatus(out io.Writer, s *operator.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready"
	}
	fmt.Fprintf(out, "%s in %s: %s, revision %d since %s\n", s.Router, s.DataCentre, ready, s.Revision, s.Since.Format(time.RFC3339))
	fmt.Fprintln(out, "  store:", s.Store)
	for _, cause := range s.Causes {
		fmt.Fprintln(out, "  not ready:", cause)
	}
	for _, r := range s.Routers {
		fmt.Fprintln(out, "  router", r)
	}
	if len(s.Problems) == 0 {
		fmt.Fprintln(out, "Nothing is wrong that this router knows of.")
	}
	for _, p := range s.Problems {
		fmt.Fprintf(out, "PROBLEM %s%s\n  the system: %s\n  you: %s\n", p.What, sinceText(p.Since), p.Doing, p.Action)
	}
}

func sinceText(since time.Time) string {
	if since.IsZero() {
		return ""
	}
	return ", since " + since.Format(time.RFC3339)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
