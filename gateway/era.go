package gateway

import (
	"time"

	"tarragongw/kv"
)

// eraState is what this router knows about the store's era.
type eraState struct {
	era kv.Era
	// firstSeen is when the era was first seen.
	firstSeen time.Time
	// restores counts the changes of the era that this router has seen.
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

// noteEra records the store's era. If it has changed, pending watches are restarted: they wait for a
// revision that the store may not reach again for a long time.
func (g *Gateway) noteEra(era kv.Era) {
	if g.setEra(era) {
		g.subscription.restartWatches()
	}
}

// setEra records the store's era, and reports and logs whether the store was restored.
func (g *Gateway) setEra(era kv.Era) bool {
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	before := g.eraState
	if !before.firstSeen.IsZero() && before.era == era {
		return false
	}
	g.eraState = eraState{era: era, firstSeen: time.Now(), restores: before.restores}
	if tel := g.opts.Telemetry; tel != nil {
		tel.Scope().Gauge("store_era").Update(float64(era))
	}
	if before.firstSeen.IsZero() {
		return false
	}
	g.eraState.restores++
	if tel := g.opts.Telemetry; tel != nil {
		tel.Scope().Counter("store_restores_total").Inc(1)
	}
	g.log.Warn("store restored from an older copy", "era", era, "before", before.era, "restores", g.eraState.restores)
	return true
}

// eraFirstSeen returns when the store's era was first seen.
func (g *Gateway) eraFirstSeen() time.Time {
	g.era()
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	return g.eraState.firstSeen
}

// restoredSince reports whether a restore of the store was seen after the given time.
func (g *Gateway) restoredSince(since time.Time) bool {
	g.era()
	g.eraMu.Lock()
	defer g.eraMu.Unlock()
	return g.eraState.restores > 0 && g.eraState.firstSeen.After(since)
}
