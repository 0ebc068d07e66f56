package fault

// Evidence is what was observed while one request was sent to a target.
type Evidence struct {
	// Written means that a byte of the request may have reached a target's connection.
	Written bool
	// Refused means that the target itself said that it did not run the request.
	Refused bool
	// Began means that the target's answer began.
	Began bool
}

// Ran returns the strongest statement about execution that the evidence supports.
func (e Evidence) Ran() Ran {
	switch {
	case e.Refused && !e.Began:
		return NotRun
	case e.Began:
		return RanFully
	case !e.Written:
		return NotRun
	default:
		return RanUnknown
	}
}

// WithEvidence returns the fault with its Ran limited to what the evidence supports. A NotRun
// that the evidence does not support would let a caller repeat a request that took effect,
// so it is replaced; a RanUnknown where the evidence would support NotRun is kept. The
// receiver is not changed.
func (f *Fault) WithEvidence(e Evidence) *Fault {
	supported := e.Ran()
	if f.Ran == supported || f.Ran == RanUnknown && !e.Began {
		return f
	}
	limited := *f
	limited.Ran = supported
	return &limited
}
