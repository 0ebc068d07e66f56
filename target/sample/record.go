package sample

import (
	"slices"
	"sync"
	"time"

	"tarragongw/core/request"
)

// Execution is one run of a request.
type Execution struct {
	Target    string
	RequestID string
	Method    string
	Key       string
	Unit      string
	Token     uint64
	Term      uint64
	Time      time.Time
}

// Log collects the executions of one server, or of several that share the log, in the
// order in which they happened. When it reaches its limit it drops the oldest.
type Log struct {
	limit int

	mu         sync.Mutex
	executions []Execution
	dropped    uint64
}

// NewLog returns a log of at most limit executions.
func NewLog(limit int) *Log { return &Log{limit: limit} }

func (l *Log) add(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) >= l.limit {
		half := len(l.executions) / 2
		l.executions = append(l.executions[:0], l.executions[half:]...)
		l.dropped += uint64(half)
	}
	l.executions = append(l.executions, e)
}

// All returns a copy of the executions.
func (l *Log) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Dropped returns the number of executions that the log has dropped.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Runs returns the number of times that the request with the ID ran.
func (l *Log) Runs(requestID string) int {
	count := 0
	for _, e := range l.All() {
		if e.RequestID == requestID {
			count++
		}
	}
	return count
}

// Repeated returns the IDs of requests that ran more than once, without duplicates.
func (l *Log) Repeated() []string {
	return repeated(l.All())
}

// RepeatedOnce returns the IDs of requests that ran more than once although requests of
// their method may run at most once. A router may repeat other methods after an unknown
// outcome.
func (l *Log) RepeatedOnce() []string {
	return repeated(slices.DeleteFunc(l.All(), func(e Execution) bool {
		return request.RepeatableMethod(e.Method)
	}))
}

func repeated(executions []Execution) []string {
	seen := map[string]int{}
	var ids []string
	for _, e := range executions {
		seen[e.RequestID]++
		if e.RequestID != "" && seen[e.RequestID] == 2 {
			ids = append(ids, e.RequestID)
		}
	}
	return ids
}

// Overlap is a run of a unit's request by one target, Later, after a run by another
// target, Earlier, under a token at least as great.
type Overlap struct {
	Earlier, Later Execution
}

// Overlaps returns the runs that show two holders of one unit: a target ran work after
// another target had run work of the same unit under a token at least as great. The
// check relies on the order of the log, so all targets must share one log.
func (l *Log) Overlaps() []Overlap {
	latest := map[string]Execution{}
	var found []Overlap
	for _, e := range l.All() {
		if e.Unit == "" {
			continue
		}
		earlier, ok := latest[e.Unit]
		if ok && e.Target != earlier.Target && e.Token <= earlier.Token {
			found = append(found, Overlap{Earlier: earlier, Later: e})
			continue
		}
		latest[e.Unit] = e
	}
	return found
}
