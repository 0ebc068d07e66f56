package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// entry is an Entry with the state of its next trial, which only the router that keeps the list needs.
type entry struct {
	Entry
	// assignedAt is when TrialRouter was chosen, and triedUntil is when the trial that has begun
	// ends at the latest.
	assignedAt, triedUntil time.Time
}

// Tracker keeps the list of suspected requests. It is not safe for concurrent use.
type Tracker struct {
	entries map[Fingerprint]*entry
}

// NewTracker returns a tracker with an empty list.
func NewTracker() *Tracker { return &Tracker{entries: map[Fingerprint]*entry{}} }

// Observe records what a router has observed. It reports whether an entry that Entries returns may
// have changed, and returns the requests that are refused from now on.
func (t *Tracker) Observe(now time.Time, router string, o *Observations) (changed bool, refused []Entry) {
	t.expire(now)
	for i := range o.Crashes {
		refused = append(refused, t.crashed(now, &o.Crashes[i])...)
		changed = true
	}
	for _, known := range [][]Fingerprint{o.Answered, o.Released} {
		for _, f := range known {
			changed = t.remove(f) || changed
		}
	}
	for _, f := range o.Tried {
		changed = t.trialBegun(now, f) || changed
	}
	for _, f := range o.Refused {
		changed = t.assignTrial(now, f, router) || changed
	}
	return changed, refused
}

func (t *Tracker) crashed(now time.Time, c *Crash) (refused []Entry) {
	for _, s := range c.Suspects {
		e := t.entries[s.Fingerprint]
		if e == nil {
			e = &entry{Entry: Entry{Suspect: s, Service: c.Service, First: now}}
			t.makeRoom(c.Service)
			t.entries[s.Fingerprint] = e
		}
		if e.add(now, c.Instance) && e.Crashes == Threshold {
			refused = append(refused, e.Entry)
			t.limitRefused(c.Service)
		}
	}
	return refused
}

// add adds a crash; it returns false if the crash is known already.
func (e *entry) add(now time.Time, crashed Instance) bool {
	if slices.Contains(e.Instances, crashed) && (crashed.StartUnixMilli != 0 || now.Sub(e.Last) < sameCrashWithin) {
		return false
	}
	e.Instances = append(slices.Clone(e.Instances), crashed)
	e.Instances = e.Instances[max(len(e.Instances)-maxInstances, 0):]
	e.Crashes++
	if e.Fingerprint.OfHead() {
		e.Crashes = listedCrashes
	}
	e.Last = now
	e.TrialRouter, e.triedUntil = "", time.Time{}
	return true
}

// Known reports whether the request is suspected.
func (t *Tracker) Known(f Fingerprint) bool { return t.entries[f] != nil }

func (t *Tracker) remove(f Fingerprint) bool {
	e := t.entries[f]
	delete(t.entries, f)
	return e != nil
}

func (t *Tracker) trialBegun(now time.Time, f Fingerprint) bool {
	e := t.entries[f]
	if e == nil {
		return false
	}
	e.Trials++
	e.TrialRouter, e.triedUntil = "", now.Add(trialTimeout)
	return true
}

// assignTrial lets a router that refused a request try the next one, if a trial is due. One request of a
// service is tried at a time, so that a crash proves which one it was.
func (t *Tracker) assignTrial(now time.Time, f Fingerprint, router string) bool {
	e := t.entries[f]
	if e == nil || !t.trialDue(now, e) || e.TrialRouter == router {
		return false
	}
	if e.TrialRouter != "" && now.Sub(e.assignedAt) < reassignAfter {
		return false
	}
	for _, other := range t.entries {
		if other != e && other.Service == e.Service && (other.TrialRouter != "" && now.Sub(other.assignedAt) < trialTimeout || now.Before(other.triedUntil)) {
			return false
		}
	}
	t.withdrawTrials(e.Service)
	e.TrialRouter, e.assignedAt = router, now
	return true
}

// withdrawTrials takes back trials of the service that have not begun.
func (t *Tracker) withdrawTrials(service string) {
	for _, e := range t.entries {
		if e.Service == service {
			e.TrialRouter = ""
		}
	}
}

func (t *Tracker) trialDue(now time.Time, e *entry) bool {
	age := now.Sub(e.Last)
	switch {
	case !e.Refused(), e.Trials >= MaxTrials, now.Before(e.triedUntil):
		return false
	case e.Trials == 0:
		return age >= firstTrialAfter || t.ambiguous(e)
	default:
		return age >= nextTrialAfter
	}
}

// ambiguous reports whether the request may well be innocent: another refused request was in flight at
// most of the same crashes, or the crashes may have a common cause.
func (t *Tracker) ambiguous(e *entry) bool {
	if e.Last.Sub(e.First) < commonCauseWithin {
		return true
	}
	for _, other := range t.entries {
		if other != e && other.Refused() && other.Service == e.Service && shared(e, other) >= Threshold-1 {
			return true
		}
	}
	return false
}

// shared returns the number of crashes at which both requests were in flight.
func shared(a, b *entry) int {
	n := 0
	for _, i := range a.Instances {
		if slices.Contains(b.Instances, i) {
			n++
		}
	}
	return n
}

func (t *Tracker) expire(now time.Time) {
	for f, e := range t.entries {
		if !e.Refused() && now.Sub(e.Last) >= suspectTTL {
			delete(t.entries, f)
		}
	}
}

// makeRoom removes the least suspected entries until another one of the service has room.
func (t *Tracker) makeRoom(service string) {
	if n := t.count(func(e *entry) bool { return e.Service == service }); n >= maxPerService {
		t.removeLeast(func(e *entry) bool { return e.Service == service })
	}
	if len(t.entries) >= maxEntries {
		t.removeLeast(func(*entry) bool { return true })
	}
}

// limitRefused removes the refused entry of the service that has not crashed a target for longest, if
// there are too many.
func (t *Tracker) limitRefused(service string) {
	refused := func(e *entry) bool { return e.Service == service && e.Refused() }
	if t.count(refused) > maxRefusedPerService {
		t.removeLeast(func(e *entry) bool { return refused(e) })
	}
}

func (t *Tracker) count(counts func(*entry) bool) int {
	n := 0
	for _, e := range t.entries {
		if counts(e) {
			n++
		}
	}
	return n
}

// removeLeast removes the entry with the fewest crashes, and of several the one whose last crash
// is the oldest; all refused ones count as equal.
func (t *Tracker) removeLeast(eligible func(*entry) bool) {
	var least *entry
	for _, e := range t.entries {
		if eligible(e) && (least == nil || lessSuspected(e, least)) {
			least = e
		}
	}
	if least != nil {
		delete(t.entries, least.Fingerprint)
	}
}

func lessSuspected(a, b *entry) bool {
	return cmp.Or(cmp.Compare(min(a.Crashes, Threshold), min(b.Crashes, Threshold)), a.Last.Compare(b.Last), compareEntries(a.Entry, b.Entry)) < 0
}

func compareEntries(a, b Entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) }

// listedCrashes is the number of crashes from which on the routers need an entry.
const listedCrashes = 2

// Entries returns the entries that the routers need, in order of their fingerprints: those with more
// than one crash, and all of heads. Most requests that are in flight at a crash are never in flight at another one.
func (t *Tracker) Entries() []Entry {
	var all []Entry
	for _, e := range t.entries {
		if e.Crashes >= listedCrashes {
			all = append(all, e.Entry)
		}
	}
	slices.SortFunc(all, compareEntries)
	return all
}

// Merge adds the entries that another router has sent. Of an entry that both have it keeps the one with
// more crashes.
func (t *Tracker) Merge(entries []Entry) {
	for _, e := range entries {
		if old := t.entries[e.Fingerprint]; old == nil || old.Crashes < e.Crashes {
			t.makeRoom(e.Service)
			t.entries[e.Fingerprint] = &entry{Entry: e}
		}
	}
}

// Replace replaces all entries with those that another router has sent.
func (t *Tracker) Replace(entries []Entry) {
	clear(t.entries)
	for _, e := range entries[:min(len(entries), maxEntries)] {
		t.entries[e.Fingerprint] = &entry{Entry: e}
	}
}
