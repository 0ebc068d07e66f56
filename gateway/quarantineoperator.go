package gateway

import (
	"context"

	"tarragongw/operator"
)

// quarantineOperator implements operator.QuarantineBackend.
type quarantineOperator struct{ g *Gateway }

// Quarantine implements operator.QuarantineBackend.
func (q quarantineOperator) Quarantine(context.Context) (*operator.Quarantine, error) {
	return operator.DescribeQuarantine(q.g.opts.Name, q.g.guard.List()), nil
}

// Release implements operator.QuarantineBackend. The other routers learn of it through the leader.
func (q quarantineOperator) Release(_ context.Context, req *operator.ReleaseRequest) (*operator.ReleaseReply, error) {
	return operator.ReleaseBy(req, q.g.guard.Release)
}
