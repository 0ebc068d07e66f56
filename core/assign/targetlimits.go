package assign

// minHolderLimit is the limit in requests per second below which a target holds no keys while others can. Each range that it
// holds has it called twice a second for renewals besides.
const minHolderLimit = 8.0

// tightlyLimited reports whether the target states so low a limit that others should hold its keys.
func (c *candidate) tightlyLimited() bool { return c.target.Limited && c.target.Limit < minHolderLimit }

// limitCost is the utilisation that a load of one request per second adds to a target by the limit that it states; zero if it
// states none.
func (c *candidate) limitCost() float64 {
	if !c.target.Limited {
		return 0
	}
	return 1 / max(c.target.Limit, minHolderLimit)
}

// limitMoves returns how many ranges may begin to move off targets that are tightly limited now. None does unless another
// target accepts keys.
func (a *Assigner) limitMoves() int {
	if a.storeUnreachable || !a.anyCandidate((*candidate).tightlyLimited) {
		return 0
	}
	if !a.anyCandidate(func(c *candidate) bool { return c.acceptsKeys() && !c.tightlyLimited() }) {
		return 0
	}
	return a.maxMoves(len(a.candidates)) - a.movesInProgress()
}
