package peer

import (
	"bufio"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"tarragongw/peer/peerpb"
)

// queued is a control message that waits to be sent.
type queued struct {
	kind    string
	payload []byte
	since   time.Time
}

// received is a control message that waits for the handler.
type received struct {
	session *session
	kind    string
	payload []byte
}

// readControl reads the frames of one control stream until it ends. A frame that
// is too large or malformed ends the session, because the reader has lost its
// place and cannot find the next frame.
func (s *session) readControl(st *yamux.Stream) {
	defer st.Close()
	r := bufio.NewReaderSize(st, readBuffer)
	for {
		var frame peerpb.ControlFrame
		if err := readFrame(r, &frame, s.node.cfg.MaxMessage+frameSlack); err != nil {
			if errors.Is(err, ErrFrameTooLarge) {
				s.node.count.oversized.Add(1)
			}
			s.close(errors.Wrap(err, "control frame"))
			return
		}
		if s.internal(frame.Kind, frame.Payload) {
			continue
		}
		s.touch()
		s.node.post(received{session: s, kind: frame.Kind, payload: frame.Payload})
	}
}

// post puts a message into the handler's mailbox. When the mailbox is full, or
// one session fills its quarter of it, the newest message is dropped and counted:
// reading goes on, so that a slow handler never makes a session look silent.
func (n *Node) post(m received) {
	if m.session.barred() {
		return
	}
	quarter := int32(max(cap(n.mailbox)/4, 1))
	if m.session.waiting.Add(1) > quarter {
		m.session.waiting.Add(-1)
		n.count.mailboxFull.Add(1)
		return
	}
	n.pending.Add(1)
	select {
	case n.mailbox <- m:
	default:
		n.pending.Add(-1)
		m.session.waiting.Add(-1)
		n.count.mailboxFull.Add(1)
	}
}

// postHere hands a message to the handler on the caller's goroutine where no other
// waits or is being handled: at rest waking another one costs more than most messages.
// Meanwhile the caller reads nothing else, so this is for datagrams, which the kernel
// keeps.
func (n *Node) postHere(m received) {
	if !n.handling.TryLock() {
		n.post(m)
		return
	}
	defer n.handling.Unlock()
	if n.pending.Load() > 0 {
		n.post(m)
		return
	}
	n.handler.Control(m.session.remote, m.kind, m.payload)
}

// deliver hands messages to the handler, one at a time and in the order of
// arrival for each session.
func (n *Node) deliver() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-n.mailbox:
			m.session.waiting.Add(-1)
			n.handle(m)
		}
	}
}

func (n *Node) handle(m received) {
	n.handling.Lock()
	defer n.handling.Unlock()
	n.handler.Control(m.session.remote, m.kind, m.payload)
	n.pending.Add(-1)
}

// enqueue adds a message to the link's queue; when it is full the newest message
// is dropped and counted.
func (l *link) enqueue(kind string, payload []byte) bool {
	l.lock.Lock()
	if len(l.queue) >= l.node.cfg.QueueLength {
		l.lock.Unlock()
		l.node.count.queueFull.Add(1)
		return false
	}
	l.queue = append(l.queue, queued{kind: kind, payload: payload, since: time.Now()})
	start := !l.writing
	l.writing = true
	l.lock.Unlock()
	if start && !l.node.spawn(l.write) {
		return false
	}
	return true
}

// write sends what is queued and ends when nothing is left, so that a router that
// knows thousands of others has a goroutine only for those it writes to.
func (l *link) write() {
	for {
		m, ok := l.next()
		if !ok {
			return
		}
		l.writeOne(m)
	}
}

func (l *link) next() (queued, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if len(l.queue) == 0 || l.node.ctx.Err() != nil {
		l.queue = nil
		l.writing = false
		return queued{}, false
	}
	m := l.queue[0]
	l.queue = l.queue[1:]
	return m, true
}

// writeOne sends m, waiting for a session while m is young enough. After the
// first byte nothing is repeated.
func (l *link) writeOne(m queued) {
	expiry := m.since.Add(l.node.cfg.QueueAge)
	for time.Now().Before(expiry) {
		s, err := l.session(l.node.ctx)
		if err != nil {
			if !l.node.sleep(l.wait(expiry)) {
				return
			}
			continue
		}
		s.touch()
		err = s.send(m.kind, m.payload)
		if errors.Is(err, errRetired) {
			continue
		}
		if err != nil {
			l.node.count.lost.Add(1)
		} else {
			l.node.count.sent.Add(1)
		}
		return
	}
	l.node.count.expired.Add(1)
}
