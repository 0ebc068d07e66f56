package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/peerpb"
)

// A datagram is a version, the number of the receiver's key, a counter, a ControlFrame
// and a tag over all of these.
const (
	datagramVersion = 1
	datagramHeader  = 1 + 4 + 8
	datagramTag     = 16
	// DatagramOverhead is the bytes of a datagram beside its ControlFrame.
	DatagramOverhead = datagramHeader + datagramTag
	// maxDatagram bounds a datagram in bytes, so that no link has to split it.
	maxDatagram = 1200
	keyBytes    = 32
)

// Times of the proof that datagrams pass.
const (
	// passFor is how long a word that datagrams arrive is good for.
	passFor = 5 * time.Second
	// heardEvery is the least time between two such words.
	heardEvery = 2 * time.Second
	// tryEvery is the time between two tries while they don't pass.
	tryEvery = 5 * time.Second
	// blockedAfter is how long tries go unanswered before datagrams count as blocked: six
	// of them in a row.
	blockedAfter = 30 * time.Second
)

// datagrams is a node's socket for messages that may be lost.
//
// Each side of a session gives the other a key of its own choice over the session,
// under which it takes datagrams in; with TLS only the other side knows it. The counter
// only grows: what goes wrong without it is that a heartbeat that was overheard and
// is sent again keeps a router alive for others that is dead. Keys end with the
// session, and so with the life of the router.
type datagrams struct {
	node *Node
	conn *net.UDPConn

	// passFor, heardEvery, tryEvery and blockedAfter are the constants, but for tests.
	passFor, heardEvery, tryEvery, blockedAfter time.Duration

	lock sync.Mutex
	keys map[uint32]*inbound
}

// outbound is what a session needs to send datagrams; zero until it is given a key.
type outbound struct {
	lock    sync.Mutex
	asked   bool
	key     uint32
	mac     hash.Hash
	to      netip.AddrPort
	counter uint64
	// passUntil is up to when datagrams are known to arrive, tryAt when the next is tried
	// if they aren't, in nanoseconds since the node's start.
	passUntil int64
	tryAt     int64
	// unheardSince is when the first try after the last word was sent, on the same scale;
	// zero where none waits for one.
	unheardSince int64
}

// openDatagrams opens the socket at the listener's port. Without it, as where the port
// is taken, all messages go over sessions. Connections that go through Config.Dial have
// a way of their own, on which a datagram does not go.
func (n *Node) openDatagrams() *datagrams {
	d := &datagrams{node: n, passFor: passFor, heardEvery: heardEvery, tryEvery: tryEvery, blockedAfter: blockedAfter, keys: make(map[uint32]*inbound)}
	at, ok := n.listener.Addr().(*net.TCPAddr)
	if !ok || n.cfg.NoDatagrams {
		return d
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port, Zone: at.Zone})
	if err != nil {
		n.cfg.Logger.Warn("no datagrams between routers, messages go over sessions", "cause", err)
		return d
	}
	d.conn = conn
	return d
}

func (d *datagrams) close() {
	if d.conn != nil {
		_ = d.conn.Close()
	}
}

// SendLossy sends a message that is repeated anyway, as a datagram where these are known
// to arrive at the router and by Send otherwise.
func (n *Node) SendLossy(to, kind string, payload []byte) bool {
	if l := n.lookup(to); l != nil && n.datagrams.conn != nil {
		l.lock.Lock()
		s := l.current
		l.lock.Unlock()
		if s != nil && s.usable() && s.sendDatagram(kind, payload) {
			return true
		}
	}
	return n.Send(to, kind, payload)
}

// sendDatagram reports whether the message needs no other way: it was sent, and the
// last ones arrived. A try goes over the session as well.
func (s *session) sendDatagram(kind string, payload []byte) bool {
	o, now := &s.outbound, s.node.elapsed()
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.mac == nil {
		s.askKey()
		return false
	}
	pass := now < o.passUntil
	if !pass && now < o.tryAt {
		return false
	}
	if !pass {
		o.tryAt = now + int64(s.node.datagrams.tryEvery)
	}
	packet, err := o.seal(kind, payload)
	if err != nil || len(packet) > maxDatagram {
		return false
	}
	if _, err := s.node.datagrams.conn.WriteToUDPAddrPort(packet, o.to); err != nil {
		o.passUntil = 0
		return false
	}
	if !pass && o.unheardSince == 0 {
		o.unheardSince = now
	}
	s.node.count.datagramsSent.Add(1)
	s.touch()
	return pass
}

// DistrustDatagrams has messages to the router go over the session until a datagram is
// known to arrive again: it behaves as if it did not hear this one.
//
// What goes wrong without it: something in between begins to drop datagrams, and up to
// passFor nothing but pings keeps this router from being found silent; a pause then
// passes for its death.
func (n *Node) DistrustDatagrams(to string) {
	l := n.lookup(to)
	if l == nil {
		return
	}
	l.lock.Lock()
	s := l.current
	l.lock.Unlock()
	if s == nil {
		return
	}
	o := &s.outbound
	o.lock.Lock()
	defer o.lock.Unlock()
	if n.elapsed() < o.passUntil {
		// By then the other side may give its word again. On a busy machine a message is
		// often only late, and longer by the session would cost more than it saves.
		o.passUntil, o.tryAt = 0, n.elapsed()+int64(n.datagrams.heardEvery)
	}
}

// askKey asks for a key once for each session; it needs the lock of outbound.
func (s *session) askKey() {
	if o := &s.outbound; !o.asked {
		o.asked = true
		s.node.spawn(func() { _ = s.send(kindAskKey, nil) })
	}
}

// seal needs the lock.
func (o *outbound) seal(kind string, payload []byte) ([]byte, error) {
	o.counter++
	packet := make([]byte, datagramHeader, datagramHeader+len(kind)+len(payload)+frameSlack)
	packet[0] = datagramVersion
	binary.BigEndian.PutUint32(packet[1:], o.key)
	binary.BigEndian.PutUint64(packet[5:], o.counter)
	packet, err := proto.MarshalOptions{}.MarshalAppend(packet, &peerpb.ControlFrame{Kind: kind, Payload: payload})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(packet, tagOf(o.mac, packet)...), nil
}

func tagOf(mac hash.Hash, packet []byte) []byte {
	mac.Reset()
	_, _ = mac.Write(packet)
	return mac.Sum(nil)[:datagramTag]
}

// giveKey answers the other side's question for a key. A session has one at most.
func (d *datagrams) giveKey(s *session) {
	if d.conn == nil {
		return
	}
	key := make([]byte, keyBytes)
	// It never fails; the process ends where there is no random source.
	_, _ = rand.Read(key)
	id, ok := d.addKey(s, key)
	if !ok {
		return
	}
	payload, err := proto.Marshal(&peerpb.DatagramKey{Number: id, Key: key})
	if err != nil {
		d.node.cfg.Logger.Error("datagram key not encoded", "error", err)
		return
	}
	d.node.spawn(func() { _ = s.send(kindKey, payload) })
}

func (d *datagrams) addKey(s *session, key []byte) (uint32, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, in := range d.keys {
		if in.session == s {
			return 0, false
		}
	}
	id := binary.BigEndian.Uint32(key[:4])
	if d.keys[id] != nil || !s.alive() {
		return 0, false
	}
	d.keys[id] = &inbound{session: s, mac: hmac.New(sha256.New, key)}
	return id, true
}

// forget ends the keys of a session that ended.
func (d *datagrams) forget(s *session) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for id, in := range d.keys {
		if in.session == s {
			delete(d.keys, id)
		}
	}
}

// takeKey takes in the key under which the other side takes datagrams in.
func (s *session) takeKey(payload []byte) {
	var m peerpb.DatagramKey
	if proto.Unmarshal(payload, &m) != nil || len(m.Key) != keyBytes {
		return
	}
	// Routers talk by IP numbers; a name would have to be looked up.
	to, err := netip.ParseAddrPort(s.remote.Address)
	if err != nil {
		return
	}
	o := &s.outbound
	o.lock.Lock()
	defer o.lock.Unlock()
	o.key, o.mac, o.to, o.counter = m.Number, hmac.New(sha256.New, m.Key), to, 0
	o.passUntil, o.tryAt, o.unheardSince = 0, 0, 0
}

// heard takes in the other side's word that a datagram arrived.
func (s *session) heard() {
	o := &s.outbound
	o.lock.Lock()
	defer o.lock.Unlock()
	o.passUntil = s.node.elapsed() + int64(s.node.datagrams.passFor)
	o.unheardSince = 0
}
