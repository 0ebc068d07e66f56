package spread

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noticeCounts returns how often each router received each announced value.
func (f *fleet) noticeCounts() map[string]map[string]int {
	out := map[string]map[string]int{}
	for name, n := range f.nodes {
		out[name] = map[string]int{}
		for _, a := range n.announced {
			out[name][string(a.Value)]++
		}
	}
	return out
}

func TestANoticeReachesEachRouterOfTheDataCentreOnce(t *testing.T) {
	f := newFleet(DefaultConfig(), lossy(), 41, 50, "doto", "visayas")
	root := f.dcs["doto"][7]
	sent := 0
	f.net.OnSend = func(_, _ string, m Message) {
		if m.Kind == Notice {
			sent++
		}
	}
	for i := range 20 {
		f.nodes[root].step(f.net.Now(), Announce{Value: []byte(fmt.Sprint(i))})
		f.net.Run(300 * time.Millisecond)
	}
	missed := 0
	for name, got := range f.noticeCounts() {
		for i := range 20 {
			n := got[fmt.Sprint(i)]
			assert.Assert(t, n <= 1, "%s was handed notice %d %d times", name, i, n)
			if n == 0 && f.nodes[name].dc == "doto" && name != root {
				missed++
			}
			assert.Assert(t, n == 0 || f.nodes[name].dc == "doto" && name != root, name)
		}
	}
	// Messages are lost on the way, and notices are not repeated.
	assert.Assert(t, missed < 20*49/4, "%d missed", missed)
	assert.Assert(t, sent <= 20*49, "%d messages", sent)
}

// Notices must be ordered by incarnation and sequence, not by arrival. Otherwise a notice that
// was delayed, or one of an earlier instance of its sender, would replace a later one.
func TestAnOlderNoticeIsDropped(t *testing.T) {
	f := newFleet(DefaultConfig(), reliable(), 42, 10, "doto")
	n := f.nodes[f.dcs["doto"][0]]
	root := f.dcs["doto"][1]
	got := func(incarnation, seq uint64) int {
		n.announced = nil
		m := Message{Kind: Notice, Root: root, Incarnation: incarnation, Seq: seq, Entries: []Entry{{Value: []byte("x")}}}
		n.step(f.net.Now(), Received{From: root, Message: m})
		return len(n.announced)
	}
	assert.Equal(t, got(5, 2), 1)
	assert.Equal(t, got(5, 1), 0)
	assert.Equal(t, got(5, 2), 0)
	assert.Equal(t, got(6, 1), 1)
	assert.Equal(t, got(5, 3), 0)
}
