package gateway

import "github.com/pkg/errors"

// countBound counts an answer that was given up for a bound on its bytes or its time, if the error says so.
func (g *Gateway) countBound(err error) {
	var exceeded interface{ Bound() string }
	if g.opts.Telemetry == nil || !errors.As(err, &exceeded) {
		return
	}
	g.opts.Telemetry.Scope().Tagged(map[string]string{"bound": exceeded.Bound()}).Counter("answer_bounds_exceeded_total").Inc(1)
}
