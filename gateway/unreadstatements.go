package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxUnreadNames bounds the names that are remembered and logged, and answersPerLook is how many answers come for each
	// one whose headers are looked at.
	maxUnreadNames = 64
	answersPerLook = 32
)

// unreadStatements names what targets and operators state and no code reads, each once: it may ask for something that this
// version doesn't do.
type unreadStatements struct {
	g       *Gateway
	answers atomic.Uint64

	mu    sync.Mutex
	known map[string]bool
}

// observeAnswer looks at some of the answers of targets.
func (u *unreadStatements) observeAnswer(h http.Header) {
	if u.answers.Add(1)%answersPerLook == 1 {
		u.report("answer", u.g.opts.Adapter.UnreadHeaders(h))
	}
}

// report logs the names that are new, of a kind of record.
func (u *unreadStatements) report(record string, names []string) {
	for _, name := range names {
		u.mu.Lock()
		full := record + " " + name
		isNew := !u.known[full] && len(u.known) < maxUnreadNames
		if isNew {
			u.known[full] = true
		}
		u.mu.Unlock()
		if isNew {
			u.g.log.Warn("stated and not read", "in", record, "name", name)
		}
	}
}
