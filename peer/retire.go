package peer

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"tarragongw/peer/peerpb"
)

// Control kinds of the transport itself. They are not handed to the Handler.
const (
	// kindPrefix is reserved for them.
	kindPrefix = "peer."
	// kindCancel says that the sender gave up the request on one of its streams.
	kindCancel = "peer.cancel"
	// kindRetire asks the other side to stop using the session.
	kindRetire = "peer.retire"
	// kindDrained says that the sender has no request of its own on the session and
	// will send neither a request nor a message of its handler.
	kindDrained = "peer.drained"
	// kindDone is the accepting side's answer when both sides are drained; the
	// dialling side then closes.
	kindDone = "peer.done"
	// kindAskKey asks for a key for datagrams, kindKey brings it, and kindHeard says that
	// a datagram arrived.
	kindAskKey = "peer.datagram.ask"
	kindKey    = "peer.datagram.key"
	kindHeard  = "peer.datagram.heard"
)

// retire lets the session end without cutting off a request: neither side sends
// new ones, and when both have none left it closes.
func (s *session) retire(tell bool) {
	s.lock.Lock()
	already := s.retired
	s.retired = true
	s.lock.Unlock()
	if already {
		return
	}
	if tell {
		_ = s.send(kindRetire, nil)
	}
	s.closeIdle()
	s.drain()
}

// drain says "drained" once when a retired session carries no more requests.
func (s *session) drain() {
	s.lock.Lock()
	now := s.retired && s.inFlight == 0 && !s.drainedSent
	if now {
		s.drainedSent = true
	}
	s.lock.Unlock()
	if !now {
		return
	}
	_ = s.send(kindDrained, nil)
	s.finish()
}

// finish ends the session when both sides are drained.
//
// What would go wrong: the side that closes first drops what the other has not
// read yet, and control messages sent before the end are lost, as when two routers
// dial each other at once. The control stream keeps its order: whoever has read
// "drained" has read all before it, and "done" says that the accepting side has.
func (s *session) finish() {
	s.lock.Lock()
	done := s.drainedSent && s.drainedGot && !s.doneSent
	s.doneSent = s.doneSent || done
	s.lock.Unlock()
	if done && !s.dialled {
		_ = s.send(kindDone, nil)
	}
}

// internal handles the transport's own kinds, and ignores those of a newer minor
// version; it reports false for all others.
func (s *session) internal(kind string, payload []byte) bool {
	switch kind {
	case kindRetire:
		s.retire(false)
	case kindDrained:
		s.retire(false)
		s.lock.Lock()
		s.drainedGot = true
		s.lock.Unlock()
		s.finish()
	case kindDone:
		s.close(errRetired)
	case kindCancel:
		var m peerpb.Cancel
		if proto.Unmarshal(payload, &m) == nil {
			s.cancelConn(m.Stream)
		}
	case kindAskKey:
		s.node.datagrams.giveKey(s)
	case kindKey:
		s.takeKey(payload)
	case kindHeard:
		s.heard()
	default:
		return strings.HasPrefix(kind, kindPrefix)
	}
	return true
}
