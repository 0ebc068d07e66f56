package operator

import (
	"context"
	"net/http"

	"tarragongw/core/targetlimit"
)

// TargetLimits are the limits that targets state, and what else they state of themselves, as one router knows it.
type TargetLimits struct {
	Router string `json:"router"`
	// Leads says whether the router gives the permits.
	Leads  bool          `json:"leads"`
	Limits []TargetLimit `json:"limits"`
	// Leaving are the targets that have stated in answers that they leave, and Rests those that want no requests from the router.
	Leaving []LeavingTarget `json:"leaving"`
	Rests   []TargetRest    `json:"rests"`
}

// LeavingTarget is a target that has stated that it leaves.
type LeavingTarget struct {
	Target string `json:"target"`
	// KnownMillis is for how long that is known, in milliseconds.
	KnownMillis int64 `json:"known_ms"`
}

// TargetRest is a rest that a target has asked the router for.
type TargetRest struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	// LeftMillis is for how much longer it lasts, in milliseconds, and Asked how often the target has asked for it.
	LeftMillis int64 `json:"left_ms"`
	Asked      int   `json:"asked"`
}

// TargetLimit is the limit of one target.
type TargetLimit struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	// PerSecond is how many requests per second the target takes from all routers together.
	PerSecond float64 `json:"per_second"`
}

// DescribeTargetLimits returns what a router knows as operators see it.
func DescribeTargetLimits(router string, leads bool, all []targetlimit.Limit) *TargetLimits {
	described := &TargetLimits{Router: router, Leads: leads, Limits: []TargetLimit{}, Leaving: []LeavingTarget{}, Rests: []TargetRest{}}
	for _, limit := range all {
		described.Limits = append(described.Limits, TargetLimit{Target: limit.Holder.Target, Service: limit.Service, PerSecond: limit.PerSecond})
	}
	return described
}

// NewTargetLimitsHandler returns a handler for the call about the limits of targets, for a router that has no other endpoint
// for operators.
func NewTargetLimitsHandler(describe func() *TargetLimits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, func(context.Context) (*TargetLimits, error) { return describe(), nil })
	})
}

// TargetLimits returns the limits that targets state as the router knows them.
func (c *Client) TargetLimits(ctx context.Context) (*TargetLimits, error) {
	return call[TargetLimits](ctx, c, http.MethodGet, PathTargetLimits, nil, nil)
}
