// Command scale measures what the control of a whole fleet costs over real sockets,
// and how fast a change and a loss reach every router. The routers run in processes
// of up to 50, so that each stays below the usual limit on open files; the store's
// stand-in, the targets and the clock are this process's.
//
// Usage, from the root of the repository: go run ./lab/scale [-sizes 10,30,100,300]
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// limit bounds a whole run, sizeLimit the measurement of one size.
	limit     = 180 * time.Second
	sizeLimit = 75 * time.Second
	// maxResident stops a run before it takes more of the machine, in bytes.
	maxResident = 10 << 30
)

func main() {
	sizes := flag.String("sizes", "10,30,100,300", "numbers of routers, all in one data centre")
	child := flag.String(childFlag, "", "used by the command itself")
	flag.Parse()
	var err error
	if *child != "" {
		err = runChild(*child)
	} else {
		err = run(*sizes)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func run(sizes string) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	fmt.Printf("%s, %s/%s, %d cores, load average %s\n", time.Now().UTC().Format(time.DateTime), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), loadAverage())
	var rows []*row
	for text := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "-sizes")
		}
		r, err := measure(ctx, n)
		if err != nil {
			printSlopes(rows)
			return errors.Wrapf(err, "%d routers", n)
		}
		r.print()
		rows = append(rows, r)
	}
	printSlopes(rows)
	return nil
}

// loadAverage is the first figure of /proc/loadavg; "unknown" where there is none.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
