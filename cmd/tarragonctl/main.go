// Command tarragonctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"tarragongw/config"
	"tarragongw/operator"
	"tarragongw/telemetry"
)

// Exit codes.
const (
	exitFailure = 1
	// exitRefused says that a configuration was refused, by the files' check or by the
	// router; nothing was changed.
	exitRefused = 2
	// exitConflict says that another operator's change clashes; nothing was changed.
	exitConflict = 3
	// exitUnknown says that a change may or may not be in force.
	exitUnknown = 4
)

// clientTimeout bounds one call to a router.
const clientTimeout = 15 * time.Second

// Names of the flags that all commands know.
const (
	flagRouter = "router"
	flagOutput = "output"
	flagAuthor = "author"
	// flagOf is known to the commands that ask one router.
	flagOf = "of"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonctl:", err)
		os.Exit(exitCode(err))
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:    "tarragonctl",
		Usage:   "operate the routers",
		Version: telemetry.ReadVersion().Version,
		Flags: append([]cli.Flag{
			&cli.StringFlag{
				Name:    flagRouter,
				Value:   "http://127.0.0.1:8081",
				Usage:   "`URL` of the operators' endpoint of any router",
				Sources: cli.EnvVars("TARRAGON_ROUTER"),
			},
			&cli.StringFlag{Name: flagOutput, Value: outputText, Usage: "`FORM` of the output: text or json"},
			&cli.StringFlag{Name: flagAuthor, Value: defaultAuthor(), Usage: "`NAME` under which changes are recorded where no certificate names you"},
		}, keyFlags()...),
		Before: checkOutput,
		Commands: []*cli.Command{
			checkCommand(), applyCommand(), diffCommand(), getCommand(),
			explainCommand(), eventsCommand(), drainCommand(), confirmDeadCommand(), statusCommand(),
			reportCommand(), keysCommand(), logCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func checkOutput(ctx context.Context, c *cli.Command) (context.Context, error) {
	if out := c.String(flagOutput); out != outputText && out != outputJSON {
		return ctx, errors.Errorf("--output %q is unknown; use text or json", out)
	}
	return ctx, nil
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func client(c *cli.Command) *operator.Client {
	return &operator.Client{Base: c.String(flagRouter), HTTP: &http.Client{Timeout: clientTimeout, Transport: transport(c)}}
}

// clientOf is a client of the router that the command names, or of the one asked.
func clientOf(c *cli.Command) *operator.Client { return client(c).Of(c.String(flagOf)) }

func exitCode(err error) int {
	var faults config.Errors
	if errors.As(err, &faults) {
		return exitRefused
	}
	var e *operator.Error
	if !errors.As(err, &e) {
		return exitFailure
	}
	switch e.Code {
	case operator.CodeInvalid:
		return exitRefused
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnknown:
		return exitUnknown
	default:
		return exitFailure
	}
}

// Forms of the output.
const (
	outputText = "text"
	outputJSON = "json"
)

// show writes a reply as JSON where that was asked for, else by text.
func show[T any](c *cli.Command, reply T, text func(io.Writer, T)) error {
	out := c.Root().Writer
	if c.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	text(out, reply)
	return nil
}

// argument returns the only argument, or an error that names it.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Errorf("give one %s: tarragonctl %s %s", what, c.Name, what)
	}
	return c.Args().First(), nil
}
