// Command tarragongw is the router process.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"tarragongw/telemetry"
)

// Exit codes.
const (
	exitFailure = 1
	// exitRequestsCut means that the stop cut off requests in flight.
	exitRequestsCut = 3
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tarragongw:", err)
		os.Exit(exitCode(err))
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:     "tarragongw",
		Usage:    "route requests to the servers that own their keys",
		Version:  version(),
		Commands: []*cli.Command{runCommand(), serveCommand(), devCommand(), settingsCommand()},
		// Errors are printed once, by main.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func version() string {
	v := telemetry.ReadVersion()
	if v.Revision == "" {
		return v.Version
	}
	return v.Version + " " + v.Revision
}

// exitError is an error that sets the exit code of the process.
type exitError struct {
	error
	code int
}

func exitCode(err error) int {
	if coded, ok := err.(*exitError); ok {
		return coded.code
	}
	return exitFailure
}
