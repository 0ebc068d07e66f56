package operator

import (
	"context"
	"net/http"

	"tarragongw/core/quarantine"
)

// NewQuarantineHandler returns a handler for the calls about requests that crash targets, for a router
// that has no other endpoint for operators.
func NewQuarantineHandler(b QuarantineBackend) http.Handler {
	s := &server{bodyTimeout: bodyTimeout, quarantineBackend: b}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathQuarantine, s.quarantine)
	mux.HandleFunc("POST "+PathRelease, s.release)
	return mux
}

func (s *server) quarantine(w http.ResponseWriter, r *http.Request) {
	answer(w, r, s.quarantineBackend.Quarantine)
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	answerBody(s, w, r, func(ctx context.Context, req *ReleaseRequest) (*ReleaseReply, error) {
		req.Author = authorOf(ctx, req.Author)
		return s.quarantineBackend.Release(ctx, req)
	})
}

// DescribeQuarantine returns a router's list of suspected requests as operators see it.
func DescribeQuarantine(router string, l *quarantine.List) *Quarantine {
	q := &Quarantine{Router: router, Requests: []SuspectedRequest{}}
	for i := range l.Entries {
		e := &l.Entries[i]
		described := SuspectedRequest{
			Fingerprint: e.Fingerprint.String(), Service: e.Service, Refused: e.Refused(), Crashes: e.Crashes,
			First: e.First, Last: e.Last, Trials: e.Trials,
		}
		for _, instance := range e.Instances {
			described.Targets = append(described.Targets, instance.Target)
		}
		q.Requests = append(q.Requests, described)
	}
	return q
}

// ReleaseBy releases the request that the call names by a function that returns false if no such
// request is suspected.
func ReleaseBy(req *ReleaseRequest, release func(quarantine.Fingerprint) bool) (*ReleaseReply, error) {
	f, ok := quarantine.ParseFingerprint(req.Fingerprint)
	if !ok {
		return nil, Errorf(CodeInvalid, "%q is no fingerprint; copy it from the list or from a line of the log", req.Fingerprint)
	}
	if !release(f) {
		return nil, Errorf(CodeNotFound, "no request with the fingerprint %s is suspected at this router", f)
	}
	return &ReleaseReply{Fingerprint: f.String()}, nil
}

// Quarantine returns the requests that are suspected of crashing targets.
func (c *Client) Quarantine(ctx context.Context) (*Quarantine, error) {
	return call[Quarantine](ctx, c, http.MethodGet, PathQuarantine, nil, nil)
}

// Release has a refused request sent again.
func (c *Client) Release(ctx context.Context, req *ReleaseRequest) (*ReleaseReply, error) {
	return call[ReleaseReply](ctx, c, http.MethodPost, PathRelease, nil, req)
}
