// Command run prints the measurements of ownership.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"tarragongw/lab/ownmeasure"
)

func main() {
	trials := flag.Int("trials", 30, "trials of each loss")
	fleet := flag.Int("fleet-trials", 5, "trials of each loss of most of a fleet")
	pauses := flag.Duration("pauses", time.Hour, "injected time through which pauses go on")
	loss := flag.String("loss", "", "part of the names of the losses to measure by the wall clock")
	explain := flag.Duration("explain", 0, "print what happened where a key was away longer than this by the wall clock")
	seed := flag.Int64("seed", 1, "seed of the random source of injected time")
	part := flag.String("part", "", "injected, fleet or wall; empty runs all")
	flag.Parse()
	opt := ownmeasure.Options{Trials: *trials, FleetTrials: *fleet, Loss: *loss, Explain: *explain, Pauses: *pauses, Seed: *seed}
	if err := run(os.Stdout, *part, opt); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, part string, opt ownmeasure.Options) error {
	parts := []struct {
		name string
		run  func(io.Writer, ownmeasure.Options) error
	}{{"injected", ownmeasure.Run}, {"fleet", ownmeasure.Fleet}, {"wall", ownmeasure.Wall}}
	for _, p := range parts {
		if part != "" && part != p.name {
			continue
		}
		if err := p.run(out, opt); err != nil {
			return err
		}
	}
	return nil
}
