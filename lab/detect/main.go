// Command detect measures the membership core under injected time: how long the
// loss of a router takes to be known, and how many members are wrongly declared
// lost in an hour under loss of messages and pauses.
package main

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"tarragongw/core/membership"
	"tarragongw/lab/fleet"
)

func main() {
	size := flag.Int("routers", 100, "routers in the data centre")
	trials := flag.Int("trials", 200, "losses to measure")
	hour := flag.Duration("calm", time.Hour, "simulated time without a loss, for false verdicts")
	loss := flag.Float64("loss", 0.05, "share of messages lost")
	pause := flag.Duration("pause", 200*time.Millisecond, "length of pauses")
	every := flag.Duration("every", 20*time.Second, "mean time between pauses of one router")
	at := flag.Int("at-once", 1, "routers lost at once in each trial")
	beat := flag.Duration("heartbeat", 0, "interval of heartbeats, if not the default")
	lost := flag.Duration("lost-after", 0, "silence before a verdict, if not the default")
	cut := flag.Duration("cut-heartbeats", 0, "time between two cuts of the way of all heartbeats, each until the sender is pinged, in the calm")
	observers := flag.Int("observers", 0, "observers of each router, if not the default")
	flag.Parse()
	cfg := membership.DefaultConfig()
	if *beat > 0 {
		cfg.Heartbeat = *beat
	}
	if *lost > 0 {
		cfg.LostAfter = *lost
	}
	if *observers > 0 {
		cfg.Observers = *observers
	}
	fmt.Printf("heartbeat %s, lost after %s, %d observers, %d routers, loss %.0f%%\n", cfg.Heartbeat, cfg.LostAfter, cfg.Observers, *size, *loss*100)
	if *trials > 0 {
		detection(cfg, *size, *trials, *at, *loss, 0, 0)
		detection(cfg, *size, *trials, *at, *loss, *pause, *every)
	}
	if *hour > 0 {
		falseVerdicts(cfg, *size, *hour, *loss, *pause, *every, *cut)
	}
}

// detection kills routers again and again in fresh fleets.
func detection(cfg membership.Config, size, trials, at int, loss float64, pause, every time.Duration) {
	var first, all, missing []time.Duration
	wrong := 0
	for trial := range trials {
		f := fleet.NewMembers(cfg, fleet.Network(cfg.Tick, loss), uint64(trial+1), 1, size, 2*time.Second)
		f.Witnessed = true
		if pause > 0 {
			f.Pauses(pause, every)
		}
		f.Net.Run(time.Second + time.Duration(f.Net.Rand().Int64N(int64(100*time.Millisecond))))
		f.Reset()
		died := f.Net.Now()
		victims := map[string]bool{}
		for _, i := range f.Net.Rand().Perm(size)[:at] {
			victims[f.Names[i]] = true
			f.Kill(f.Names[i])
		}
		f.Net.Run(3 * time.Second)
		heard := map[string][]time.Duration{}
		for _, c := range f.Changes {
			if c.Got.To != membership.Lost || victims[c.By] {
				continue
			}
			if !victims[c.Got.Member.Name] {
				wrong++
				continue
			}
			heard[c.Got.Member.Name] = append(heard[c.Got.Member.Name], c.At.Sub(died))
		}
		for name := range victims {
			times := heard[name]
			if len(times) == 0 {
				missing = append(missing, 0)
				continue
			}
			first = append(first, times[0])
			all = append(all, times...)
		}
	}
	fmt.Printf("pauses %s: first verdict %s\n", pause, quantiles(first))
	fmt.Printf("pauses %s: known to each router %s; not detected in 3 s: %d of %d; wrong: %d\n", pause, quantiles(all), len(missing), trials*at, wrong)
}

func quantiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	slices.Sort(d)
	at := func(p float64) time.Duration { return d[min(len(d)-1, int(p*float64(len(d))))].Round(time.Millisecond) }
	return fmt.Sprintf("p50 %s p90 %s p99 %s max %s (n=%d)", at(.5), at(.9), at(.99), d[len(d)-1].Round(time.Millisecond), len(d))
}

// falseVerdicts runs a fleet in which nobody dies.
func falseVerdicts(cfg membership.Config, size int, span time.Duration, loss float64, pause, every, cut time.Duration) {
	f := fleet.NewMembers(cfg, fleet.Network(cfg.Tick, loss), 7, 1, size, 5*time.Second)
	f.Witnessed = true
	f.Pauses(pause, every)
	for left := span; left > 0; left -= cut {
		if cut == 0 {
			f.Net.Run(span)
			break
		}
		f.CutBeats()
		f.Net.Run(min(cut, left))
	}
	lost, isolated, suspected := map[string]int{}, map[string]int{}, 0
	own := 0
	for _, c := range f.Changes {
		switch c.Got.To {
		case membership.Lost:
			lost[c.Got.Member.Name]++
			if c.Got.By == "" {
				own++
				fmt.Printf("  false verdict at %s by %s on %s: %s\n", c.At.Sub(fleet.Epoch), c.By, c.Got.Member.Name, c.Got.Cause)
			}
		case membership.Isolated:
			isolated[c.Got.Member.Name]++
		case membership.Suspect:
			if c.Got.By == "" {
				suspected++
			}
		}
	}
	total := 0
	for _, n := range f.Sent.Messages {
		total += n
	}
	fmt.Printf("%s with pauses of %s every %s: false verdicts %d on %d members, isolated %d, suspicions %d, doubts %v\n",
		span, pause, every, own, len(lost), len(isolated), suspected, f.Doubts)
	fmt.Printf("  %.1f messages/s sent per router: %v\n", float64(total)/span.Seconds()/float64(size), f.Sent.Messages)
}
