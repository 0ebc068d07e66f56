package peer

import (
	"io"

	"github.com/hashicorp/yamux"
)

// acceptLoop takes the streams that the other side opens.
func (s *session) acceptLoop() {
	for {
		st, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		if !s.node.spawn(func() { s.classify(st) }) {
			_ = st.Close()
			return
		}
	}
}

func (s *session) classify(st *yamux.Stream) {
	var kind [1]byte
	if _, err := io.ReadFull(st, kind[:]); err != nil {
		_ = st.Close()
		return
	}
	switch kind[0] {
	case streamControl:
		s.readControl(st)
	case streamData:
		s.serve(st)
	default:
		_ = st.Close()
	}
}

// serve hands a data stream to the HTTP server.
func (s *session) serve(st *yamux.Stream) {
	c := &serverConn{Stream: st, session: s}
	s.lock.Lock()
	s.conns[st.StreamID()] = c
	s.lock.Unlock()
	s.node.streams.offer(c)
	if !s.alive() {
		c.giveUp()
	}
}

func (s *session) forgetConn(c *serverConn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.conns, c.StreamID())
}

// serving says whether the other side has data streams open.
func (s *session) serving() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.conns) > 0
}

func (s *session) cancelConn(id uint32) {
	s.lock.Lock()
	c := s.conns[id]
	s.lock.Unlock()
	if c != nil {
		c.giveUp()
	}
}

// giveUpAll cancels the requests of a session that ended.
func (s *session) giveUpAll() {
	s.lock.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	s.lock.Unlock()
	for _, c := range conns {
		c.giveUp()
	}
}
