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

// maxLogLine bounds one line of a log file, in bytes; the routers' own are far shorter.
const maxLogLine = 1 << 20

func logCommand() *cli.Command {
	return &cli.Command{
		Name:      "log",
		Usage:     "print a request's lines from log files of `tarragongw serve`, with what its routers believed at that time",
		ArgsUsage: "ID FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("want ID FILE...")
			}
			return printRequestLines(c.Root().Writer, c.Args().First(), c.Args().Tail())
		},
	}
}

// beliefLines are the lines whose last one before a request says what it was decided by.
var beliefLines = []string{
	`msg="configuration in force"`, `msg="key table updated"`, `msg="targets changed"`, `msg="leadership taken"`, `msg="leadership lost"`,
	"msg=fed", `msg="feed lost"`, `msg="store lost"`, `msg="store regained"`,
}

// printRequestLines prints what the files have of the request; it is an error if none has
// a line of it.
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

func scanRequest(w io.Writer, id, name string, in io.Reader) (found bool, err error) {
	beliefs := make([]string, len(beliefLines))
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line := lines.Text()
		if hasField(line, "id", id) {
			if !found {
				printBeliefs(w, name, beliefs)
			}
			found = true
			fmt.Fprintf(w, "%s: %s\n", name, line)
			continue
		}
		for i, belief := range beliefLines {
			if strings.Contains(line, belief) {
				beliefs[i] = line
			}
		}
	}
	return found, errors.WithStack(lines.Err())
}

// printBeliefs prints the last line of each belief before the request.
func printBeliefs(w io.Writer, name string, beliefs []string) {
	for _, line := range beliefs {
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
