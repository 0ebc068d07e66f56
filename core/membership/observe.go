package membership

import (
	"slices"
	"time"
)

// watch is an observer's state for one member.
type watch struct {
	member *record
	// silentSince is the time from which silence is counted: the last sign of life, the
	// beginning of the observation or the end of this router's own suspension, whichever is
	// latest.
	silentSince time.Time
	// pinged is when the last direct ping was sent.
	pinged time.Time
	// helpRequested says that helpers were asked during this silence. helpers are their
	// names, reporters the helpers that sent any report, and confirmers the helpers whose
	// pings were not answered either.
	helpRequested bool
	helpers       []string
	reporters     []string
	confirmers    []string
	// silentOthers names other members that helpers find silent.
	silentOthers []string
	// published says that other routers were told of the suspicion.
	published bool
	// probeNow is set after the transport failed, so that probing begins at once.
	probeNow bool
}

// reset restarts the count of silence.
func (w *watch) reset(now time.Time) {
	w.silentSince = now
	w.pinged = time.Time{}
	w.helpRequested = false
	w.helpers = nil
	w.reporters = nil
	w.silentOthers = nil
	w.confirmers = nil
	w.published = false
	w.probeNow = false
}

// excludeSuspension subtracts the time for which this router was suspended from the
// silence.
func (w *watch) excludeSuspension(suspended time.Duration, now time.Time) {
	w.silentSince = earlier(w.silentSince.Add(suspended), now)
}

// observeAll acts on the silence of each watched member. The list is copied,
// because a verdict changes whom this router watches.
func (c *Core) observeAll() {
	for _, w := range slices.Clone(c.watches) {
		c.observe(w)
	}
}

// observe takes the next step for a silent member: ping, ask others, suspect, judge.
func (c *Core) observe(w *watch) {
	silence := c.now.Sub(w.silentSince)
	if silence >= c.cfg.ProbeAfter || w.probeNow {
		c.probe(w)
	}
	if silence >= c.cfg.IndirectProbeAfter && !w.helpRequested {
		c.requestIndirectProbes(w)
	}
	if silence >= c.cfg.SuspectAfter && c.canJudge() {
		c.suspect(w)
	}
	if silence >= c.lostAfter() && c.canJudge() && silence >= c.lostAfter()+c.verdictDelay(w) {
		c.judge(w)
	}
}

// probe pings the member directly, and repeats the ping because it or its answer may be
// dropped.
func (c *Core) probe(w *watch) {
	if c.now.Sub(w.pinged) < c.cfg.ProbeEvery {
		return
	}
	w.pinged = c.now
	m := Message{Kind: Ping, Seq: c.nextSeq()}
	if w.published {
		// The ping carries the suspicion, so that the member can refute it.
		m.Updates = []Update{w.member.update()}
	}
	c.send(w.member.Name, m)
}

func (c *Core) nextSeq() uint64 {
	c.seq++
	return c.seq
}

// sendFailed begins to probe at once. A refused connection suggests that the process has
// ended, but a full queue or a middlebox that resets connections looks the same, so the
// times of the verdict do not change.
func (c *Core) sendFailed(to string) {
	for _, w := range c.watches {
		if w.member.Name == to {
			w.probeNow = true
		}
	}
}
