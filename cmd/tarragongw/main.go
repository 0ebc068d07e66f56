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
	// exitCut says that a stop cut off requests in flight.
	exitCut = 3
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

// codedError is an error with an exit code of its own.
type codedError struct {
	error
	code int
}

func exitCode(err error) int {
	if coded, ok := err.(*codedError); ok {
		return coded.code
	}
	return exitFailure
}
