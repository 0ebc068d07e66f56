// Package pages helps tests to check that the documentation agrees with the code: it finds
// the command lines on the pages and checks them against the definition of a command.
package pages

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Page is one Markdown file of the repository.
type Page struct {
	Name string
	Text string
}

// Read returns the pages at the root of the repository, in docs and in its direct subfolders.
func Read(root string) ([]Page, error) {
	var names []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			return nil, errors.Wrap(err, "find the pages")
		}
		names = append(names, found...)
	}
	var all []Page
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read a page")
		}
		all = append(all, Page{name, string(data)})
	}
	return all, nil
}

// Commands returns the arguments of each command line of the binary on the page: the words
// after the binary's name up to the end of the line or of the code span.
func (p Page) Commands(binary string) [][]string {
	line := regexp.MustCompile("(?m)(?:`|^ *|/|run )" + regexp.QuoteMeta(binary) + "((?: +[^ .`\n#|][^ `\n#|]*)+)")
	var lines [][]string
	for _, match := range line.FindAllStringSubmatch(p.Text, -1) {
		lines = append(lines, strings.Fields(match[1]))
	}
	return lines
}

// CheckAll checks each command line of the binary on the pages below root against a new
// command from the function, and returns the number of lines checked. The error names the
// page and the line.
func CheckAll(root, binary string, command func() *cli.Command) (int, error) {
	all, err := Read(root)
	if err != nil {
		return 0, err
	}
	checked := 0
	for _, page := range all {
		for _, words := range page.Commands(binary) {
			checked++
			if err := Check(command(), words); err != nil {
				return checked, errors.Wrapf(err, "%s: %s %s", page.Name, binary, strings.Join(words, " "))
			}
		}
	}
	return checked, nil
}

// Check returns an error if the words contain an unknown flag, or an unknown command where a
// subcommand is expected. Values and arguments are not checked.
func Check(root *cli.Command, words []string) error {
	command := root
	for i := 0; i < len(words); i++ {
		word := strings.Trim(words[i], "[],.;:)")
		if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
			flag := findFlag(name, command, root)
			if flag == nil {
				return fmt.Errorf("%s has no flag --%s", command.FullName(), name)
			}
			if takesValue(flag) {
				i++
			}
			continue
		}
		if len(command.Commands) == 0 {
			continue
		}
		next := command.Command(word)
		if next == nil {
			return fmt.Errorf("%s has no command %q", command.FullName(), word)
		}
		command = next
	}
	return nil
}

func findFlag(name string, commands ...*cli.Command) cli.Flag {
	for _, c := range commands {
		for _, flag := range c.Flags {
			for _, known := range flag.Names() {
				if known == name {
					return flag
				}
			}
		}
	}
	return nil
}

func takesValue(flag cli.Flag) bool {
	_, isBool := flag.(*cli.BoolFlag)
	return !isBool
}
