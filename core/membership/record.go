package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

func compareName(r *record, name string) int { return strings.Compare(r.Name, name) }

// insert adds a new record to its data centre.
func (c *Core) insert(r *record) {
	d := c.dataCentre(r.DataCentre)
	i, _ := slices.BinarySearchFunc(d.members, r.Name, compareName)
	d.members = slices.Insert(d.members, i, r)
	d.sum ^= r.digest()
	c.invalidate(d)
}

// remove deletes a record.
func (c *Core) remove(r *record) {
	d := c.dataCentre(r.DataCentre)
	i, ok := slices.BinarySearchFunc(d.members, r.Name, compareName)
	if !ok {
		return
	}
	d.members = slices.Delete(d.members, i, i+1)
	d.sum ^= r.digest()
	delete(c.byName, r.Name)
	c.invalidate(d)
}

// recordChanged updates the data centre's digest after fields of r changed; before is the
// digest of r before the change.
func (c *Core) recordChanged(r *record, before uint64) {
	d := c.dataCentre(r.DataCentre)
	after := r.digest()
	if after != before {
		d.sum ^= before ^ after
		d.sumChanged = c.now
	}
	c.invalidate(d)
}

// invalidate discards the values derived from the members of d.
func (c *Core) invalidate(d *dataCentre) {
	d.dirty = true
	d.reps = nil
	c.view = nil
}

// setState changes the state of r and everything that depends on it: digest, ring, counts
// and suspects.
func (c *Core) setState(r *record, to State) {
	from := r.state
	before := r.digest()
	r.state = to
	r.stateChanged = c.now
	c.recordChanged(r, before)
	d := c.dataCentre(r.DataCentre)
	d.live += boolToInt(isLive(to)) - boolToInt(isLive(from))
	d.isolated += boolToInt(to == Isolated) - boolToInt(from == Isolated)
	if to == Suspect {
		c.suspects = append(c.suspects, r)
	}
	if from == Suspect {
		c.suspects = slices.DeleteFunc(c.suspects, func(s *record) bool { return s == r })
	}
	if d == c.home && isLive(from) != isLive(to) {
		c.updateRing(r, isLive(to))
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// isLive reports whether members in the state are on the ring, where they observe each
// other.
func isLive(s State) bool { return s == Alive || s == Suspect }

// change sets the state of r and reports the change.
func (c *Core) change(r *record, to State, cause Cause, by string) {
	from := r.state
	if from == to {
		return
	}
	c.setState(r, to)
	c.out = append(c.out, Changed{Member: r.Member, From: from, To: to, Cause: cause, By: by})
}

// apply merges a claim of another router and reports whether it changed the view.
func (c *Core) apply(u Update, by string) bool {
	if !u.Member.withinBounds() {
		return false
	}
	if u.Member.Name == c.self.Name {
		c.receiveClaimOnSelf(u)
		return false
	}
	r := c.byName[u.Member.Name]
	if r == nil {
		return c.addMember(u, by)
	}
	if !u.supersedes(r) {
		return false
	}
	if (u.State == Suspect || u.State == Isolated) && c.heardRecently(r) {
		return false
	}
	c.merge(r, u, by)
	return true
}

// heardRecently reports whether r was heard so recently that another router's suspicion of
// it is ignored.
func (c *Core) heardRecently(r *record) bool {
	return !r.lastHeard.IsZero() && c.now.Sub(r.lastHeard) < c.cfg.ProbeAfter
}

// addMember adds a member that was not known before and reports whether it was accepted.
func (c *Core) addMember(u Update, by string) bool {
	if len(c.byName) >= c.cfg.MaxMembers || u.Member.DataCentre == "" || u.Member.Name == "" {
		return false
	}
	if !u.Member.withinBounds() || !c.acceptsDataCentre(u.Member.DataCentre) {
		return false
	}
	r := &record{Member: u.Member, version: u.Version, leaving: u.Leaving}
	r.ringHash = xxhash.Sum64String(r.Name)
	r.firstKnown = c.now
	c.byName[r.Name] = r
	c.insert(r)
	to := u.State
	if to == Suspect {
		to = Alive
	}
	c.change(r, to, CauseJoined, by)
	return true
}

// merge applies a newer claim to r.
func (c *Core) merge(r *record, u Update, by string) {
	restarted := u.Member.Incarnation > r.Incarnation
	hadEnded := r.state.ended()
	known := r.state != Unknown
	if restarted {
		c.endInstance(r, by)
	}
	before := r.digest()
	r.Incarnation = u.Member.Incarnation
	r.version = u.Version
	r.leaving = u.Leaving
	if u.Member.Address != "" {
		r.Address = u.Member.Address
	}
	c.recordChanged(r, before)
	cause := causeOf(u.State, hadEnded)
	if restarted && !u.State.ended() {
		cause = CauseRestarted
	}
	if !known {
		cause = CauseJoined
	}
	if u.State == Lost && r.DataCentre == c.self.DataCentre && !c.neverHeard(r) {
		// A loss counts towards the cap no matter which router declared it.
		c.recentLossTimes = append(c.recentLossTimes, c.now)
	}
	c.change(r, u.State, cause, by)
}

// endInstance reports the end of an instance that a newer one replaces, so that its duties
// are taken over even if the router has already restarted.
func (c *Core) endInstance(r *record, by string) {
	if !r.state.ended() && r.state != Unknown {
		c.change(r, Lost, CauseRestarted, by)
	}
	r.lastHeard = time.Time{}
	r.firstKnown = c.now
	r.hearsNobody = false
	r.platformLeaving = false
	r.revision = 0
}

// causeOf returns the cause of a change of state by a claim.
func causeOf(to State, hadEnded bool) Cause {
	switch to {
	case Suspect:
		return CauseToldSuspect
	case Isolated:
		return CauseToldIsolated
	case Lost:
		return CauseToldLost
	case Left:
		return CauseLeft
	}
	if hadEnded {
		return CauseRefuted
	}
	return CauseHeard
}
