package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLine is the longest accepted line of a log file, in bytes; lines that routers
// write are far shorter.
const maxLogLine = 1 << 20

func logCommand() *cli.Command {
	return &cli.Command{
		Name:      "log",
		Usage:     "print a request's lines from log files of `tarragongw serve`, after the log lines on the state of the routers at that time",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("give a request id and log files: tarragonctl log ID FILE...")
			}
			return printRequestLines(c.Root().Writer, c.Args().First(), c.Args().Tail())
		},
	}
}

// stateMessages are the log messages about the state on which a router bases its
// decisions. The last line of each before a request shows the state at that time.
var stateMessages = []string{
	`msg="configuration in force"`, `msg="key table updated"`, `msg="targets changed"`, `msg="leadership taken"`, `msg="leadership lost"`,
	"msg=fed", `msg="feed lost"`, `msg="store lost"`, `msg="store regained"`,
}

// printRequestLines prints the lines about the request from all files. It returns an
// error if no file has such a line.
func printRequestLines(w io.Writer, id string, files []string) error {
	found := false
	for _, name := range files {
		in, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log file")
		}
		seen, err := scanRequest(w, id, name, in)
		in.Close()
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		found = found || seen
	}
	if !found {
		return errors.Errorf("no line of request %s in %d files", id, len(files))
	}
	return nil
}

// scanRequest prints the lines of one file about the request, after the state lines that
// precede them.
func scanRequest(w io.Writer, id, name string, in io.Reader) (found bool, err error) {
	state := make([]string, len(stateMessages))
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line := lines.Text()
		if hasField(line, "id", id) {
			if !found {
				printState(w, name, state)
			}
			found = true
			fmt.Fprintf(w, "%s: %s\n", name, line)
			continue
		}
		for i, message := range stateMessages {
			if strings.Contains(line, message) {
				state[i] = line
			}
		}
	}
	return found, errors.WithStack(lines.Err())
}

// printState prints the last line of each of the stateMessages before the request.
func printState(w io.Writer, name string, state []string) {
	for _, line := range state {
		if line != "" {
			fmt.Fprintf(w, "%s: (before) %s\n", name, line)
		}
	}
}

// hasField reports whether a line of key=value pairs has the pair.
func hasField(line, key, value string) bool {
	pair := key + "=" + value
	for rest := line; ; {
		i := strings.Index(rest, pair)
		if i < 0 {
			return false
		}
		end := i + len(pair)
		begins := i == 0 || rest[i-1] == ' '
		ends := end == len(rest) || rest[end] == ' '
		if begins && ends {
			return true
		}
		rest = rest[end:]
	}
}
