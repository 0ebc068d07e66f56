// Command converge measures, under injected time and with both cores running,
// how long an acknowledged change takes until every living router has it, calm
// and while a tenth of the routers has just been lost.
package main

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"tarragongw/core/membership"
	"tarragongw/core/spread"
	"tarragongw/lab/fleet"
)

func main() {
	trials := flag.Int("trials", 20, "fleets for each row")
	changes := flag.Int("changes", 50, "changes within a second in each fleet")
	loss := flag.Float64("loss", 0, "share of messages lost")
	value := flag.Int("value", 1024, "bytes of each changed record")
	inRegions := flag.Int("regions", 0, "routers in each of 14 data centres of 6 regions; 0 measures one data centre")
	flag.Parse()
	if *inRegions > 0 {
		regions(*trials, *changes, *inRegions)
		return
	}
	for _, size := range []int{10, 100, 300, 400} {
		for _, share := range []float64{0, 0.1} {
			row(size, *trials, *changes, share, *loss, *value)
		}
	}
}

// row prints one line: all changes of all trials, each timed until the last
// living router has it.
func row(size, trials, changes int, share, loss float64, value int) {
	var last, each []time.Duration
	missing := 0
	for trial := range trials {
		f := fleet.NewFull(membership.DefaultConfig(), spread.DefaultConfig(), loss, uint64(trial+1), size, 200, 256)
		dead := map[string]bool{}
		for _, i := range f.Net.Rand().Perm(size)[:int(share*float64(size))] {
			dead[f.Names[i]] = true
			f.Kill(f.Names[i])
		}
		alive := f.Alive(dead)
		written := map[uint64]time.Time{}
		for i := range changes {
			rev := f.Write(fmt.Sprint("config/", i), spread.Configuration, value)
			written[rev] = f.Net.Now()
			f.Net.Run(time.Second / time.Duration(changes))
		}
		f.Net.Run(4 * time.Second)
		for rev, at := range written {
			slowest := time.Duration(0)
			for _, name := range alive {
				got, ok := f.Arrived[rev][name]
				if !ok {
					missing++
					continue
				}
				each = append(each, got.Sub(at))
				slowest = max(slowest, got.Sub(at))
			}
			last = append(last, slowest)
		}
	}
	fmt.Printf("routers %3d lost %2.0f%% loss %2.0f%%: everywhere %s; each router %s; missing after 4 s: %d\n",
		size, share*100, loss*100, quantiles(last), quantiles(each), missing)
}

func quantiles(d []time.Duration) string {
	slices.Sort(d)
	at := func(p float64) time.Duration {
		return d[min(len(d)-1, int(p*float64(len(d))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %s p99 %s max %s (n=%d)", at(.5), at(.99), d[len(d)-1].Round(time.Millisecond), len(d))
}
