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
	// exitRefused means that the check of the files or the router rejected the
	// configuration; nothing was changed.
	exitRefused = 2
	// exitConflict means that the change conflicts with another operator's change;
	// nothing was changed.
	exitConflict = 3
	// exitUnknown means that the change may or may not have taken effect.
	exitUnknown = 4
)

// clientTimeout bounds one call to a router.
const clientTimeout = 15 * time.Second

// Names of the flags that all commands accept.
const (
	flagRouter = "router"
	flagOutput = "output"
	flagAuthor = "author"
	// flagOf is accepted by the commands that query a single router.
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
			reportCommand(), keysCommand(), logCommand(), quarantineCommand(), evacuationsCommand(), targetLimitsCommand(),
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

// clientForRouter returns a client for the router that --of names, or for the router
// at --router if --of is not set.
func clientForRouter(c *cli.Command) *operator.Client { return client(c).Of(c.String(flagOf)) }

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

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// show writes the reply as JSON if --output json is set, and by calling text otherwise.
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

// argument returns the command's only argument, or an error that tells the user to give
// one.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Errorf("give one %s: tarragonctl %s %s", what, c.Name, what)
	}
	return c.Args().First(), nil
}
