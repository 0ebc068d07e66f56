package peer

import (
	"sync/atomic"
	"time"
)

// reportInterval is how often the counters reach the metrics scope.
const reportInterval = time.Second

// counters count events since the node's start.
type counters struct {
	sessions    atomic.Int64
	retired     atomic.Int64
	refused     atomic.Int64
	silent      atomic.Int64
	dialFailed  atomic.Int64
	sent        atomic.Int64
	lost        atomic.Int64
	expired     atomic.Int64
	queueFull   atomic.Int64
	mailboxFull atomic.Int64
	oversized   atomic.Int64
	forwarded   atomic.Int64
	served      atomic.Int64

	datagramsSent, datagramsReceived, datagramsRefused atomic.Int64
}

// Stats is a reading of a node's counters since its start.
type Stats struct {
	// Sessions were opened; Retired lost against a better one; Refused failed their
	// hello exchange; Silent did not answer a ping.
	Sessions, Retired, Refused, Silent int64
	// DialFailed counts dials that did not lead to a session.
	DialFailed int64
	// Sent control messages were written; Lost ones met a broken session; Expired ones
	// waited longer than QueueAge; QueueFull, MailboxFull and Oversized were dropped.
	Sent, Lost, Expired, QueueFull, MailboxFull, Oversized int64
	// Forwarded requests were sent to other routers; Served came from them.
	Forwarded, Served int64
	// DatagramsSent and DatagramsReceived count messages that went without a session;
	// DatagramsRefused were not authentic, or older than one before.
	DatagramsSent, DatagramsReceived, DatagramsRefused int64
}

// Stats returns the counters.
func (n *Node) Stats() Stats {
	c := &n.count
	return Stats{
		Sessions:    c.sessions.Load(),
		Retired:     c.retired.Load(),
		Refused:     c.refused.Load(),
		Silent:      c.silent.Load(),
		DialFailed:  c.dialFailed.Load(),
		Sent:        c.sent.Load(),
		Lost:        c.lost.Load(),
		Expired:     c.expired.Load(),
		QueueFull:   c.queueFull.Load(),
		MailboxFull: c.mailboxFull.Load(),
		Oversized:   c.oversized.Load(),
		Forwarded:   c.forwarded.Load(),
		Served:      c.served.Load(),

		DatagramsSent:     c.datagramsSent.Load(),
		DatagramsReceived: c.datagramsReceived.Load(),
		DatagramsRefused:  c.datagramsRefused.Load(),
	}
}

// report copies the counters to the metrics scope.
func (n *Node) report() {
	var before Stats
	for n.sleep(reportInterval) {
		now := n.Stats()
		add := func(name string, from, to int64) {
			if to > from {
				n.cfg.Scope.Counter(name).Inc(to - from)
			}
		}
		add("peer_sessions_opened", before.Sessions, now.Sessions)
		add("peer_sessions_retired", before.Retired, now.Retired)
		add("peer_sessions_refused", before.Refused, now.Refused)
		add("peer_sessions_silent", before.Silent, now.Silent)
		add("peer_dials_failed", before.DialFailed, now.DialFailed)
		add("peer_control_sent", before.Sent, now.Sent)
		add("peer_control_lost", before.Lost, now.Lost)
		add("peer_control_expired", before.Expired, now.Expired)
		add("peer_control_queue_full", before.QueueFull, now.QueueFull)
		add("peer_control_mailbox_full", before.MailboxFull, now.MailboxFull)
		add("peer_control_oversized", before.Oversized, now.Oversized)
		add("peer_requests_forwarded", before.Forwarded, now.Forwarded)
		add("peer_requests_served", before.Served, now.Served)
		add("peer_datagrams_sent", before.DatagramsSent, now.DatagramsSent)
		add("peer_datagrams_received", before.DatagramsReceived, now.DatagramsReceived)
		add("peer_datagrams_refused", before.DatagramsRefused, now.DatagramsRefused)
		n.cfg.Scope.Gauge("peer_sessions").Update(float64(len(n.sessions())))
		before = now
	}
}
