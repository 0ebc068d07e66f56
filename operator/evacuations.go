package operator

import (
	"context"
	"net/http"
	"time"

	"tarragongw/core/evacuation"
)

// Evacuations are the data centres whose targets get no requests, as one router knows.
type Evacuations struct {
	Router      string       `json:"router"`
	Evacuations []Evacuation `json:"evacuations"`
	// AgeMillis is how long ago this was last known to be up to date.
	AgeMillis int64 `json:"age_ms"`
}

// Evacuation is the evacuation of one data centre.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Revision is the store's, in which the operators' record was written, and Learned is when the router learned of it.
	Revision uint64    `json:"revision"`
	Learned  time.Time `json:"learned"`
}

// DescribeEvacuations returns what a router knows as operators see it.
func DescribeEvacuations(router string, inForce []evacuation.Evacuation, age time.Duration) *Evacuations {
	all := &Evacuations{Router: router, Evacuations: []Evacuation{}, AgeMillis: age.Milliseconds()}
	for _, e := range inForce {
		all.Evacuations = append(all.Evacuations, Evacuation{DataCentre: e.DataCentre, Revision: e.Revision, Learned: e.LearnedAt})
	}
	return all
}

// NewEvacuationsHandler returns a handler for the call about evacuated data centres, for a router that has no other endpoint
// for operators.
func NewEvacuationsHandler(describe func() *Evacuations) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, func(context.Context) (*Evacuations, error) { return describe(), nil })
	})
}

// Evacuations returns the evacuated data centres as the router knows them.
func (c *Client) Evacuations(ctx context.Context) (*Evacuations, error) {
	return call[Evacuations](ctx, c, http.MethodGet, PathEvacuations, nil, nil)
}
