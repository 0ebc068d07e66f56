package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"tarragongw/config"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "print every setting with its unit, default and effect",
		Action: func(_ context.Context, c *cli.Command) error {
			for i := range config.Settings {
				s := &config.Settings[i]
				_, err := fmt.Fprintf(c.Root().Writer, "%-28s %-14s %-12s %s\n", s.Name, s.Unit, s.Default, s.Effect)
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
}
