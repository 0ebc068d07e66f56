package router

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragongw/confstore"
	"tarragongw/core/membership"
	"tarragongw/core/ownership"
	"tarragongw/core/spread"
	"tarragongw/duty"
	"tarragongw/eventlog"
	"tarragongw/peer"
	"tarragongw/peer/wire"
)

// recordDuty drives the dissemination core: a few routers of each data centre
// watch the store, and what they see reaches the others down a tree. A full
// mailbox makes the sender wait: what is lost here only the next exchange of
// digests would find.
type recordDuty struct {
	r      *Router
	core   *spread.Core
	duty   *duty.Duty
	waker  *waker
	joined atomic.Bool
	// watching says that this router watches the store for its data centre.
	watching atomic.Bool
	// writes are records that this router wrote, taken up at the next tick.
	writes chan spread.Entry
	// watch is the store watch while this router is to watch.
	watch *storeWatch

	mu   sync.Mutex
	asks map[uint64]chan []spread.Row
	seq  uint64
}

func newRecordDuty(r *Router) *recordDuty {
	random := rand.New(rand.NewPCG(r.self.Incarnation, spreadSeed))
	return &recordDuty{
		r:      r,
		core:   spread.New(spread.DefaultConfig(), r.self.Name, r.self.DataCentre, r.self.Incarnation, random),
		asks:   make(map[uint64]chan []spread.Row),
		writes: make(chan spread.Entry, maxWaitingRecords),
	}
}

// announce passes something on to all routers of the data centre.
func (d *recordDuty) announce(value []byte) { d.duty.Tell(spread.Announce{Value: value}) }

// maxWaitingRecords bounds the written records that wait for the next tick.
const maxWaitingRecords = 1024

// spreadSeed keeps the random numbers of the duties apart.
const spreadSeed = 2

func (d *recordDuty) start() {
	d.waker = d.r.newWaker(func() { d.duty.TellHere(spread.Tick{}) })
	d.duty = d.r.startDuty(false, d.handle)
	d.waker.within(0)
}

// receive hands a message of another router to the core.
func (d *recordDuty) receive(from peer.Identity, payload []byte) {
	message, err := wire.DecodeSpread(payload)
	if err != nil {
		d.r.log.Warn("unreadable record message", "from", from.Name, "error", err)
		return
	}
	d.duty.Tell(spread.Received{From: from.Name, Message: message})
}

// wrote tells the others of a record that this router wrote to the store. It never
// waits: the duty of ownership calls it, and this duty waits for room in that one's
// mailbox, so with both full each would wait for the other for good. What finds no
// room is dropped here and comes by the watch of the store.
func (d *recordDuty) wrote(key string, revision uint64, value []byte) {
	select {
	case d.writes <- entryOf(key, revision, value):
		d.waker.within(spread.DefaultConfig().Tick)
	default:
		d.r.log.Warn("record left to the store watch, too many written at once", "key", key)
	}
}

// written returns the records that wait in writes.
func (d *recordDuty) written() []spread.Entry {
	var entries []spread.Entry
	for {
		select {
		case entry := <-d.writes:
			entries = append(entries, entry)
		default:
			return entries
		}
	}
}

func entryOf(key string, revision uint64, value []byte) spread.Entry {
	return spread.Entry{Key: key, Revision: revision, Class: classOf(key), Value: value}
}

// classOf orders records: who owns a key is more urgent than a configuration.
func classOf(key string) spread.Class {
	switch {
	case strings.HasPrefix(key, ownershipPrefix):
		return spread.Ownership
	case strings.HasPrefix(key, confstore.Prefix):
		return spread.Configuration
	default:
		return spread.Other
	}
}

// membersChanged tells the core of a new member view.
func (d *recordDuty) membersChanged(view *membership.View) {
	var e spread.Members
	for _, dc := range view.DataCentres() {
		names := liveNames(view, dc)
		if dc == d.r.self.DataCentre {
			e.Local = names
			continue
		}
		e.Remote = append(e.Remote, spread.DataCentre{Name: dc, Live: names})
	}
	d.duty.Tell(e)
}

func liveNames(view *membership.View, dc string) []string {
	var names []string
	for _, member := range view.Live(dc) {
		names = append(names, member.Name)
	}
	return names
}

// handle takes one event through the core.
func (d *recordDuty) handle(message any) {
	event, ok := message.(spread.Event)
	if !ok {
		return
	}
	if _, tick := event.(spread.Tick); tick {
		d.waker.handled()
		if entries := d.written(); len(entries) > 0 {
			d.step(spread.FromStore{Entries: entries})
		}
	}
	d.step(event)
	d.waker.next(d.core.Wake(d.now()))
}

// now is the time on the clock that counts suspension.
func (d *recordDuty) now() time.Time { return time.Unix(0, int64(d.r.clock.Now())) }

func (d *recordDuty) step(event spread.Event) {
	for _, action := range d.core.Step(d.now(), event) {
		d.do(action)
	}
}

func (d *recordDuty) do(action spread.Action) {
	switch a := action.(type) {
	case spread.Send:
		d.send(&a)
	case spread.Deliver:
		for i := range a.Entries {
			d.deliver(&a.Entries[i])
		}
	case spread.Watch:
		d.setWatching(a.On)
	case spread.Ready:
		d.joined.Store(true)
	case spread.Announced:
		d.r.members.receiveNotice(a.From, a.Value)
	case spread.Asked:
		d.duty.TellLater(spread.Answer{To: a.To, ID: a.ID, Rows: d.rows()})
	case spread.Answered:
		d.answered(a)
	case spread.PatchDropped:
		d.r.patchDropped(a)
	case spread.Refused:
		d.r.journal.Record(eventlog.Event{
			Kind:   eventlog.ConfigRefused,
			Cause:  "the record exceeds the bounds on memory",
			Router: d.r.self.Name,
			Fields: []eventlog.Field{eventlog.F("key", a.Key), eventlog.F("bytes", uintText(uint64(a.Size)))},
		})
	}
}

func (d *recordDuty) send(a *spread.Send) {
	if a.Message.Kind == spread.Patched && !d.r.readsPatches(a.To) {
		d.step(spread.PatchesUnsupported{To: a.To, Message: a.Message})
		return
	}
	payload, err := wire.EncodeSpread(&a.Message)
	if err != nil {
		d.r.log.Error("record message not encoded", "error", err)
		return
	}
	send := d.r.peers.Send
	if a.Message.Kind == spread.Digest {
		// The next one comes soon. Over a session each would have to be proved by a ping.
		send = d.r.peers.SendLossy
	}
	send(a.To, kindSpread, payload)
}

// deliver hands a record that is news to the duty that it concerns.
func (d *recordDuty) deliver(entry *spread.Entry) {
	if entry.Deleted {
		return
	}
	switch entry.Class {
	case spread.Ownership:
		d.r.owner.duty.Tell(ownership.StoreChanged{Key: entry.Key, Revision: entry.Revision, Value: entry.Value})
	case spread.Configuration:
		d.r.config.learnRecord(entry.Key, entry.Revision, entry.Value)
	}
}

// rows are what this router knows of the revisions in force.
func (d *recordDuty) rows() []spread.Row {
	boot := time.Unix(0, int64(d.r.clock.Now()))
	var rows []spread.Row
	for _, report := range d.r.members.reported() {
		rows = append(rows, spread.Row{
			Router:     report.Member.Name,
			DataCentre: report.Member.DataCentre,
			State:      report.State.String(),
			Revision:   report.Revision,
			Age:        boot.Sub(report.Since),
			Reporter:   d.r.self.Name,
		})
	}
	return rows
}
