package gateway

import "github.com/pkg/errors"

// countBound counts an answer that was given up for a bound on its bytes or its parts, if the error says so.
func (g *Gateway) countBound(err error) {
	var exceeded interface{ Bound() string }
	if errors.As(err, &exceeded) {
		g.countExceeded(exceeded.Bound())
	}
}

// countExceeded counts an answer that exceeded a bound.
func (g *Gateway) countExceeded(bound string) {
	if tel := g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"bound": bound}).Counter("answer_bounds_exceeded_total").Inc(1)
	}
}
