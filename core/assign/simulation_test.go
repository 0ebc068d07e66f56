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
	// simMaxLateMs bounds how long after its timeout an order may still arrive, in
	// milliseconds.
	simMaxLateMs = 560
	// simEntryLag is how long a restarted target runs before its entry says so. Orders to its former instance reach it
	// meanwhile, because it has the same id and address.
	simEntryLag = 200 * time.Millisecond
)

// simGrant is a grant as a simulated target has it.
type simGrant struct {
	from, to keyspace.Key
	token    uint64
	expiry   time.Duration
}

// simTarget is a target whose clock runs slightly slow.
type simTarget struct {
	id       string
	instance int64
	// reported is the instance in its entry, which lags behind a restart by simEntryLag.
	reported int64
	// registered reports whether its entry is in the store, and running whether its process
	// runs.
	registered, running, draining bool
	// cutOff targets don't reach the store, so that a restart of theirs is not reported.
	cutOff bool
	// unreachableFrom has the numbers of the leaders whose orders don't reach the target.
	unreachableFrom map[int]bool
	// linkFullUntil is until when orders to the target time out before they arrive, and still
	// arrive later.
	linkFullUntil time.Duration
	// lastLoss is when an order or an answer was last lost.
	lastLoss   time.Duration
	grants     []simGrant
	seenTokens []simGrant
}

func (t *simTarget) highestToken(from, to keyspace.Key) uint64 {
	highest := uint64(0)
	for _, seen := range t.seenTokens {
		if seen.from <= to && from <= seen.to {
			highest = max(highest, seen.token)
		}
	}
	return highest
}

// rememberToken records the token of an order and drops the tokens that it covers.
func (t *simTarget) rememberToken(o *Order) {
	kept := t.seenTokens[:0]
	for _, seen := range t.seenTokens {
		if seen.from < o.From || seen.to > o.To || seen.token > o.Token {
			kept = append(kept, seen)
		}
	}
	t.seenTokens = append(kept, simGrant{o.From, o.To, o.Token, 0})
}

// execute carries out an order that arrived at the given time, and returns its outcome.
func (t *simTarget) execute(o *Order, arrived time.Duration) Outcome {
	if o.Kind == Probe {
		return Accepted
	}
	if o.Kind == Release {
		t.rememberToken(o)
		t.release(o.From, o.To)
		return Accepted
	}
	if t.highestToken(o.From, o.To) > o.Token {
		return Superseded
	}
	t.rememberToken(o)
	ttl := time.Duration(float64(o.TTL) * (1 + maxClockDrift))
	unexpired := t.grants[:0]
	for _, g := range t.grants {
		if g.expiry > arrived {
			unexpired = append(unexpired, g)
		}
	}
	t.grants = append(unexpired, simGrant{o.From, o.To, o.Token, arrived + ttl})
	return Accepted
}

func (t *simTarget) release(from, to keyspace.Key) {
	var kept []simGrant
	for _, g := range t.grants {
		if g.to < from || to < g.from {
			kept = append(kept, g)
			continue
		}
		if g.from < from {
			kept = append(kept, simGrant{g.from, from - 1, g.token, g.expiry})
		}
		if g.to > to {
			kept = append(kept, simGrant{to + 1, g.to, g.token, g.expiry})
		}
	}
	t.grants = kept
}

func (t *simTarget) holdsKey(k keyspace.Key, now time.Duration) bool {
	if !t.running {
		return false
	}
	for _, g := range t.grants {
		if g.from <= k && k <= g.to && now < g.expiry {
			return true
		}
	}
	return false
}

// simLeader is a router that leads, or believes that it does.
type simLeader struct {
	assigner *Assigner
	number   int
	// cutOff leaders don't reach the store. leaseRenewed is when the lease was last renewed.
	cutOff       bool
	leaseRenewed time.Duration
	stopped      bool
	// era is the store era in which it leads.
	era uint32
}

// scheduled is a function to run at a later time.
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
	// noRebalance turns off moves for load.
	noRebalance bool
	// lossless simulations lose no order or answer.
	lossless bool
	// spacedLosses keeps two losses of orders to one target at least simTTL apart.
	spacedLosses bool
	// mutant names the rule of the assignment that is broken on purpose; empty for none.
	mutant string
	// restores has the store restored from backups at random. backup is the last backup, nil
	// if there is none, and era counts the restores.
	restores bool
	backup   *keyspace.Table
	era      uint32
	// evacuations has data centres evacuated at random; evacuatedSince is when they were, by data centre.
	evacuations    bool
	evacuatedSince map[int]time.Duration
	// limits has targets state limits at random; limited are those that do.
	limits  bool
	limited map[string]bool
	// restartsAtOrders has targets cut off from the store at random, and restart at random moments around the orders that they carry out.
	restartsAtOrders bool
	// longRuns has leaders learn at random that runs take long; none gives grants for outages of the store then.
	longRuns bool
	// rngState is the state of the random number generator, initially the seed of the run.
	rngState uint64
}

func (sim *simulation) random(n int) int {
	sim.rngState = sim.rngState*6364136223846793005 + 1442695040888963407
	return int(sim.rngState>>33) % n
}

func (sim *simulation) chance(percent int) bool { return sim.random(100) < percent }

func (sim *simulation) clock() time.Time { return time.Unix(1000, 0).Add(sim.now) }

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.pending = append(sim.pending, scheduled{sim.now + d, run})
}

func (sim *simulation) run(until time.Duration, withFaults bool) {
	for sim.now < until {
		sim.now += simStep
		sim.runDue()
		for _, l := range sim.leaders {
			sim.stepLeader(l)
		}
		if withFaults {
			sim.randomFault()
		}
		if withFaults && sim.restores {
			sim.randomRestore()
		}
		if withFaults && sim.evacuations {
			sim.randomEvacuation()
		}
		if withFaults && sim.limits && sim.chance(3) {
			id := sim.targets[sim.random(len(sim.targets))].id
			sim.limited[id] = !sim.limited[id]
		}
		sim.panicOnTwoHolders()
	}
}

func (sim *simulation) runDue() {
	due := sim.pending
	sim.pending = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, d := range due {
		if d.at > sim.now {
			sim.pending = append(sim.pending, d)
			continue
		}
		d.run()
	}
}

func (sim *simulation) registeredTargets() []directory.Target {
	var all []directory.Target
	for i, t := range sim.targets {
		if !t.registered {
			continue
		}
		target := directory.Target{ID: t.id, StartUnixMilli: t.reported, Service: "s", Address: t.id, Slots: 4, Draining: t.draining, Limited: sim.limited[t.id], Limit: 1}
		if since, evacuated := sim.evacuatedSince[i%simDataCentres]; evacuated {
			target.Evacuated, target.EvacuatedAfter = true, time.Unix(1000, 0).Add(since)
		}
		all = append(all, target)
	}
	return all
}

// simDataCentres is the number of data centres that the targets are in, in turn.
const simDataCentres = 2

// randomEvacuation begins and ends evacuations at random times.
func (sim *simulation) randomEvacuation() {
	if !sim.chance(2) {
		return
	}
	dataCentre := sim.random(simDataCentres)
	if _, evacuated := sim.evacuatedSince[dataCentre]; evacuated {
		delete(sim.evacuatedSince, dataCentre)
		return
	}
	sim.evacuatedSince[dataCentre] = sim.now
}

func (sim *simulation) stepLeader(l *simLeader) {
	if l.stopped {
		return
	}
	current := l == sim.leaders[len(sim.leaders)-1]
	if !l.cutOff && current {
		l.leaseRenewed = sim.now
		l.assigner.SetTargets(sim.clock(), sim.registeredTargets())
	}
	// A leader that is still current soon leads again in the restored store.
	if l.era != sim.era && !l.cutOff && current && sim.chance(10) {
		l.era = sim.era
		l.assigner.StoreRestored(sim.era)
	}
	l.assigner.SetStoreUnreachable(l.cutOff && !sim.longRuns)
	for k := range 3 {
		l.assigner.Load().Add(sim.clock(), keyspace.Key(sim.random(1<<16)>>uint(4*k)), 1)
	}
	if sim.chance(10) && !sim.noRebalance {
		for _, m := range l.assigner.Rebalance(sim.clock(), nil, 1) {
			l.assigner.StartMove(sim.clock(), m)
		}
	}
	if sim.longRuns && sim.chance(5) {
		l.assigner.SetWorkTime(time.Duration(sim.random(4000)) * time.Millisecond)
	}
	if sim.mutant == "forget grants at a restart" {
		l.assigner.forgetGrantsOfRestarted()
	}
	actions := l.assigner.Step(sim.clock())
	if actions.Write != nil {
		sim.storeTable(l, actions.Write)
	}
	for i := range actions.Orders {
		sim.sendOrder(l, &actions.Orders[i])
	}
}

// forgetGrantsOfRestarted is a mutant: a new instance of a holder counts as one that nothing was sent to.
func (a *Assigner) forgetGrantsOfRestarted() {
	for i := range a.spans {
		s := &a.spans[i]
		if c := a.candidates[s.Target]; c != nil && c.target.StartUnixMilli != s.StartUnixMilli {
			s.inherited, s.expiry, s.oldLeaderExpiry = false, time.Time{}, time.Time{}
		}
	}
}

func (sim *simulation) storeTable(l *simLeader, write *Write) {
	sim.schedule(time.Duration(sim.random(60))*time.Millisecond, func() {
		current := l == sim.leaders[len(sim.leaders)-1]
		if l.era != sim.era {
			l.assigner.WriteDone(write.Generation, false)
			return
		}
		if !current || l.cutOff {
			if !current && !l.cutOff {
				l.stopped = true // the store answered that another router leads
			}
			l.assigner.WriteDone(write.Generation, false)
			return
		}
		sim.table = write.Table
		l.assigner.WriteDone(write.Generation, !sim.chance(10))
	})
}

func (sim *simulation) sendOrder(l *simLeader, o *Order) {
	if sim.now-l.leaseRenewed > simOldLeaderBound {
		sim.schedule(orderTimeout, func() { l.assigner.OrderDone(sim.clock(), o.ID, Unanswered, "") })
		return
	}
	if sim.mutant == "low release token" && o.Kind == Release {
		o.Token = 0
	}
	if t := sim.target(o.Holder); t != nil && sim.now < t.linkFullUntil { // queued on a full link: times out before it arrives
		sim.schedule(orderTimeout, func() { sim.timeOutOrder(l, o) })
		sim.schedule(orderTimeout+time.Duration(sim.random(simMaxLateMs))*time.Millisecond, func() { sim.deliverLate(l, o) })
		return
	}
	sim.schedule(time.Duration(sim.random(40))*time.Millisecond, func() { sim.deliverOrder(l, o) })
}

// timeOutOrder reports to a leader that an order got no answer in time.
func (sim *simulation) timeOutOrder(l *simLeader, o *Order) {
	outcome := Unanswered
	if sim.mutant == "ignore late arrival" {
		outcome = Broken
	}
	l.assigner.OrderDone(sim.clock(), o.ID, outcome, "")
}

// deliverLate carries out an order after its timeout.
func (sim *simulation) deliverLate(l *simLeader, o *Order) {
	if t := sim.target(o.Holder); t != nil && t.running && !t.unreachableFrom[l.number] {
		t.execute(o, sim.now)
	}
}

func (sim *simulation) deliverOrder(l *simLeader, o *Order) {
	t := sim.target(o.Holder)
	unanswered := func() { l.assigner.OrderDone(sim.clock(), o.ID, Unanswered, "") }
	if t == nil || !t.running || t.unreachableFrom[l.number] {
		sim.schedule(orderTimeout, unanswered)
		return
	}
	arrived := sim.now
	if sim.restartsAtOrders && o.Kind != Probe && sim.chance(2) {
		sim.schedule(time.Duration(sim.random(500))*time.Millisecond, func() { sim.restartTarget(t) })
	}
	mayLose := !sim.lossless && !(sim.spacedLosses && sim.now-t.lastLoss < simTTL)
	if mayLose && sim.chance(8) { // executed seconds later, without an answer
		t.lastLoss = sim.now
		sim.schedule(orderTimeout, unanswered)
		instance := t.instance
		sim.schedule(time.Duration(2000+sim.random(10000))*time.Millisecond, func() {
			if t.running && t.instance == instance {
				t.execute(o, arrived)
			}
		})
		return
	}
	outcome := t.execute(o, arrived)
	if mayLose && sim.chance(5) { // executed, the answer lost
		t.lastLoss = sim.now
		sim.schedule(orderTimeout, unanswered)
		return
	}
	sim.schedule(time.Duration(sim.random(40))*time.Millisecond, func() { l.assigner.OrderDone(sim.clock(), o.ID, outcome, "h") })
}

// target returns the target that orders to a holder reach: also a later instance of it, at the same address, which knows no
// token by which to refuse them.
func (sim *simulation) target(h keyspace.Holder) *simTarget {
	for _, t := range sim.targets {
		if t.id == h.Target {
			return t
		}
	}
	return nil
}

// randomFault injects a fault at random times.
func (sim *simulation) randomFault() {
	if !sim.chance(4) {
		return
	}
	t := sim.targets[sim.random(len(sim.targets))]
	l := sim.leaders[len(sim.leaders)-1]
	faults := 9
	if sim.restartsAtOrders {
		faults = 10
	}
	switch sim.random(faults) {
	case 0: // the target ends without deregistering; a new instance starts later
		t.running = false
		sim.schedule(time.Duration(sim.random(4000))*time.Millisecond, func() { t.registered = false })
		sim.schedule(time.Duration(4000+sim.random(3000))*time.Millisecond, func() { sim.restartTarget(t) })
	case 1: // the target's entry expires although it runs, and is written again
		t.registered = false
		sim.schedule(time.Duration(sim.random(6000))*time.Millisecond, func() { t.registered = true })
	case 2:
		t.draining = true
		sim.schedule(time.Duration(sim.random(6000))*time.Millisecond, func() { sim.restartTarget(t) })
	case 3: // the target is unreachable from this leader only
		t.unreachableFrom[l.number] = true
		sim.schedule(time.Duration(sim.random(8000))*time.Millisecond, func() { delete(t.unreachableFrom, l.number) })
	case 4: // the leader loses the store and its lease, and goes on sending
		sim.scheduleSuccessor(l, true)
	case 5: // the leader is killed
		l.stopped = true
		sim.scheduleSuccessor(l, false)
	case 6: // the store is unreachable
		l.cutOff = true
		sim.schedule(time.Duration(sim.random(3000))*time.Millisecond, func() { l.cutOff = false })
	case 7:
		sim.restartTarget(t)
	case 9: // the target doesn't reach the store, and its entry lapses
		t.cutOff = true
		sim.schedule(time.Duration(sim.random(1500))*time.Millisecond, func() { t.registered = t.registered && !t.cutOff })
		sim.schedule(time.Duration(1500+sim.random(6000))*time.Millisecond, func() { sim.reconnectTarget(t) })
	case 8: // the target's link is full, then cut
		t.linkFullUntil = sim.now + time.Duration(sim.random(1000))*time.Millisecond
		sim.schedule(t.linkFullUntil-sim.now, func() { t.unreachableFrom[l.number] = true })
		sim.schedule(8*time.Second, func() { delete(t.unreachableFrom, l.number) })
	}
}

// randomRestore takes a backup of the store, or restores it, at random times.
func (sim *simulation) randomRestore() {
	if sim.chance(3) && sim.table != nil {
		sim.backup = sim.table.Clone()
	}
	if sim.backup == nil || !sim.chance(1) {
		return
	}
	sim.table = sim.backup.Clone()
	sim.era++
}

func (sim *simulation) restartTarget(t *simTarget) {
	t.instance++
	t.running = true
	t.grants, t.seenTokens = nil, nil
	instance := t.instance
	sim.schedule(simEntryLag, func() {
		if t.instance == instance && !t.cutOff {
			t.reported, t.registered, t.draining = instance, true, false
		}
	})
}

// reconnectTarget has a target reach the store again, and write its entry.
func (sim *simulation) reconnectTarget(t *simTarget) {
	t.cutOff = false
	if t.running {
		t.reported, t.registered, t.draining = t.instance, true, false
	}
}

// scheduleSuccessor has another leader take over once the old one's lease has expired.
func (sim *simulation) scheduleSuccessor(old *simLeader, cutOff bool) {
	old.cutOff = old.cutOff || cutOff
	sim.schedule(1200*time.Millisecond, func() {
		if old != sim.leaders[len(sim.leaders)-1] {
			return
		}
		sim.startLeader()
	})
}

func (sim *simulation) startLeader() {
	var table *keyspace.Table
	if sim.table != nil {
		table = sim.table.Clone()
	}
	if table != nil && sim.mutant == "ignore declared grants" {
		table.LongestTTL = 0
	}
	cfg := Config{GrantTTL: simTTL, OutageGrantTTL: simLongTTL, OldLeaderBound: simOldLeaderBound, Era: sim.era}
	if sim.mutant != "trust restored table" {
		cfg.TableOutdated = sim.era > 0 && (table == nil || table.Era < sim.era)
	}
	if sim.mutant == "no wait for old leader" {
		cfg.OldLeaderBound, cfg.OutageGrantTTL = -simOldLeaderBound, simTTL
	}
	l := &simLeader{assigner: TakeOver(sim.clock(), cfg, "s", table), number: len(sim.leaders), leaseRenewed: sim.now, era: sim.era}
	if sim.mutant == "count every release" {
		l.assigner.oldLeaderUntil = time.Time{}
	}
	if sim.mutant == "ignore old grants" {
		l.assigner.cfg.GrantTTL, l.assigner.cfg.OutageGrantTTL = simTTL, simLongTTL
		for i := range l.assigner.spans {
			l.assigner.spans[i].oldLeaderExpiry, l.assigner.spans[i].inherited = time.Time{}, false
		}
	}
	if n := len(sim.leaders); n > 0 {
		sim.schedule(300*time.Millisecond, func() { sim.limitOldLeader(l, sim.leaders[n-1]) })
	}
	sim.leaders = append(sim.leaders, l)
}

// limitOldLeader passes to a leader when the last grants of the one before it may arrive.
func (sim *simulation) limitOldLeader(l, old *simLeader) {
	until := sim.clock().Add(old.leaseRenewed + simOldLeaderBound - sim.now)
	bound := OldLeaderBound{Until: until, LastGrant: until.Add(LateArrivalBound), LastLongGrant: until.Add(LateArrivalBound)}
	if sim.longRuns || sim.mutant == "ignore long grants" {
		bound.LastLongGrant = time.Time{}
	}
	switch {
	case l.stopped:
	case sim.mutant == "", sim.longRuns, sim.mutant == "ignore long grants", sim.mutant == "count every release":
		l.assigner.BoundOldLeader(bound)
	}
}

// panicOnTwoHolders panics if two targets hold the same key.
func (sim *simulation) panicOnTwoHolders() {
	for k := 0; k < 1<<16; k += 1009 {
		holder := ""
		for _, t := range sim.targets {
			if !t.holdsKey(keyspace.Key(k), sim.now) {
				continue
			}
			if holder != "" {
				panic(twoHoldersFault(fmt.Sprintf("at %v %s and %s hold key %d", sim.now, holder, t.id, k)))
			}
			holder = t.id
		}
	}
}

// twoHoldersFault describes a key with two holders, the fault that the simulation looks for.
type twoHoldersFault string

func newSimulation(seed uint64, mutant string) *simulation {
	sim := &simulation{rngState: seed, mutant: mutant, evacuatedSince: map[int]time.Duration{}, limited: map[string]bool{}}
	for i := range 4 {
		sim.targets = append(sim.targets, &simTarget{id: fmt.Sprintf("t%d", i), instance: 1, reported: 1, registered: true, running: true, unreachableFrom: map[int]bool{}})
	}
	sim.startLeader()
	return sim
}

// findTwoHolders runs a simulation and returns a description of the first key with two
// holders, or an empty string.
func findTwoHolders(sim *simulation) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			two, ok := r.(twoHoldersFault)
			if !ok {
				panic(r)
			}
			fault = string(two)
		}
	}()
	sim.run(4*time.Second, false)
	sim.run(30*time.Second, true)
	return ""
}

// countHolders returns the number of targets that hold the key.
func (sim *simulation) countHolders(k keyspace.Key) int {
	n := 0
	for _, target := range sim.targets {
		if target.holdsKey(k, sim.now) {
			n++
		}
	}
	return n
}

// heal ends all faults and gives the assignment time to settle.
func (sim *simulation) heal() {
	sim.restartsAtOrders = false
	sim.run(sim.now+13*time.Second, false)
	for _, t := range sim.targets {
		t.cutOff = false
		sim.restartTarget(t)
		t.unreachableFrom = map[int]bool{}
	}
	clear(sim.evacuatedSince)
	clear(sim.limited)
	for _, l := range sim.leaders {
		l.cutOff = false
	}
	if sim.leaders[len(sim.leaders)-1].stopped {
		sim.startLeader()
	}
	sim.noRebalance = true
	sim.run(sim.now+14*time.Second, false)
}
