package ownership

import "time"

// yieldAfter is how long this router continues with the duty after the last confirmation by
// the store; zero means that nothing bounds it.
//
// The bound must not come from each router's own configuration alone. If operators let a
// service yield, or yield sooner, while its grantor is cut off and does not get the new
// configuration, the router that takes over waits for the new time and the grantor
// continues for the old one, which gives a unit two owners. The time that binds both is
// therefore in the grantor record, which the claim replaces. A shorter time applies as soon
// as this router knows it, a longer one once it is in the record.
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

// wantedYield is the YieldAfter according to the configuration; zero means that the service
// keeps its owners.
func (d *duty) wantedYield() time.Duration {
	if d.spec.Isolation.Keep {
		return 0
	}
	return d.spec.Isolation.YieldAfter
}

// shorter returns the shorter of two bounds; zero means no bound.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// longer returns the longer of two bounds; zero means no bound.
func longer(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// recordedYield is the YieldAfter whose end a claim has to wait for.
func (d *duty) recordedYield(k *Keeper) time.Duration {
	if k.cfg.omit == omitRecordedYield {
		return d.wantedYield()
	}
	return d.record.YieldAfter
}
