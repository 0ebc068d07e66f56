package spread

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countDeltas counts, from now on, the messages with full records that each router receives.
func (f *fleet) countDeltas() map[string]int {
	got := map[string]int{}
	f.net.OnSend = func(_, to string, m Message) {
		if m.Kind == Delta {
			got[to]++
		}
	}
	return got
}

// A burst of changes of the one configuration record must not be sent to every router change
// by change: only the last one counts, and a script with 50 changes would use up the bandwidth
// for control messages.
func TestABurstOfChangesOfOneRecordIsSentAFewTimes(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 51, 40, "doto")
	got := f.countDeltas()
	for i := range 50 {
		f.write("config/current", Configuration, fmt.Sprint("change ", i))
		f.net.Run(20 * time.Millisecond)
	}
	f.net.Run(f.cfg.MinChangeInterval + 50*time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
	for name, n := range got {
		// At once, every 200 ms and once at the end, in each of two trees.
		assert.Assert(t, n <= 2*7, "%s got %d", name, n)
	}
}

func TestASingleChangeAndOwnershipAreNotDelayed(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 52, 40, "doto")
	f.write("config/current", Configuration, "one")
	f.net.Run(30 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0)
	for i := range 5 {
		f.write("ownership/1", Ownership, fmt.Sprint("owner ", i))
		f.write(fmt.Sprint("config/", i), Configuration, "another record each time")
		f.net.Run(30 * time.Millisecond)
		assert.Equal(t, len(f.behind()), 0, "change %d", i)
	}
}

// A change that a watcher delays must reach all routers even if that watcher dies, and the
// other one too, although nobody else has it yet.
func TestADelayedChangeSurvivesItsWatchers(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 53, 40, "doto")
	watchers := f.watchersIn("doto")
	f.write("config/current", Configuration, "first")
	f.net.Run(20 * time.Millisecond)
	f.write("config/current", Configuration, "second")
	f.net.Run(10 * time.Millisecond)
	assert.Assert(t, len(f.behind()) > 0, "nothing was delayed")
	f.kill(watchers[0])
	f.net.Run(f.cfg.MinChangeInterval + 50*time.Millisecond)
	f.removeMembers(watchers[0])
	assert.Equal(t, len(f.behind()), 0)

	f.write("config/current", Configuration, "third")
	f.net.Run(20 * time.Millisecond)
	f.write("config/current", Configuration, "fourth")
	f.net.Run(10 * time.Millisecond)
	for _, name := range f.watchersIn("doto") {
		f.kill(name)
		f.removeMembers(name)
	}
	f.net.Run(500 * time.Millisecond)
	assert.Equal(t, len(f.behind()), 0, "the next watchers read everything")
}

// A delayed change must not undo a newer one, or a deletion, that a complete list from the
// store brought in the meantime.
func TestADelayedChangeNeverUndoesALaterOne(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 54, 10, "doto")
	watcher := f.nodes[f.watchersIn("doto")[0]]
	change := func(rev uint64, value string) {
		e := Entry{Key: "config/current", Revision: rev, Class: Configuration, Value: []byte(value)}
		watcher.step(f.net.Now(), FromStore{Entries: []Entry{e}, Revision: rev})
	}
	value := func() string {
		e, _ := watcher.core.Entry("config/current")
		return string(e.Value)
	}
	change(10, "first")
	change(12, "held")
	change(11, "late")
	assert.Equal(t, value(), "first")
	newest := Entry{Key: "config/current", Revision: 13, Class: Configuration, Value: []byte("newest")}
	watcher.step(f.net.Now(), FromStore{Entries: []Entry{newest}, Complete: true, Revision: 13})
	assert.Equal(t, value(), "newest")
	f.net.Run(2 * f.cfg.MinChangeInterval)
	assert.Equal(t, value(), "newest")

	change(20, "again")
	change(22, "held again")
	change(21, "late again")
	f.net.Run(f.cfg.MinChangeInterval + 20*time.Millisecond)
	assert.Equal(t, value(), "held again")
	assert.Equal(t, len(watcher.core.limiter.delayed), 0)
}
