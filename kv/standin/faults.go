package standin

import (
	"strings"
	"time"

	"tarragongw/kv"
)

// WatchFault is a fault of watches.
type WatchFault uint8

const (
	// WatchWorks means that watches return every change.
	WatchWorks WatchFault = iota
	// WatchSilent means that watches return nothing until their context ends.
	WatchSilent
	// WatchBroken means that watches fail immediately, including pending ones.
	WatchBroken
)

// faults are the current faults.
type faults struct {
	down          bool
	delay         time.Duration
	watch         WatchFault
	repliesToLose map[kv.CallKind]int
	cutOff        map[string]bool
	frozenVMs     []kv.VM
	freezeVMs     bool
}

func newFaults() faults {
	return faults{
		repliesToLose: make(map[kv.CallKind]int),
		cutOff:        make(map[string]bool),
	}
}

// SetDown makes every call fail without effect, including pending watches.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
	p.wakeLocked()
}

// SetDelay makes every call take at least d. A caller whose context ends
// earlier gets ErrUnknown for a write, and the write still takes effect.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// LoseReplies makes the next n calls of the kind take effect without a reply.
func (p *Platform) LoseReplies(kind kv.CallKind, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.repliesToLose[kind] = n
}

// SetWatchFault sets the fault of watches, including pending ones.
func (p *Platform) SetWatchFault(f WatchFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.watch = f
	p.wakeLocked()
}

// SetStaleVMs freezes the list of VMs that clients see at its current state, or ends that.
func (p *Platform) SetStaleVMs(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.freezeVMs = stale
	p.faults.frozenVMs = p.vms
}

// CutOff disconnects clients from the platform, or reconnects them. The name is the
// full name of a client, or the part before its slash for a group of clients: CutOff("lapu",
// true) disconnects the data centre whose clients are named lapu/router-1 and so on.
func (p *Platform) CutOff(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.cutOff[name] = cut
	p.wakeLocked()
}

// unreachableLocked reports whether the client's calls fail without effect.
func (p *Platform) unreachableLocked(client string) bool {
	if p.faults.down || p.faults.cutOff[client] {
		return true
	}
	group, _, found := strings.Cut(client, "/")
	return found && p.faults.cutOff[group]
}

// takeLostReplyLocked reports whether to lose the reply to a call of the kind, and counts it.
func (p *Platform) takeLostReplyLocked(kind kv.CallKind) bool {
	if p.faults.repliesToLose[kind] == 0 {
		return false
	}
	p.faults.repliesToLose[kind]--
	return true
}
