package router

import (
	"bytes"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tarragongw/core/membership"
	"tarragongw/duty"
	"tarragongw/kv"
	"tarragongw/peer/wire"
)

// The platform's list of VMs is a hint to join and to leave. Only the routers that watch
// the store read it often. They pass on what the others can't know from the member view,
// and a router that hears of a list in this way doesn't read it itself: each reading is
// a call whose rate would have to grow with the fleet.

// Times, in intervals of the setting vms.every.
const (
	// slowList is the time between two readings of a router that does not watch the
	// store, has found the others, and has to read for itself.
	slowList = 30
	// noticeEvery is the time between two notices of a watcher while the list stays.
	noticeEvery = 10
	// noticeLasts is how long a notice spares a router its own readings: two may be lost
	// on their way before it falls back.
	noticeLasts = 3*noticeEvery + noticeEvery/2
)

// listState is what decides whether a router reads the list.
type listState struct {
	// Alone says that the router knows no other of its data centre, Joined that it holds
	// all records, Watching that it watches the store.
	Alone, Joined, Watching bool
	// SinceRead, SinceNotice and SinceIsolated are the times since the last own reading,
	// since the last notice and since a member of the data centre became isolated, of
	// which only an own reading shows that the platform has removed it; negative: never.
	SinceRead, SinceNotice, SinceIsolated time.Duration
	// Jitter is this router's own delay, below slowList intervals. Without it all routers
	// of a fleet that stops hearing would call the platform within the same two seconds.
	Jitter time.Duration
}

// due says whether the list is to be read now.
func (s *listState) due(every time.Duration) bool {
	if s.SinceRead < 0 || s.Alone || !s.Joined || s.Watching {
		return true
	}
	if s.SinceRead < slowList*every {
		return false
	}
	return s.SinceIsolated > s.Jitter || s.SinceNotice < 0 || s.SinceNotice > noticeLasts*every+s.Jitter
}

// listRead is the message to the duty that the list was read at a time of the clock.
type listRead struct {
	vms []membership.ListedVM
	at  time.Duration
}

// listNotice is what was last passed on. Only the duty itself uses it.
type listNotice struct {
	content []byte
	at      time.Duration
}

// followList reads the platform's list of VMs as often as is needed.
func (m *memberDuty) followList() {
	directory := m.r.platform.For(kv.Rest)
	every := m.r.opts.Settings.VMs.Every
	read, jitter := time.Duration(-1), rand.N(slowList*every)
	for {
		if state := m.listState(read, jitter); state.due(every) {
			// A reading counts from before it was asked for, so that its age is not too low.
			at := m.r.clock.Now()
			vms, err := directory.VMs(m.r.lifetime)
			if err == nil || read >= 0 {
				read = at // one that failed is tried again as rarely
			}
			if err == nil {
				m.witness()
				event := listed(vms)
				m.duty.Tell(event)
				m.duty.Tell(listRead{vms: event.VMs, at: at})
			}
		}
		if !duty.Sleep(m.r.lifetime, every) {
			return
		}
	}
}

func (m *memberDuty) listState(read, jitter time.Duration) *listState {
	now := m.r.clock.Now()
	s := &listState{
		Alone:     len(m.view.Load().Live(m.r.self.DataCentre)) <= 1,
		Joined:    m.r.records.joined.Load(),
		Watching:  m.r.records.watching.Load(),
		SinceRead: -1,
		Jitter:    jitter,
	}
	if read >= 0 {
		s.SinceRead = now - read
	}
	s.SinceNotice = sinceOf(now, &m.noticed)
	s.SinceIsolated = sinceOf(now, &m.isolated)
	return s
}

// sinceOf returns the time since at, and -1 where that is zero.
func sinceOf(now time.Duration, at *atomic.Int64) time.Duration {
	if t := at.Load(); t != 0 {
		return now - time.Duration(t)
	}
	return -1
}

func listed(vms []kv.VM) membership.Listed {
	var e membership.Listed
	for _, vm := range vms {
		e.VMs = append(e.VMs, membership.ListedVM{
			Name:       vm.Name,
			DataCentre: vm.DataCentre,
			Address:    vm.PeerAddress,
			Leaving:    vm.Leaving,
		})
	}
	return e
}

// noteIsolated keeps since when a member of the data centre is isolated.
func (m *memberDuty) noteIsolated(view *membership.View) {
	isolated := anyIsolated(view, m.r.self.DataCentre)
	if isolated != (m.isolated.Load() != 0) {
		at := int64(0)
		if isolated {
			at = int64(m.r.clock.Now())
		}
		m.isolated.Store(at)
	}
}

func anyIsolated(view *membership.View, dc string) bool {
	for _, member := range view.Members(dc) {
		if member.State == membership.Isolated {
			return true
		}
	}
	return false
}

// announce passes the list on where this router watches the store: at once where it
// changed, else now and then, so that the others know that somebody reads it.
func (m *memberDuty) announce(read listRead) {
	if !m.r.records.watching.Load() {
		return
	}
	content, err := encodeNotice(m.core.Notice(read.vms), 0)
	if err != nil {
		m.r.log.Error("list of VMs not encoded", "error", err)
		return
	}
	now := m.r.clock.Now()
	every := m.r.opts.Settings.VMs.Every
	if bytes.Equal(content, m.notice.content) && now-m.notice.at < noticeEvery*every {
		return
	}
	m.notice = listNotice{content: content, at: now}
	payload, err := encodeNotice(m.core.Notice(read.vms), now-read.at)
	if err != nil {
		m.r.log.Error("list of VMs not encoded", "error", err)
		return
	}
	m.r.records.announce(payload)
}

// encodeNotice puts a notice of a list that was read age ago into a membership message.
func encodeNotice(vms []membership.ListedVM, age time.Duration) ([]byte, error) {
	message := membership.Message{Kind: membership.ListNotice, Silent: age}
	for _, vm := range vms {
		message.Updates = append(message.Updates, membership.Update{
			Member:  membership.Member{Name: vm.Name, DataCentre: vm.DataCentre, Address: vm.Address},
			Leaving: vm.Leaving,
		})
	}
	return wire.EncodeMembership(&message)
}

// receiveNotice hands a list that another router read to the core.
func (m *memberDuty) receiveNotice(from string, payload []byte) {
	message, err := wire.DecodeMembership(payload)
	if err != nil || message.Kind != membership.ListNotice {
		m.r.log.Warn("unreadable notice", "from", from, "error", err)
		return
	}
	m.noticed.Store(int64(m.r.clock.Now()))
	e := membership.NoticeReceived{Age: message.Silent}
	for i := range message.Updates {
		u := &message.Updates[i]
		e.VMs = append(e.VMs, membership.ListedVM{
			Name: u.Member.Name, DataCentre: u.Member.DataCentre, Address: u.Member.Address, Leaving: u.Leaving,
		})
	}
	m.duty.Tell(e)
}
