package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"tarragongw/operator"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list the requests that are suspected of crashing targets; with serve, --router is the address of the metrics of any router",
		Action: func(ctx context.Context, c *cli.Command) error {
			reply, err := client(c).Quarantine(ctx)
			if err != nil {
				return err
			}
			return show(c, reply, showQuarantine)
		},
		Commands: []*cli.Command{releaseCommand()},
	}
}

func releaseCommand() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "have a refused request sent again, once it or the service is corrected; all routers know it within a second",
		ArgsUsage: "FINGERPRINT",
		Action: func(ctx context.Context, c *cli.Command) error {
			fingerprint, err := argument(c, "FINGERPRINT")
			if err != nil {
				return err
			}
			reply, err := client(c).Release(ctx, &operator.ReleaseRequest{Fingerprint: fingerprint, Author: c.String(flagAuthor)})
			if err != nil {
				return err
			}
			return show(c, reply, func(out io.Writer, r *operator.ReleaseReply) {
				fmt.Fprintf(out, "request %s is sent again\n", r.Fingerprint)
			})
		},
	}
}

func showQuarantine(out io.Writer, q *operator.Quarantine) {
	if len(q.Requests) == 0 {
		fmt.Fprintf(out, "No request is suspected of crashing targets, as far as %s knows.\n", q.Router)
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tSERVICE\tSTATE\tCRASHES\tTRIALS\tFIRST\tLAST\tTARGETS")
	for _, r := range q.Requests {
		state := "suspected"
		if r.Refused {
			state = "refused"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.Fingerprint, r.Service, state, r.Crashes, r.Trials,
			r.First.Format(time.RFC3339), r.Last.Format(time.RFC3339), strings.Join(r.Targets, ","))
	}
	// The output is the terminal; there is nowhere else to report an error to.
	_ = w.Flush()
}
