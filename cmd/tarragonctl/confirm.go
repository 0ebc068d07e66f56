package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/operator"
)

func confirmDeadCommand() *cli.Command {
	return &cli.Command{
		Name: "confirm-dead",
		Usage: "confirm that a target's grantor and first successor are gone for good, where status asks for it; " +
			"a wrong confirmation may give a key two owners",
		ArgsUsage: "TARGET",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "yes", Usage: "you have checked that both VMs are gone"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := argument(c, "TARGET")
			if err != nil {
				return err
			}
			if !c.Bool("yes") {
				return errors.New("check that both VMs are gone for good, then repeat with --yes")
			}
			reply, err := client(c).ConfirmDead(ctx, &operator.ConfirmDeadRequest{Target: name, Author: c.String(flagAuthor)})
			if err != nil {
				return err
			}
			return show(c, reply, func(out io.Writer, r *operator.ConfirmDeadReply) {
				fmt.Fprintf(out, "target %s: %s are now considered dead\n", r.Target, strings.Join(r.Dead, " and "))
			})
		},
	}
}
