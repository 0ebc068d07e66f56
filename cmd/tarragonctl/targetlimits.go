package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"tarragongw/operator"
)

func targetLimitsCommand() *cli.Command {
	return &cli.Command{
		Name:  "limits",
		Usage: "list the limits that targets state, and which leave or want no requests from the router for a while, with serve only: --router is the address of the router's metrics",
		Action: func(ctx context.Context, c *cli.Command) error {
			reply, err := client(c).TargetLimits(ctx)
			if err != nil {
				return err
			}
			return show(c, reply, showTargetLimits)
		},
	}
}

func showTargetLimits(out io.Writer, all *operator.TargetLimits) {
	for _, t := range all.Leaving {
		fmt.Fprintf(out, "%s leaves, as it states itself; known for %v.\n", t.Target, millis(t.KnownMillis))
	}
	for _, rest := range all.Rests {
		fmt.Fprintf(out, "%s of %s wants no requests from %s for %v; asked %d times.\n", rest.Target, rest.Service, all.Router, millis(rest.LeftMillis), rest.Asked)
	}
	if len(all.Limits) == 0 {
		fmt.Fprintf(out, "No target states a limit, as %s knows.\n", all.Router)
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TARGET\tSERVICE\tREQUESTS A SECOND, FROM ALL ROUTERS")
	for _, limit := range all.Limits {
		fmt.Fprintf(w, "%s\t%s\t%g\n", limit.Target, limit.Service, limit.PerSecond)
	}
	// The output is the terminal; there is nowhere else to report an error to.
	_ = w.Flush()
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
