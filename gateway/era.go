package gateway

import (
	"time"

	"tarragongw/kv"
)

// eraState is what this router knows of the store's era.
type eraState struct {
	era kv.Era
	// seen is when the era was seen first.
	seen time.Time
	// restores counts the eras that have begun since the first that was seen.
	restores int
}

// era returns the store's era.
func (g *Gateway) era() kv.Era {
	era, named := g.opts.Store.Era()
	if named {
		g.noteEra(era)
	}
	return era
}

// noteEra notes the store's era. Watches that wait are asked anew where it has changed: they go on
// from a revision that the store may not reach again for long.
func (g *Gateway) noteEra(era kv.Era) {
	if g.setEra(era) {
		g.subscription.rewatch()
	}
}

// setEra notes the store's era, logs that the store was restored, and returns whether it was.
func (g *Gateway) setEra(era kv.Era) bool {
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	before := g.eras
	if !before.seen.IsZero() && before.era == era {
		return false
	}
	g.eras = eraState{era: era, seen: time.Now(), restores: before.restores}
	if tel := g.opts.Telemetry; tel != nil {
		tel.Scope().Gauge("store_era").Update(float64(era))
	}
	if before.seen.IsZero() {
		return false
	}
	g.eras.restores++
	if tel := g.opts.Telemetry; tel != nil {
		tel.Scope().Counter("store_restores_total").Inc(1)
	}
	g.log.Warn("store restored from an older copy", "era", era, "before", before.era, "restores", g.eras.restores)
	return true
}

// eraSeen is when the store's era was seen first.
func (g *Gateway) eraSeen() time.Time {
	g.era()
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	return g.eras.seen
}

// restoredSince reports whether the store was seen restored after a time.
func (g *Gateway) restoredSince(at time.Time) bool {
	g.era()
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	return g.eras.restores > 0 && g.eras.seen.After(at)
}
