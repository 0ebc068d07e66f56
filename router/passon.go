package router

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/membership"
	"tarragongw/eventlog"
	"tarragongw/operator"
	"tarragongw/peer"
)

// Self implements operator.Backend.
func (b *backend) Self() string { return b.r.self.Name }

// PassOn implements operator.Backend. The call goes the way of forwarded requests;
// that its envelope names neither service nor target tells it apart from them.
func (b *backend) PassOn(ctx context.Context, router, uri string) (*http.Response, error) {
	address, err := url.ParseRequestURI(uri)
	if err != nil {
		return nil, operator.Errorf(operator.CodeInvalid, "%v", err)
	}
	req := &http.Request{Method: http.MethodGet, URL: address, Header: make(http.Header), Body: http.NoBody}
	resp, f := b.r.peers.RoundTrip(ctx, router, req, &peer.Envelope{})
	if f != nil {
		return nil, operator.Errorf(operator.CodeUnavailable, "router %s was not reached: %v", router, f)
	}
	return resp, nil
}

// passedOn tells a call that another router passes on from a caller's request, which
// always has a target.
func passedOn(e *peer.Envelope) bool { return e.Service == "" && e.Target == "" }

// answerPassedOn answers an operators' call that another router passed on.
func (r *Router) answerPassedOn(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || !operator.PassedOn(req.URL.Path) {
		peer.WriteFault(w, fault.New(fault.BadRequest, "not a call that routers pass on"))
		return
	}
	r.operators.ServeHTTP(w, req)
}

// Events implements operator.Backend.
func (b *backend) Events(_ context.Context, query operator.EventQuery) (*operator.EventPage, error) {
	life := b.r.self.Incarnation
	after, filter := query.After, eventlog.Filter{}
	switch {
	case query.Life == 0:
		after, filter.After = 0, query.Since
	case query.Life != life:
		after = 0
	}
	page := b.r.journal.Events(after, filter)
	if page.Events == nil {
		page.Events = []eventlog.Event{}
	}
	out := &operator.EventPage{Router: b.r.self.Name, Life: life, Events: page.Events, Next: page.Next}
	if query.Life != 0 {
		out.Missed = page.Missed
	}
	return out, nil
}

// Series implements operator.Backend.
func (b *backend) Series(_ context.Context, since time.Time) (*operator.Series, error) {
	return &operator.Series{Router: b.r.self.Name, DataCentre: b.r.self.DataCentre, Series: b.r.past.since(since)}, nil
}

// Routers implements operator.Backend.
func (b *backend) Routers(context.Context) ([]operator.RouterState, error) {
	self := b.r.self
	out := []operator.RouterState{{Router: self.Name, DataCentre: self.DataCentre, State: membership.Alive.String()}}
	members := b.r.members.view.Load()
	for _, dc := range members.DataCentres() {
		for _, m := range members.Members(dc) {
			if m.Name != self.Name {
				out = append(out, operator.RouterState{Router: m.Name, DataCentre: dc, State: m.State.String()})
			}
		}
	}
	slices.SortFunc(out, func(a, b operator.RouterState) int { return strings.Compare(a.Router, b.Router) })
	return out, nil
}
