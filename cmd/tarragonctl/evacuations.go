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

func evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name:  "evacuations",
		Usage: "list the evacuated data centres, with serve only: --router is the address of the metrics of any router",
		Action: func(ctx context.Context, c *cli.Command) error {
			reply, err := client(c).Evacuations(ctx)
			if err != nil {
				return err
			}
			return show(c, reply, showEvacuations)
		},
	}
}

func showEvacuations(out io.Writer, all *operator.Evacuations) {
	age := time.Duration(all.AgeMillis) * time.Millisecond
	if len(all.Evacuations) == 0 {
		fmt.Fprintf(out, "No data centre is evacuated, as %s knew %v ago.\n", all.Router, age)
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATA CENTRE\tLEARNED\tREVISION\tAGE")
	for _, e := range all.Evacuations {
		fmt.Fprintf(w, "%s\t%s\t%d\t%v\n", e.DataCentre, e.Learned.Format(time.RFC3339), e.Revision, age)
	}
	// The output is the terminal; there is nowhere else to report an error to.
	_ = w.Flush()
}
