package standin

import (
	"strings"
	"time"

	"tarragongw/kv"
)

// WatchFault says what is wrong with watches.
type WatchFault uint8

const (
	// WatchWorks: watches see every change.
	WatchWorks WatchFault = iota
	// WatchSilent: watches hang without a word until their context ends.
	WatchSilent
	// WatchBroken: watches fail at once, waiting ones included.
	WatchBroken
)

// switches are the faults that are on.
type switches struct {
	down      bool
	delay     time.Duration
	watch     WatchFault
	lostReply map[kv.CallKind]int
	cutOff    map[string]bool
	staleVMs  []kv.VM
	vmsAreOld bool
}

func newSwitches() switches {
	return switches{
		lostReply: make(map[kv.CallKind]int),
		cutOff:    make(map[string]bool),
	}
}

// SetDown makes every call fail without effect, waiting watches included.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches.down = down
	p.wakeLocked()
}

// SetDelay makes every call take at least d. A caller that gives up earlier
// gets ErrUnknown for a write, and the write takes effect nevertheless.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches.delay = d
}

// LoseReplies makes the next n calls of kind take effect and lose their reply.
func (p *Platform) LoseReplies(kind kv.CallKind, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches.lostReply[kind] = n
}

// SetWatchFault says what is wrong with watches, waiting ones included.
func (p *Platform) SetWatchFault(f WatchFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches.watch = f
	p.wakeLocked()
}

// SetStaleVMs freezes the list of VMs as clients see it, or lets it follow again.
func (p *Platform) SetStaleVMs(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches.vmsAreOld = stale
	p.switches.staleVMs = p.vms
}

// CutOff keeps a client from reaching the platform, or lets it again. The name
// is a client's whole name or the part of it before a slash: CutOff("lapu", true)
// cuts off the data centre whose clients are named lapu/router-1 and so on.
func (p *Platform) CutOff(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.switches.cutOff[name] = cut
	p.wakeLocked()
}

// unreachableLocked says whether the client's calls fail without effect.
func (p *Platform) unreachableLocked(client string) bool {
	if p.switches.down || p.switches.cutOff[client] {
		return true
	}
	group, _, found := strings.Cut(client, "/")
	return found && p.switches.cutOff[group]
}

// losesReplyLocked uses up one lost reply of the kind, if one is left.
func (p *Platform) losesReplyLocked(kind kv.CallKind) bool {
	if p.switches.lostReply[kind] == 0 {
		return false
	}
	p.switches.lostReply[kind]--
	return true
}
