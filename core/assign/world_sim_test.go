package assign

import (
	"fmt"
	"sort"
	"time"

	"tarragongw/core/directory"
	"tarragongw/core/keyspace"
)

const (
	stepEvery    = 40 * time.Millisecond
	orderTimeout = 400 * time.Millisecond
	worldBound   = 3 * time.Second
	worldHold    = 2 * time.Second
	worldLong    = 4 * time.Second
	// worldWire is how much longer than it is waited for an order may be on its way, in
	// milliseconds.
	worldWire = 560
)

// worldHolding is a grant as a target of the world has it.
type worldHolding struct {
	from, to keyspace.Key
	token    uint64
	until    time.Duration
}

// worldTarget is a target with a clock that runs a little slow.
type worldTarget struct {
	id   string
	born int64
	// there says that its entry stands in the store, up that its process runs.
	there, up, draining bool
	// deafTo are the leaders whose orders don't reach it.
	deafTo map[int]bool
	// heldUp is until when orders are given up before they reach it, and reach it still.
	heldUp time.Duration
	// lostAt is when an order was lost last.
	lostAt time.Duration
	holds  []worldHolding
	seen   []worldHolding
}

func (t *worldTarget) highest(from, to keyspace.Key) uint64 {
	highest := uint64(0)
	for _, s := range t.seen {
		if s.from <= to && from <= s.to {
			highest = max(highest, s.token)
		}
	}
	return highest
}

// note remembers the token of an order, and forgets those that it covers.
func (t *worldTarget) note(o *Order) {
	kept := t.seen[:0]
	for _, s := range t.seen {
		if s.from < o.From || s.to > o.To || s.token > o.Token {
			kept = append(kept, s)
		}
	}
	t.seen = append(kept, worldHolding{o.From, o.To, o.Token, 0})
}

// take carries an order out that arrived at a time; it returns whether it was accepted.
func (t *worldTarget) take(o *Order, arrived time.Duration) Outcome {
	if o.Kind == Release {
		t.note(o)
		t.drop(o.From, o.To)
		return Accepted
	}
	if t.highest(o.From, o.To) > o.Token {
		return Superseded
	}
	t.note(o)
	slow := time.Duration(float64(o.Hold) * (1 + clockSlack))
	live := t.holds[:0]
	for _, h := range t.holds {
		if h.until > arrived {
			live = append(live, h)
		}
	}
	t.holds = append(live, worldHolding{o.From, o.To, o.Token, arrived + slow})
	return Accepted
}

func (t *worldTarget) drop(from, to keyspace.Key) {
	var kept []worldHolding
	for _, h := range t.holds {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, worldHolding{h.from, from - 1, h.token, h.until})
		}
		if h.to > to {
			kept = append(kept, worldHolding{to + 1, h.to, h.token, h.until})
		}
	}
	t.holds = kept
}

func (t *worldTarget) holdsKey(k keyspace.Key, now time.Duration) bool {
	if !t.up {
		return false
	}
	for _, h := range t.holds {
		if h.from <= k && k <= h.to && now < h.until {
			return true
		}
	}
	return false
}

// worldLeader is a router that leads, or thinks that it does.
type worldLeader struct {
	a      *Assigner
	number int
	// cut leaders don't reach the store; kept is when the lease was renewed last.
	cut  bool
	kept time.Duration
	dead bool
	// era is that of the store in which it leads.
	era uint32
}

// delivery is something that happens later.
type delivery struct {
	at time.Duration
	do func()
}

type world struct {
	now     time.Duration
	targets []*worldTarget
	leaders []*worldLeader
	table   *keyspace.Table
	later   []delivery
	// calm worlds move no keys for their load.
	calm bool
	// lossless worlds answer all that arrives.
	lossless bool
	// spaced worlds lose no order to a target within worldHold of another.
	spaced bool
	// mutant breaks a rule of the assignment on purpose.
	mutant string
	// restores has the store come back from copies at times; copy is the last one, nil for none.
	// era counts the restores.
	restores bool
	copy     *keyspace.Table
	era      uint32
	// seed gives each run its own luck without drawing each event.
	luck uint64
}

func (w *world) random(n int) int {
	w.luck = w.luck*6364136223846793005 + 1442695040888963407
	return int(w.luck>>33) % n
}

func (w *world) chance(percent int) bool { return w.random(100) < percent }

func (w *world) clock() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, delivery{w.now + d, do})
}

func (w *world) run(until time.Duration, events bool) {
	for w.now < until {
		w.now += stepEvery
		w.deliver()
		for _, l := range w.leaders {
			w.step(l)
		}
		if events {
			w.event()
		}
		if events && w.restores {
			w.drawRestore()
		}
		w.check()
	}
}

func (w *world) deliver() {
	due := w.later
	w.later = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, d := range due {
		if d.at > w.now {
			w.later = append(w.later, d)
			continue
		}
		d.do()
	}
}

func (w *world) listed() []directory.Target {
	var all []directory.Target
	for _, t := range w.targets {
		if t.there {
			all = append(all, directory.Target{ID: t.id, Born: t.born, Service: "s", Address: t.id, Slots: 4, Draining: t.draining})
		}
	}
	return all
}

func (w *world) step(l *worldLeader) {
	if l.dead {
		return
	}
	current := l == w.leaders[len(w.leaders)-1]
	if !l.cut && current {
		l.kept = w.now
		l.a.SetTargets(w.clock(), w.listed())
	}
	// A leader that isn't lost meanwhile takes the lead in a restored store again soon.
	if l.era != w.era && !l.cut && current && w.chance(10) {
		l.era = w.era
		l.a.Restored(w.era)
	}
	l.a.SetStoreAway(l.cut)
	for k := range 3 {
		l.a.Load().Add(w.clock(), keyspace.Key(w.random(1<<16)>>uint(4*k)), 1)
	}
	if w.chance(10) && !w.calm {
		for _, m := range l.a.Rebalance(w.clock(), nil, 1) {
			l.a.Begin(w.clock(), m)
		}
	}
	actions := l.a.Step(w.clock())
	if actions.Write != nil {
		w.write(l, actions.Write)
	}
	for i := range actions.Orders {
		w.order(l, &actions.Orders[i])
	}
}

func (w *world) write(l *worldLeader, write *Write) {
	w.after(time.Duration(w.random(60))*time.Millisecond, func() {
		current := l == w.leaders[len(w.leaders)-1]
		if l.era != w.era {
			l.a.Written(write.Generation, false)
			return
		}
		if !current || l.cut {
			if !current && !l.cut {
				l.dead = true // the store told it that another leads
			}
			l.a.Written(write.Generation, false)
			return
		}
		w.table = write.Table
		l.a.Written(write.Generation, !w.chance(10))
	})
}

func (w *world) order(l *worldLeader, o *Order) {
	if w.now-l.kept > worldBound {
		w.after(orderTimeout, func() { l.a.Done(w.clock(), o.ID, Unanswered, "") })
		return
	}
	if w.mutant == "low fence" && o.Kind == Release {
		o.Token = 0
	}
	if t := w.target(o.Holder); t != nil && w.now < t.heldUp { // in a full queue on its way, and given up before it arrives
		w.after(orderTimeout, func() { w.giveUp(l, o) })
		w.after(orderTimeout+time.Duration(w.random(worldWire))*time.Millisecond, func() { w.arriveLate(l, o) })
		return
	}
	w.after(time.Duration(w.random(40))*time.Millisecond, func() { w.arrive(l, o) })
}

// giveUp tells a leader that an order got no answer in time.
func (w *world) giveUp(l *worldLeader, o *Order) {
	outcome := Unanswered
	if w.mutant == "no wire" {
		outcome = Broken
	}
	l.a.Done(w.clock(), o.ID, outcome, "")
}

// arriveLate carries out an order that nobody waits for any more.
func (w *world) arriveLate(l *worldLeader, o *Order) {
	if t := w.target(o.Holder); t != nil && t.up && !t.deafTo[l.number] {
		t.take(o, w.now)
	}
}

func (w *world) arrive(l *worldLeader, o *Order) {
	t := w.target(o.Holder)
	unanswered := func() { l.a.Done(w.clock(), o.ID, Unanswered, "") }
	if t == nil || !t.up || t.deafTo[l.number] {
		w.after(orderTimeout, unanswered)
		return
	}
	arrived := w.now
	lossy := !w.lossless && !(w.spaced && w.now-t.lostAt < worldHold)
	if lossy && w.chance(8) { // carried out seconds later, without an answer
		t.lostAt = w.now
		w.after(orderTimeout, unanswered)
		born := t.born
		w.after(time.Duration(2000+w.random(10000))*time.Millisecond, func() {
			if t.up && t.born == born {
				t.take(o, arrived)
			}
		})
		return
	}
	outcome := t.take(o, arrived)
	if lossy && w.chance(5) { // carried out, the answer lost
		t.lostAt = w.now
		w.after(orderTimeout, unanswered)
		return
	}
	w.after(time.Duration(w.random(40))*time.Millisecond, func() { l.a.Done(w.clock(), o.ID, outcome, "h") })
}

func (w *world) target(h keyspace.Holder) *worldTarget {
	for _, t := range w.targets {
		if t.id == h.Target && t.born == h.Born {
			return t
		}
	}
	return nil
}

// event has something go wrong now and then.
func (w *world) event() {
	if !w.chance(4) {
		return
	}
	t := w.targets[w.random(len(w.targets))]
	l := w.leaders[len(w.leaders)-1]
	switch w.random(9) {
	case 0: // dark, then back as another life
		t.up = false
		w.after(time.Duration(w.random(4000))*time.Millisecond, func() { t.there = false })
		w.after(time.Duration(4000+w.random(3000))*time.Millisecond, func() { w.rebirth(t) })
	case 1: // the entry lapses although the target lives, and comes back
		t.there = false
		w.after(time.Duration(w.random(6000))*time.Millisecond, func() { t.there = true })
	case 2:
		t.draining = true
		w.after(time.Duration(w.random(6000))*time.Millisecond, func() { w.rebirth(t) })
	case 3: // out of the leader's reach alone
		t.deafTo[l.number] = true
		w.after(time.Duration(w.random(8000))*time.Millisecond, func() { delete(t.deafTo, l.number) })
	case 4: // the leader loses the store and the lead, and goes on
		w.succeed(l, true)
	case 5: // the leader is killed
		l.dead = true
		w.succeed(l, false)
	case 6: // the store is away
		l.cut = true
		w.after(time.Duration(w.random(3000))*time.Millisecond, func() { l.cut = false })
	case 7:
		w.rebirth(t)
	case 8: // its link is full, then cut
		t.heldUp = w.now + time.Duration(w.random(1000))*time.Millisecond
		w.after(t.heldUp-w.now, func() { t.deafTo[l.number] = true })
		w.after(8*time.Second, func() { delete(t.deafTo, l.number) })
	}
}

// drawRestore has the store copied, or come back from the copy, now and then.
func (w *world) drawRestore() {
	if w.chance(3) && w.table != nil {
		w.copy = w.table.Clone()
	}
	if w.copy == nil || !w.chance(1) {
		return
	}
	w.table = w.copy.Clone()
	w.era++
}

func (w *world) rebirth(t *worldTarget) {
	t.born++
	t.up, t.there, t.draining = true, true, false
	t.holds, t.seen = nil, nil
}

// succeed has another leader take over once the old one's lease has ended.
func (w *world) succeed(old *worldLeader, cut bool) {
	old.cut = old.cut || cut
	w.after(1200*time.Millisecond, func() {
		if old != w.leaders[len(w.leaders)-1] {
			return
		}
		w.lead()
	})
}

func (w *world) lead() {
	var table *keyspace.Table
	if w.table != nil {
		table = w.table.Clone()
	}
	cfg := Config{Hold: worldHold, LongHold: worldLong, OldLeader: worldBound, Era: w.era}
	if w.mutant != "trust the copy" {
		cfg.Outdated = w.era > 0 && (table == nil || table.Era < w.era)
	}
	if w.mutant == "no wait" {
		cfg.OldLeader, cfg.LongHold = -worldBound, worldHold
	}
	l := &worldLeader{a: TakeOver(w.clock(), cfg, "s", table), number: len(w.leaders), kept: w.now, era: w.era}
	if w.mutant == "no lapse" {
		l.a.cfg.Hold, l.a.cfg.LongHold = worldHold, worldLong
		for i := range l.a.spans {
			l.a.spans[i].oldLapse, l.a.spans[i].inherited = time.Time{}, false
		}
	}
	if n := len(w.leaders); n > 0 {
		w.after(300*time.Millisecond, func() { w.tellStops(l, w.leaders[n-1]) })
	}
	w.leaders = append(w.leaders, l)
}

// tellStops tells a leader when the one before gives its last grants.
func (w *world) tellStops(l, old *worldLeader) {
	last := w.clock().Add(old.kept + worldBound - w.now)
	switch {
	case l.dead:
	case w.mutant == "":
		l.a.OldLeaderStops(last, last)
	case w.mutant == "no long grants":
		l.a.OldLeaderStops(last, time.Time{})
	}
}

// check finds keys that two targets hold.
func (w *world) check() {
	for k := 0; k < 1<<16; k += 1009 {
		holder := ""
		for _, t := range w.targets {
			if !t.holdsKey(keyspace.Key(k), w.now) {
				continue
			}
			if holder != "" {
				panic(twoHolders(fmt.Sprintf("at %v %s and %s hold key %d", w.now, holder, t.id, k)))
			}
			holder = t.id
		}
	}
}

// twoHolders is the fault that the world looks for.
type twoHolders string

func newWorld(seed uint64, mutant string) *world {
	w := &world{luck: seed, mutant: mutant}
	for i := range 4 {
		w.targets = append(w.targets, &worldTarget{id: fmt.Sprintf("t%d", i), born: 1, there: true, up: true, deafTo: map[int]bool{}})
	}
	w.lead()
	return w
}

// found runs a world and returns the keys that two targets held, or nothing.
func found(w *world) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			two, ok := r.(twoHolders)
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
func (w *world) held(k keyspace.Key) int {
	n := 0
	for _, target := range w.targets {
		if target.holdsKey(k, w.now) {
			n++
		}
	}
	return n
}

// heal ends all that is wrong and gives the assignment time to settle.
func (w *world) heal() {
	w.run(w.now+13*time.Second, false)
	for _, t := range w.targets {
		w.rebirth(t)
		t.deafTo = map[int]bool{}
	}
	for _, l := range w.leaders {
		l.cut = false
	}
	if w.leaders[len(w.leaders)-1].dead {
		w.lead()
	}
	w.calm = true
	w.run(w.now+14*time.Second, false)
}
