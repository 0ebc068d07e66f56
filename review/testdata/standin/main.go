package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. trouble is unset in the run without the disruption.
var cases = map[string]func(bin, recordPath string, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROUTER-PROGRAM RECORD-FILE")
		os.Exit(caseNotPlayed)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = caseNotPlayed
	}
	os.Exit(code)
}
