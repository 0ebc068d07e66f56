// Command run prints the measurements of the policies.
package main

import (
	"flag"
	"fmt"
	"os"

	"tarragongw/lab/policy"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random source")
	part := flag.String("part", "", "the one measurement to run; empty runs all")
	flag.Parse()
	if err := policy.Measure(*seed, *part).Write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
