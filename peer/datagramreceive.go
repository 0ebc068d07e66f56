package peer

import (
	"crypto/hmac"
	"encoding/binary"
	"hash"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/peerpb"
)

// inbound is the key under which datagrams of one session are taken in.
type inbound struct {
	session *session
	mac     hash.Hash
	last    uint64
	toldAt  int64
}

// receive reads datagrams until the socket is closed.
func (d *datagrams) receive() {
	buf := make([]byte, maxDatagram+1)
	for {
		size, _, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !d.node.sleep(time.Millisecond) {
				return
			}
			continue
		}
		if !d.take(buf[:size]) {
			d.node.count.datagramsRefused.Add(1)
		}
	}
}

// take hands on a datagram that is authentic and newer than those before it.
func (d *datagrams) take(packet []byte) bool {
	if len(packet) < datagramHeader+datagramTag || len(packet) > maxDatagram || packet[0] != datagramVersion {
		return false
	}
	body, tag := packet[:len(packet)-datagramTag], packet[len(packet)-datagramTag:]
	in, tell := d.open(body, tag)
	if in == nil {
		return false
	}
	var frame peerpb.ControlFrame
	if proto.Unmarshal(body[datagramHeader:], &frame) != nil {
		return false
	}
	d.node.count.datagramsReceived.Add(1)
	in.session.touch()
	if tell {
		d.node.spawn(func() { _ = in.session.send(kindHeard, nil) })
	}
	if strings.HasPrefix(frame.Kind, kindPrefix) {
		return false
	}
	d.node.postHere(received{session: in.session, kind: frame.Kind, payload: frame.Payload})
	return true
}

// open checks a datagram; tell says that the sender is to be told of it.
func (d *datagrams) open(body, tag []byte) (in *inbound, tell bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	in = d.keys[binary.BigEndian.Uint32(body[1:])]
	if in == nil || !hmac.Equal(tagOf(in.mac, body), tag) {
		return nil, false
	}
	counter := binary.BigEndian.Uint64(body[5:])
	if counter <= in.last || !in.session.alive() {
		return nil, false
	}
	in.last = counter
	if now := d.node.elapsed(); in.toldAt == 0 || now-in.toldAt >= int64(d.heardEvery) {
		in.toldAt, tell = now, true
	}
	return in, tell
}
