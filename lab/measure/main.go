// Command measure runs the router's measurements and prints a table of name,
// value, unit and the ratio to the baseline of the same run.
//
// Proxies run as child processes of their own, so that the processor time and the
// memory of the load generator, of the targets and of the platform's stand-in,
// which all live in the parent, are not theirs. Rounds of baseline and router
// alternate, so that what else runs on the machine hits both.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// partLimit bounds one part of a run.
const partLimit = 6 * time.Minute

// parentGCPercent is the GOGC of the parent.
const parentGCPercent = 1000

// settings are the flags of a run.
type settings struct {
	rounds  int
	conns   int
	procs   int
	profile string
	before  string
	sizes   string
}

// sizesOr returns the numbers of -sizes, or those of the part itself.
func (s *settings) sizesOr(own ...int) ([]int, error) {
	if s.sizes == "" {
		return own, nil
	}
	var sizes []int
	for text := range strings.SplitSeq(s.sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, errors.Wrap(err, "-sizes")
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// part is one selectable measurement.
type part struct {
	name string
	help string
	run  func(ctx context.Context, s *settings, t *table) error
	// apart says that the part only runs where it is named.
	apart bool
}

var parts = []part{
	{"path", "added latency, throughput per core and allocations of a request", measurePath, false},
	{"tail", "added p99 at half load in short slices, from the rounds that the machine disturbed least", measureTail, false},
	{"tls", "cost of a request over TLS against plain text", measureTLS, false},
	{"memory", "memory with 130 connections to each of 33 targets", measureMemory, false},
	{"control", "processor time, bytes, store calls and memory of routers at rest", measureControl, false},
	{"confirm", "store reads of a data centre with and without relays, and what they cost routers and relay", measureConfirm, false},
	{"datagrams", "routers at rest with heartbeats as datagrams and over sessions", measureDatagrams, false},
	{"overload", "goodput above capacity and interactive work beside batch work, on real sockets", measureOverload, false},
	{"saturated", "answers in time above the router's own capacity, with slots to spare", measureSaturated, false},
	{"record", "cost of metrics and journal for one request", measureRecord, false},
	{"observed", "throughput with and without metrics, journal and history of requests", measureObserved, false},
	{"first", "time from a fresh clone to the first answered request", measureFirst, true},
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == childFlag {
		exit(runChild(os.Args[2]))
	}
	// The parent's own collections would show as latency of whatever is measured.
	debug.SetGCPercent(parentGCPercent)
	s := &settings{}
	flag.IntVar(&s.rounds, "rounds", 7, "rounds of the part path")
	flag.IntVar(&s.conns, "conns", 32, "callers' connections of the part path")
	flag.IntVar(&s.procs, "procs", 2, "GOMAXPROCS of each child process")
	flag.StringVar(&s.profile, "profile", "", "`directory` for processor and allocation profiles of the part path")
	flag.StringVar(&s.before, "before", "", "`file` with an earlier build of this command, whose routers take part in the parts path, tail and control")
	flag.StringVar(&s.sizes, "sizes", "", "numbers of routers of the parts control (3,6,12 where empty) and confirm (4,12,30)")
	output := flag.String("json", "", "`file` for the table as JSON")
	flag.Usage = usage
	flag.Parse()
	exit(run(s, flag.Args(), *output))
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: measure [flags] [part...]; without a part all run but first")
	for _, p := range parts {
		fmt.Fprintf(os.Stderr, "  %-8s %s\n", p.name, p.help)
	}
	flag.PrintDefaults()
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func run(s *settings, names []string, output string) error {
	chosen, err := choose(names)
	if err != nil {
		return err
	}
	t := &table{}
	for _, p := range chosen {
		began := time.Now()
		if err := p.runLimited(s, t); err != nil {
			t.print(os.Stdout)
			return errors.Wrapf(err, "part %s", p.name)
		}
		fmt.Fprintf(os.Stderr, "part %s took %s\n", p.name, time.Since(began).Round(time.Second))
	}
	t.print(os.Stdout)
	if output == "" {
		return nil
	}
	return t.write(output)
}

func (p *part) runLimited(s *settings, t *table) error {
	ctx, cancel := context.WithTimeout(context.Background(), partLimit)
	defer cancel()
	return p.run(ctx, s, t)
}

func choose(names []string) ([]part, error) {
	if len(names) == 0 {
		return slices.DeleteFunc(slices.Clone(parts), func(p part) bool { return p.apart }), nil
	}
	var chosen []part
	for _, name := range names {
		i := slices.IndexFunc(parts, func(p part) bool { return p.name == name })
		if i < 0 {
			return nil, errors.Errorf("no part %q; there are %s", name, strings.Join(partNames(), ", "))
		}
		chosen = append(chosen, parts[i])
	}
	return chosen, nil
}

func partNames() []string {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	return names
}
