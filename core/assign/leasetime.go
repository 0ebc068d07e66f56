package assign

import "time"

const (
	// workReserve is by how much a grant outlasts a long run that begins right before the next renewal arrives.
	workReserve = 300 * time.Millisecond
	// grantTTLStep is the step in which the TTL of grants is raised. Each step is a write of the table.
	grantTTLStep = 500 * time.Millisecond
)

// grantTimes are the TTLs of grants outside of outages of the store.
//
// They answer work that takes about as long as a grant lasts: a run that outlasts the grant under which it began ends
// without a result, also if the grant is renewed meanwhile. A longer grant keeps the keys of a lost holder unserved for
// longer, so it is only as long as the work asks.
//
// The next leader has to know how long grants of this one may last, so that a longer TTL is in the stored table before it is
// used.
type grantTimes struct {
	// wanted is the TTL that the work asks for, declared the longest that the table says, sent the one in the last write, and
	// stored the one that is known to be stored.
	wanted, declared, sent, stored time.Duration
	// inherited is the longest that a former leader may have used.
	inherited time.Duration
}

// newGrantTimes returns the times of a new leader, given what the former one declared; zero if it declared nothing.
func newGrantTimes(cfg *Config, declared time.Duration) grantTimes {
	t := max(declared, cfg.GrantTTL)
	times := grantTimes{wanted: t, declared: t, sent: t, stored: t, inherited: t}
	if cfg.TableOutdated {
		times.inherited = cfg.OutageGrantTTL // the table that the former leader wrote last may be lost
	}
	return times
}

// SetWorkTime sets how long nearly all runs take. Grants last for that and a renewal, within Config's bounds.
func (a *Assigner) SetWorkTime(d time.Duration) {
	wanted := d + a.cfg.RenewInterval + workReserve
	wanted = (wanted + grantTTLStep - 1) / grantTTLStep * grantTTLStep
	a.grantTimes.wanted = min(max(wanted, a.cfg.GrantTTL), a.cfg.OutageGrantTTL)
	if a.grantTimes.wanted > a.grantTimes.declared {
		a.grantTimes.declared = a.grantTimes.wanted
		if a.generation == a.sentGeneration {
			a.generation++
		}
	}
}

// current is the TTL that grants have now.
func (t *grantTimes) current() time.Duration { return min(t.wanted, t.stored) }

// recordStored records that the last write is stored.
func (t *grantTimes) recordStored() { t.stored = max(t.stored, t.sent) }

// inTable returns the longest TTL as the table has it: zero for the default.
func (t *grantTimes) inTable(cfg *Config) time.Duration {
	if t.declared <= cfg.GrantTTL {
		return 0
	}
	return t.declared
}
