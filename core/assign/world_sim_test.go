package assign

import (
	"fmt"
	"sort"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

const (
	simStep           = 40 * time.Millisecond
	orderTimeout      = 400 * time.Millisecond
	simOldLeaderBound = 3 * time.Second
	simTTL            = 2 * time.Second
	simLongTTL        = 4 * time.Second
	// worldWire is how much longer than it is waited for an order may be on its way, in
	// milliseconds.
	simMaxLateMs = 560
)

// worldHolding is a grant as a target of the world has it.
type simGrant struct {
	from, to keyspace.Key
	token    uint64
	expiry   time.Duration
}

// worldTarget is a target with a clock that runs a little slow.
type simTarget struct {
	id   string
	born int64
	// there says that its entry stands in the store, up that its process runs.
	registered, running, draining bool
	// deafTo are the leaders whose orders don't reach it.
	unreachableFrom map[int]bool
	// heldUp is until when orders are given up before they reach it, and reach it still.
	linkFullUntil time.Duration
	// lostAt is when an order was lost last.
	lastLoss   time.Duration
	grants     []simGrant
	seenTokens []simGrant
}

func (t *simTarget) highestToken(from, to keyspace.Key) uint64 {
	highest := uint64(0)
	for _, s := range t.seenTokens {
		if s.from <= to && from <= s.to {
			highest = max(highest, s.token)
		}
	}
	return highest
}

// note remembers the token of an order, and forgets those that it covers.
func (t *simTarget) rememberToken(o *Order) {
	kept := t.seenTokens[:0]
	for _, s := range t.seenTokens {
		if s.from < o.From || s.to > o.To || s.token > o.Token {
			kept = append(kept, s)
		}
	}
	t.seenTokens = append(kept, simGrant{o.From, o.To, o.Token, 0})
}

// take carries an order out that arrived at a time; it returns whether it was accepted.
func (t *simTarget) execute(o *Order, arrived time.Duration) Outcome {
	if o.Kind == Release {
		t.rememberToken(o)
		t.release(o.From, o.To)
		return Accepted
	}
	if t.highestToken(o.From, o.To) > o.Token {
		return Superseded
	}
	t.rememberToken(o)
	ttl := time.Duration(float64(o.Hold) * (1 + maxClockDrift))
	unexpired := t.grants[:0]
	for _, h := range t.grants {
		if h.expiry > arrived {
			unexpired = append(unexpired, h)
		}
	}
	t.grants = append(unexpired, simGrant{o.From, o.To, o.Token, arrived + ttl})
	return Accepted
}

func (t *simTarget) release(from, to keyspace.Key) {
	var kept []simGrant
	for _, h := range t.grants {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, simGrant{h.from, from - 1, h.token, h.expiry})
		}
		if h.to > to {
			kept = append(kept, simGrant{to + 1, h.to, h.token, h.expiry})
		}
	}
	t.grants = kept
}

func (t *simTarget) holdsKey(k keyspace.Key, now time.Duration) bool {
	if !t.running {
		return false
	}
	for _, h := range t.grants {
		if h.from <= k && k <= h.to && now < h.expiry {
			return true
		}
	}
	return false
}

// worldLeader is a router that leads, or thinks that it does.
type simLeader struct {
	a      *Assigner
	number int
	// cut leaders don't reach the store; kept is when the lease was renewed last.
	cutOff       bool
	leaseRenewed time.Duration
	stopped      bool
	// era is that of the store in which it leads.
	era uint32
}

// delivery is something that happens later.
type scheduled struct {
	at  time.Duration
	run func()
}

type simulation struct {
	now     time.Duration
	targets []*simTarget
	leaders []*simLeader
	table   *keyspace.Table
	pending []scheduled
	// calm worlds move no keys for their load.
	noRebalance bool
	// lossless worlds answer all that arrives.
	lossless bool
	// spaced worlds lose no order to a target within worldHold of another.
	spacedLosses bool
	// mutant breaks a rule of the assignment on purpose.
	mutant string
	// restores has the store come back from copies at times; copy is the last one, nil for none.
	// era counts the restores.
	restores bool
	backup   *keyspace.Table
	era      uint32
	// seed gives each run its own luck without drawing each event.
	rngState uint64
}

func (w *simulation) random(n int) int {
	w.rngState = w.rngState*6364136223846793005 + 1442695040888963407
	return int(w.rngState>>33) % n
}

func (w *simulation) chance(percent int) bool { return w.random(100) < percent }

func (w *simulation) clock() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *simulation) schedule(d time.Duration, run func()) {
	w.pending = append(w.pending, scheduled{w.now + d, run})
}

func (w *simulation) run(until time.Duration, withFaults bool) {
	for w.now < until {
		w.now += simStep
		w.runDue()
		for _, l := range w.leaders {
			w.stepLeader(l)
		}
		if withFaults {
			w.randomFault()
		}
		if withFaults && w.restores {
			w.randomRestore()
		}
		w.checkHolders()
	}
}

func (w *simulation) runDue() {
	due := w.pending
	w.pending = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, d := range due {
		if d.at > w.now {
			w.pending = append(w.pending, d)
			continue
		}
		d.run()
	}
}

func (w *simulation) registeredTargets() []directory.Target {
	var all []directory.Target
	for _, t := range w.targets {
		if t.registered {
			all = append(all, directory.Target{ID: t.id, Born: t.born, Service: "s", Address: t.id, Slots: 4, Draining: t.draining})
		}
	}
	return all
}

func (w *simulation) stepLeader(l *simLeader) {
	if l.stopped {
		return
	}
	current := l == w.leaders[len(w.leaders)-1]
	if !l.cutOff && current {
		l.leaseRenewed = w.now
		l.a.SetTargets(w.clock(), w.registeredTargets())
	}
	// A leader that isn't lost meanwhile takes the lead in a restored store again soon.
	if l.era != w.era && !l.cutOff && current && w.chance(10) {
		l.era = w.era
		l.a.Restored(w.era)
	}
	l.a.SetStoreAway(l.cutOff)
	for k := range 3 {
		l.a.Load().Add(w.clock(), keyspace.Key(w.random(1<<16)>>uint(4*k)), 1)
	}
	if w.chance(10) && !w.noRebalance {
		for _, m := range l.a.Rebalance(w.clock(), nil, 1) {
			l.a.Begin(w.clock(), m)
		}
	}
	actions := l.a.Step(w.clock())
	if actions.Write != nil {
		w.storeTable(l, actions.Write)
	}
	for i := range actions.Orders {
		w.sendOrder(l, &actions.Orders[i])
	}
}

func (w *simulation) storeTable(l *simLeader, write *Write) {
	w.schedule(time.Duration(w.random(60))*time.Millisecond, func() {
		current := l == w.leaders[len(w.leaders)-1]
		if l.era != w.era {
			l.a.Written(write.Generation, false)
			return
		}
		if !current || l.cutOff {
			if !current && !l.cutOff {
				l.stopped = true // the store told it that another leads
			}
			l.a.Written(write.Generation, false)
			return
		}
		w.table = write.Table
		l.a.Written(write.Generation, !w.chance(10))
	})
}

func (w *simulation) sendOrder(l *simLeader, o *Order) {
	if w.now-l.leaseRenewed > simOldLeaderBound {
		w.schedule(orderTimeout, func() { l.a.Done(w.clock(), o.ID, Unanswered, "") })
		return
	}
	if w.mutant == "low fence" && o.Kind == Release {
		o.Token = 0
	}
	if t := w.target(o.Holder); t != nil && w.now < t.linkFullUntil { // in a full queue on its way, and given up before it arrives
		w.schedule(orderTimeout, func() { w.timeOutOrder(l, o) })
		w.schedule(orderTimeout+time.Duration(w.random(simMaxLateMs))*time.Millisecond, func() { w.deliverLate(l, o) })
		return
	}
	w.schedule(time.Duration(w.random(40))*time.Millisecond, func() { w.deliverOrder(l, o) })
}

// giveUp tells a leader that an order got no answer in time.
func (w *simulation) timeOutOrder(l *simLeader, o *Order) {
	outcome := Unanswered
	if w.mutant == "no wire" {
		outcome = Broken
	}
	l.a.Done(w.clock(), o.ID, outcome, "")
}

// arriveLate carries out an order that nobody waits for any more.
func (w *simulation) deliverLate(l *simLeader, o *Order) {
	if t := w.target(o.Holder); t != nil && t.running && !t.unreachableFrom[l.number] {
		t.execute(o, w.now)
	}
}

func (w *simulation) deliverOrder(l *simLeader, o *Order) {
	t := w.target(o.Holder)
	unanswered := func() { l.a.Done(w.clock(), o.ID, Unanswered, "") }
	if t == nil || !t.running || t.unreachableFrom[l.number] {
		w.schedule(orderTimeout, unanswered)
		return
	}
	arrived := w.now
	mayLose := !w.lossless && !(w.spacedLosses && w.now-t.lastLoss < simTTL)
	if mayLose && w.chance(8) { // carried out seconds later, without an answer
		t.lastLoss = w.now
		w.schedule(orderTimeout, unanswered)
		born := t.born
		w.schedule(time.Duration(2000+w.random(10000))*time.Millisecond, func() {
			if t.running && t.born == born {
				t.execute(o, arrived)
			}
		})
		return
	}
	outcome := t.execute(o, arrived)
	if mayLose && w.chance(5) { // carried out, the answer lost
		t.lastLoss = w.now
		w.schedule(orderTimeout, unanswered)
		return
	}
	w.schedule(time.Duration(w.random(40))*time.Millisecond, func() { l.a.Done(w.clock(), o.ID, outcome, "h") })
}

func (w *simulation) target(h keyspace.Holder) *simTarget {
	for _, t := range w.targets {
		if t.id == h.Target && t.born == h.Born {
			return t
		}
	}
	return nil
}

// event has something go wrong now and then.
func (w *simulation) randomFault() {
	if !w.chance(4) {
		return
	}
	t := w.targets[w.random(len(w.targets))]
	l := w.leaders[len(w.leaders)-1]
	switch w.random(9) {
	case 0: // dark, then back as another life
		t.running = false
		w.schedule(time.Duration(w.random(4000))*time.Millisecond, func() { t.registered = false })
		w.schedule(time.Duration(4000+w.random(3000))*time.Millisecond, func() { w.restartTarget(t) })
	case 1: // the entry lapses although the target lives, and comes back
		t.registered = false
		w.schedule(time.Duration(w.random(6000))*time.Millisecond, func() { t.registered = true })
	case 2:
		t.draining = true
		w.schedule(time.Duration(w.random(6000))*time.Millisecond, func() { w.restartTarget(t) })
	case 3: // out of the leader's reach alone
		t.unreachableFrom[l.number] = true
		w.schedule(time.Duration(w.random(8000))*time.Millisecond, func() { delete(t.unreachableFrom, l.number) })
	case 4: // the leader loses the store and the lead, and goes on
		w.scheduleSuccessor(l, true)
	case 5: // the leader is killed
		l.stopped = true
		w.scheduleSuccessor(l, false)
	case 6: // the store is away
		l.cutOff = true
		w.schedule(time.Duration(w.random(3000))*time.Millisecond, func() { l.cutOff = false })
	case 7:
		w.restartTarget(t)
	case 8: // its link is full, then cut
		t.linkFullUntil = w.now + time.Duration(w.random(1000))*time.Millisecond
		w.schedule(t.linkFullUntil-w.now, func() { t.unreachableFrom[l.number] = true })
		w.schedule(8*time.Second, func() { delete(t.unreachableFrom, l.number) })
	}
}

// drawRestore has the store copied, or come back from the copy, now and then.
func (w *simulation) randomRestore() {
	if w.chance(3) && w.table != nil {
		w.backup = w.table.Clone()
	}
	if w.backup == nil || !w.chance(1) {
		return
	}
	w.table = w.backup.Clone()
	w.era++
}

func (w *simulation) restartTarget(t *simTarget) {
	t.born++
	t.running, t.registered, t.draining = true, true, false
	t.grants, t.seenTokens = nil, nil
}

// succeed has another leader take over once the old one's lease has ended.
func (w *simulation) scheduleSuccessor(old *simLeader, cutOff bool) {
	old.cutOff = old.cutOff || cutOff
	w.schedule(1200*time.Millisecond, func() {
		if old != w.leaders[len(w.leaders)-1] {
			return
		}
		w.startLeader()
	})
}

func (w *simulation) startLeader() {
	var table *keyspace.Table
	if w.table != nil {
		table = w.table.Clone()
	}
	cfg := Config{Hold: simTTL, LongHold: simLongTTL, OldLeader: simOldLeaderBound, Era: w.era}
	if w.mutant != "trust the copy" {
		cfg.Outdated = w.era > 0 && (table == nil || table.Era < w.era)
	}
	if w.mutant == "no wait" {
		cfg.OldLeader, cfg.LongHold = -simOldLeaderBound, simTTL
	}
	l := &simLeader{a: TakeOver(w.clock(), cfg, "s", table), number: len(w.leaders), leaseRenewed: w.now, era: w.era}
	if w.mutant == "no lapse" {
		l.a.cfg.Hold, l.a.cfg.LongHold = simTTL, simLongTTL
		for i := range l.a.spans {
			l.a.spans[i].oldLeaderExpiry, l.a.spans[i].inherited = time.Time{}, false
		}
	}
	if n := len(w.leaders); n > 0 {
		w.schedule(300*time.Millisecond, func() { w.limitOldLeader(l, w.leaders[n-1]) })
	}
	w.leaders = append(w.leaders, l)
}

// tellStops tells a leader when the one before gives its last grants.
func (w *simulation) limitOldLeader(l, old *simLeader) {
	last := w.clock().Add(old.leaseRenewed + simOldLeaderBound - w.now)
	switch {
	case l.stopped:
	case w.mutant == "":
		l.a.OldLeaderStops(last, last)
	case w.mutant == "no long grants":
		l.a.OldLeaderStops(last, time.Time{})
	}
}

// check finds keys that two targets hold.
func (w *simulation) checkHolders() {
	for k := 0; k < 1<<16; k += 1009 {
		holder := ""
		for _, t := range w.targets {
			if !t.holdsKey(keyspace.Key(k), w.now) {
				continue
			}
			if holder != "" {
				panic(twoHoldersError(fmt.Sprintf("at %v %s and %s hold key %d", w.now, holder, t.id, k)))
			}
			holder = t.id
		}
	}
}

// twoHolders is the fault that the world looks for.
type twoHoldersError string

func newSimulation(seed uint64, mutant string) *simulation {
	w := &simulation{rngState: seed, mutant: mutant}
	for i := range 4 {
		w.targets = append(w.targets, &simTarget{id: fmt.Sprintf("t%d", i), born: 1, registered: true, running: true, unreachableFrom: map[int]bool{}})
	}
	w.startLeader()
	return w
}

// found runs a world and returns the keys that two targets held, or nothing.
func findTwoHolders(w *simulation) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			two, ok := r.(twoHoldersError)
			if !ok {
				panic(r)
			}
			fault = string(two)
		}
	}()
	w.run(4*time.Second, false)
	w.run(30*time.Second, true)
	return ""
}

// held is the number of targets that hold the key.
func (w *simulation) countHolders(k keyspace.Key) int {
	n := 0
	for _, target := range w.targets {
		if target.holdsKey(k, w.now) {
			n++
		}
	}
	return n
}

// heal ends all that is wrong and gives the assignment time to settle.
func (w *simulation) heal() {
	w.run(w.now+13*time.Second, false)
	for _, t := range w.targets {
		w.restartTarget(t)
		t.unreachableFrom = map[int]bool{}
	}
	for _, l := range w.leaders {
		l.cutOff = false
	}
	if w.leaders[len(w.leaders)-1].stopped {
		w.startLeader()
	}
	w.noRebalance = true
	w.run(w.now+14*time.Second, false)
}
