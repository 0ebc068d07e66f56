package sample

import (
	"encoding/json"
	"io"
	"net/http"

	"tarragongw/target"
)

const maxGrantBytes = 4 << 20

func (s *Server) serveGrants(w http.ResponseWriter, r *http.Request) {
	s.Faults.waitUnfrozen(s.stopped)
	if s.Faults.current().dropGrants {
		select {
		case <-r.Context().Done():
		case <-s.stopped.Done():
		}
		panic(http.ErrAbortHandler)
	}
	batch := new(target.GrantBatch)
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGrantBytes)).Decode(batch); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, s.Grant(batch))
}

// Grant applies one batch, as the HTTP endpoint does.
func (s *Server) Grant(batch *target.GrantBatch) *target.GrantReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	cause, revoked := s.grants.Apply(batch, s.cfg.Now())
	reply := &target.GrantReply{
		Accepted: cause == "",
		Term:     s.grants.Term(),
		Cause:    cause,
		Load:     s.load(),
		Draining: s.draining,
	}
	for _, unit := range revoked {
		if s.busyByUnit[unit] > 0 {
			reply.Busy = append(reply.Busy, unit)
		}
	}
	return reply
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.Faults.waitUnfrozen(s.stopped)
	s.mu.Lock()
	health := target.Health{Ready: true, Draining: s.draining, Load: s.load(), Cold: s.cold()}
	s.mu.Unlock()
	if s.Faults.current().misreportReady {
		health.Draining, health.Cold = false, false
	}
	writeJSON(w, http.StatusOK, &health)
}

// writeJSON writes the whole body in one call, so that net/http sets Content-Length.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // a write error means that the client closed the connection
}
