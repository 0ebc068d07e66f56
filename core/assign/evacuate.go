package assign

import "time"

// evacuationMoves returns how many ranges may begin to move off targets of evacuated data centres now.
//
// It answers an evacuation that takes a third of the holders at once: while a range moves its requests wait, and all of them
// would return to the other holders in one wave. So only as many move at a time as in rebalancing, until half of the time is
// over. Without a target that accepts keys none moves.
func (a *Assigner) evacuationMoves(now time.Time) int {
	if !a.anyCandidate(func(c *candidate) bool { return c.target.Evacuated }) || !a.anyCandidate((*candidate).acceptsKeys) {
		return 0
	}
	late := func(c *candidate) bool {
		return c.target.Evacuated && now.Sub(c.target.EvacuatedAfter) >= a.cfg.EvacuateWithin/2
	}
	if a.anyCandidate(late) {
		return len(a.spans)
	}
	return a.maxMoves(len(a.candidates)) - a.movesInProgress()
}

// maxMoves returns how many ranges may move at the same time among a number of targets.
func (a *Assigner) maxMoves(targets int) int {
	return max(int(movesPerTarget*float64(targets)), minConcurrentMoves)
}
