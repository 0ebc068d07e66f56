package confstore

import (
	"sync"

	"tarragongw/core/model"
)

// historyLength bounds the number of revisions that a router keeps as bases of edits.
const historyLength = 64

// History keeps the latest revisions that this router has seen, so that an edit of
// an older one can be merged with the changes made since. It is kept in memory only: if
// the base of an edit is no longer known, the operator has to fetch and edit again.
//
// It holds the newest model and the difference of each older one from its successor:
// 64 whole models of 17,270 targets would take over a hundred megabytes.
type History struct {
	mu     sync.Mutex
	newest *model.Model
	// older has the differences in ascending order of revision.
	older []revisionDiff
}

// revisionDiff is the difference between a revision and the next one that is kept.
type revisionDiff struct {
	revision   uint64
	difference *model.Difference
}

// Add adds a model. It ignores a model that is not newer than all those it holds.
func (h *History) Add(m *model.Model) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest != nil && m.Revision <= h.newest.Revision {
		return
	}
	if h.newest != nil {
		h.older = append(h.older, revisionDiff{h.newest.Revision, model.Compare(h.newest, m)})
	}
	if len(h.older) >= historyLength {
		h.older = append([]revisionDiff(nil), h.older[1:]...)
	}
	h.newest = m
}

// Find returns the model of the revision, or nil. Revision zero is the empty
// model.
func (h *History) Find(revision uint64) *model.Model {
	if revision == 0 {
		return &model.Model{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.newest
	for i := len(h.older) - 1; i >= 0 && m.Revision > revision; i-- {
		m = h.older[i].difference.Undo(m, h.older[i].revision)
	}
	if m == nil || m.Revision != revision {
		return nil
	}
	return m
}
