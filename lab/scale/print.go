package main

import (
	"fmt"
	"slices"
	"time"

	"tarragongw/kv"
)

func (t *times) String() string {
	if len(t.list) == 0 {
		return fmt.Sprintf("none of %d", t.missing)
	}
	slices.Sort(t.list)
	at := func(p float64) time.Duration {
		return t.list[min(len(t.list)-1, int(p*float64(len(t.list))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %s p99 %s max %s (n=%d, missing %d)",
		at(.5), at(.99), t.list[len(t.list)-1].Round(time.Millisecond), len(t.list), t.missing)
}

func (r *row) print() {
	fmt.Printf("%d routers, load average %s\n", r.routers, loadAverage())
	fmt.Printf("  per router: control %.0f B/s, to targets %.0f B/s, CPU %.2f%% of a core, %.1f MB live, %.1f MB resident, %.0f goroutines\n",
		r.controlBytes, r.targetBytes, 100*r.cpu, r.live/1e6, r.resident/1e6, r.goroutines)
	fmt.Print("  store calls/s of all:")
	for _, kind := range kv.CallKinds() {
		fmt.Printf(" %s %.1f", kind, r.calls[kind])
	}
	fmt.Println()
	fmt.Printf("  in force everywhere, calm:          %s\n", &r.calmChanges)
	fmt.Printf("  in force everywhere, 1 of %d lost:  %s\n", lostShare, &r.lossChanges)
	fmt.Printf("  loss, first verdict:                %s\n", &r.firstVerdict)
	fmt.Printf("  loss, known to all:                 %s\n", &r.knownToAll)
	fmt.Printf("  false verdicts: %d\n", r.falseVerdicts)
}

// printSlopes prints each cost as a line over the number of routers, with the
// points that it was fitted to.
func printSlopes(rows []*row) {
	if len(rows) < 2 {
		return
	}
	slope := func(name string, y func(*row) float64) {
		base, per := fit(rows, y)
		fmt.Printf("%-34s = %.4g + %.4g * routers; points:", name, base, per)
		for _, r := range rows {
			fmt.Printf(" (%d, %.4g)", r.routers, y(r))
		}
		fmt.Println()
	}
	slope("control bytes/s per router", func(r *row) float64 { return r.controlBytes })
	slope("CPU % of a core per router", func(r *row) float64 { return 100 * r.cpu })
	slope("live MB per router", func(r *row) float64 { return r.live / 1e6 })
	slope("resident MB per router", func(r *row) float64 { return r.resident / 1e6 })
	slope("goroutines per router", func(r *row) float64 { return r.goroutines })
	for _, kind := range kv.CallKinds() {
		slope("store calls/s of all: "+string(kind), func(r *row) float64 { return r.calls[kind] })
	}
}

// fit is the line of least squares.
func fit(rows []*row, y func(*row) float64) (base, per float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(rows))
	for _, r := range rows {
		x := float64(r.routers)
		sx += x
		sy += y(r)
		sxx += x * x
		sxy += x * y(r)
	}
	if d := n*sxx - sx*sx; d != 0 {
		per = (n*sxy - sx*sy) / d
	}
	return (sy - per*sx) / n, per
}
