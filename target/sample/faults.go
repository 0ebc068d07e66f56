package sample

import (
	"context"
	"sync"
	"time"
)

// Cut is the point of a request at which the server closes the connection.
type Cut uint8

// CutBeforeRun closes the connection after reading only the header, and runs nothing.
// CutAfterRun closes it after running the request and before sending the answer.
// CutMidAnswer closes it after sending part of the answer's body.
const (
	CutNone Cut = iota
	CutBeforeRun
	CutAfterRun
	CutMidAnswer
)

// Faults injects faults into a Server. All faults can be switched while it runs.
type Faults struct {
	mu sync.Mutex
	// unfrozen is closed by Unfreeze; nil while the server is not frozen.
	unfrozen chan struct{}
	state    faultState
	cuts     []Cut
}

// faultState holds the settings of the faults; a request reads one consistent copy of them.
type faultState struct {
	delay          time.Duration
	refuseCause    string
	misreportReady bool
	reportedLoad   float64
	misreportLoad  bool
	ignoreCancel   bool
	dropGrants     bool
	failWork       bool
}

// Freeze stops all work and all answers, including those on the control endpoints, as
// in a suspended process; connections are still accepted.
func (f *Faults) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unfrozen == nil {
		f.unfrozen = make(chan struct{})
	}
}

// Unfreeze resumes the work and the answers that Freeze stopped.
func (f *Faults) Unfreeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unfrozen != nil {
		close(f.unfrozen)
		f.unfrozen = nil
	}
}

// Slow adds a delay to the work of each request.
func (f *Faults) Slow(delay time.Duration) { f.set(func(s *faultState) { s.delay = delay }) }

// Refuse makes the server answer each request "not run" with the cause; "" ends the fault.
func (f *Faults) Refuse(cause string) { f.set(func(s *faultState) { s.refuseCause = cause }) }

// FailWork makes the server answer each request with status 500 and run nothing; grants
// and health are answered normally.
func (f *Faults) FailWork(on bool) { f.set(func(s *faultState) { s.failWork = on }) }

// LieReady makes the server report "ready, not draining, not cold" as its health, whatever its state.
func (f *Faults) LieReady(on bool) { f.set(func(s *faultState) { s.misreportReady = on }) }

// LieLoad makes the health and the grant replies report a fixed load.
func (f *Faults) LieLoad(on bool, load float64) {
	f.set(func(s *faultState) { s.misreportLoad, s.reportedLoad = on, load })
}

// IgnoreCancel makes the server run requests that their sender has cancelled.
func (f *Faults) IgnoreCancel(on bool) { f.set(func(s *faultState) { s.ignoreCancel = on }) }

// DropGrants makes the server leave grants unanswered until their sender cancels them.
func (f *Faults) DropGrants(on bool) { f.set(func(s *faultState) { s.dropGrants = on }) }

// CutNext cuts the connections of the next len(points) requests, each at its point.
func (f *Faults) CutNext(points ...Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = append(f.cuts, points...)
}

func (f *Faults) set(change func(*faultState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
}

func (f *Faults) current() faultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *Faults) nextCut() Cut {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.cuts) == 0 {
		return CutNone
	}
	cut := f.cuts[0]
	f.cuts = f.cuts[1:]
	return cut
}

// waitUnfrozen blocks while the server is frozen, until stop is done at the latest.
func (f *Faults) waitUnfrozen(stop context.Context) {
	for {
		f.mu.Lock()
		unfrozen := f.unfrozen
		f.mu.Unlock()
		if unfrozen == nil {
			return
		}
		select {
		case <-unfrozen:
		case <-stop.Done():
			return
		}
	}
}
