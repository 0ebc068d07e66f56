// Command gen writes the generated pages of the documentation.
//
// Usage, from the root of the repository: go run ./lab/gen errors
package main

import (
	"fmt"
	"os"

	"tarragongw/core/fault"
)

const errorsPage = "docs/ERRORS.md"

func main() {
	if len(os.Args) != 2 || os.Args[1] != "errors" {
		fmt.Fprintln(os.Stderr, "usage: go run ./lab/gen errors")
		os.Exit(2)
	}
	if err := os.WriteFile(errorsPage, []byte(fault.Page()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}
