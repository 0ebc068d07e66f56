// Command stats prints how the lines of Go code are spread: the share of tests,
// and that of the areas that carry the project's worth.
//
// Usage, from the root of the repository: go run ./lab/stats
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// area is a part of the code, by the folders and file prefixes that hold it.
type area struct {
	name string
	// prefixes are the starts of paths below the root.
	prefixes []string
}

// areas hold shipped code; the first that fits takes a file.
var areas = []area{
	{"routing", []string{"core/routing", "core/selector", "core/balance", "core/rendezvous", "core/request", "router/forward", "router/serve", "router/view", "router/awaitroute", "router/upstream", "router/choose", "router/rebalance", "caller/extract", "caller/rule"}},
	{"limits", []string{"core/admission", "core/shed", "admit"}},
	{"retries", []string{"core/retry", "core/health", "core/fault", "router/retrier", "router/health", "router/evidence", "router/body", "target/attempt"}},
	{"membership", []string{"core/membership", "router/memberduty"}},
	{"state", []string{"core/spread", "core/model", "confstore", "router/configduty", "router/recordduty", "router/storewatch"}},
	{"recovery", []string{"core/ownership", "router/owner", "router/stop", "router/ask"}},
}

// count is lines of code by what they are for.
type count struct {
	shipped, tests, lab, generated int
	byArea                         map[string]int
}

func main() {
	c := count{byArea: make(map[string]int)}
	if err := filepath.WalkDir(".", c.walk); err != nil {
		fmt.Fprintln(os.Stderr, "stats:", err)
		os.Exit(1)
	}
	c.print()
}

func (c *count) walk(path string, entry fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if entry.IsDir() && path != "." && strings.HasPrefix(entry.Name(), ".") {
		return filepath.SkipDir
	}
	if entry.IsDir() || !strings.HasSuffix(path, ".go") {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	c.add(filepath.ToSlash(path), data)
	return nil
}

func (c *count) add(path string, data []byte) {
	lines := codeLines(data)
	switch {
	case bytes.HasPrefix(data, []byte("// Code generated")):
		c.generated += lines
	case strings.HasSuffix(path, "_test.go") || strings.Contains(path, "ownershiptest/") || strings.HasPrefix(path, "internal/simnet/"):
		c.tests += lines
	case strings.HasPrefix(path, "lab/"):
		c.lab += lines
	default:
		c.shipped += lines
		c.byArea[areaOf(path)] += lines
	}
}

// codeLines counts the lines that hold more than white space.
func codeLines(data []byte) int {
	var n int
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
			n++
		}
	}
	return n
}

func areaOf(path string) string {
	for _, a := range areas {
		for _, p := range a.prefixes {
			if strings.HasPrefix(path, p) {
				return a.name
			}
		}
	}
	return "other"
}

func (c *count) print() {
	written := c.shipped + c.tests + c.lab
	line := func(name string, n, of int, what string) {
		fmt.Printf("%-24s %6d lines  %5.1f%% of %s\n", name, n, 100*float64(n)/float64(max(of, 1)), what)
	}
	line("shipped", c.shipped, written, "written code")
	line("tests", c.tests, written, "written code")
	line("lab", c.lab, written, "written code")
	fmt.Printf("%-24s %6d lines\n", "generated", c.generated)
	var parts int
	for _, a := range areas {
		line("  "+a.name, c.byArea[a.name], c.shipped, "shipped code")
		parts += c.byArea[a.name]
	}
	line("these six together", parts, c.shipped, "shipped code")
	line("these six together", parts, written, "written code")
}
