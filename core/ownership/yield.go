package ownership

import "time"

// yieldAfter is how long this router goes on with the duty after the store last agreed;
// zero: nothing bounds it.
//
// What goes wrong where each goes by its own configuration: operators let a service yield,
// or yield sooner, while its grantor is cut off and doesn't learn of it. Who takes over
// waits the new time and the grantor goes on for the old one: two owners. So the time
// that binds both is in the grantor record, which the claim replaces. A shorter one is
// gone by from when it is known here, a longer one from when it is in the record.
func (d *duty) yieldAfter() time.Duration {
	bound := d.wantedYield()
	if d.record != nil {
		bound = shorter(bound, d.record.YieldAfter)
	}
	if d.withoutStore {
		bound = shorter(bound, d.given.yieldAfter)
	}
	return bound
}

// wantedYield is the YieldAfter that the configuration asks for; zero: keep.
func (d *duty) wantedYield() time.Duration {
	if d.spec.Isolation.Keep {
		return 0
	}
	return d.spec.Isolation.YieldAfter
}

// shorter returns the shorter of two bounds, of which zero is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// longer returns the longer of two bounds, of which zero is none.
func longer(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// recordedYield is the bound that a claim waits out.
func (d *duty) recordedYield(k *Keeper) time.Duration {
	if k.cfg.omit == omitRecordedYield {
		return d.wantedYield()
	}
	return d.record.YieldAfter
}
