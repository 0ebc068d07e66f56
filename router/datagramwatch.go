package router

import (
	"fmt"
	"strconv"
	"time"

	"tarragongw/eventlog"
	"tarragongw/operator"
)

// datagramsEvery is the time between two looks at whether datagrams pass.
const datagramsEvery = 10 * time.Second

// datagramWatch tells when datagrams are blocked on the way to other routers. The
// routers' own actions need no word of it, as heartbeats go over sessions then; the
// owners pay for these with more bytes and processor time.
type datagramWatch struct {
	// blocked says that some were blocked at the last look.
	blocked bool
}

// look returns what to tell, given the routers that datagrams don't reach now.
func (w *datagramWatch) look(names []string) (eventlog.Event, bool) {
	was := w.blocked
	w.blocked = len(names) > 0
	switch {
	case w.blocked && !was:
		return eventlog.Event{
			Kind: eventlog.DatagramsBlocked, Cause: "sessions reach routers that datagrams don't: " + named(names),
			Fields: []eventlog.Field{eventlog.F("routers", strconv.Itoa(len(names)))},
		}, true
	case was && !w.blocked:
		return eventlog.Event{Kind: eventlog.DatagramsPass, Cause: "datagrams reach all routers that are tried"}, true
	}
	return eventlog.Event{}, false
}

func (r *Router) watchDatagrams() {
	ticker := time.NewTicker(datagramsEvery)
	defer ticker.Stop()
	var w datagramWatch
	for {
		select {
		case <-ticker.C:
		case <-r.lifetime.Done():
			return
		}
		if e, ok := w.look(r.peers.DatagramsBlocked()); ok {
			e.Router = r.self.Name
			r.journal.Record(e)
		}
	}
}

func (b *backend) addDatagrams(status *operator.Status) {
	names := b.r.peers.DatagramsBlocked()
	if len(names) == 0 {
		return
	}
	status.Problems = append(status.Problems, operator.Problem{
		What:   fmt.Sprintf("%d routers are reached over TCP and not over UDP: %s", len(names), named(names)),
		Doing:  "heartbeats to them go over sessions, which takes more bytes",
		Action: "let UDP pass on the port of listen.peer, or set listen.peer_datagrams = false",
	})
}
