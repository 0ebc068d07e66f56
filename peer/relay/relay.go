// Package relay carries connections to targets through another router: one that can't reach a target
// asks another router to open a connection, and sends its requests on it as on its own. A relayed
// connection passes exactly one router, because that router opens connections of its own only.
//
// After the first exchange of messages, bytes to the target are passed on as they are. Bytes from the
// target come in frames, so that the end of an answer differs from the loss of the router on the way.
package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/feedpb"
)

const (
	// handshakeTimeout bounds the first exchange of messages, the connection to the target included.
	handshakeTimeout = 400 * time.Millisecond
	// maxMessage is the largest message of that exchange in bytes.
	maxMessage = 4 << 10
	// frameHeader is the length in bytes of a frame's kind and of the length of its data.
	frameHeader = 3
	// maxFrameData is the largest number of bytes in one frame.
	maxFrameData = 32 << 10
	// readBuffer is the size in bytes of the buffer in which frames are received.
	readBuffer = 4 << 10
)

// keepAlive finds out that the other router is gone while no request is under way.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Kinds of frames.
const (
	// frameData has bytes of the target.
	frameData = iota
	// frameEnd says that the target has ended its connection.
	frameEnd
	// frameLeaving says that the router is stopping, and that the connection is to carry no other request.
	frameLeaving
)

// Request is a request for a connection to one instance of a target.
type Request struct {
	// Router is the router that asks, and Connection identifies the connection in the logs of both.
	Router, Connection string
	Service, Target    string
	// StartUnixMilli is zero if instances of the target can't be told apart.
	StartUnixMilli int64
}

// Errors of Dial that are about the other router and not about the target.
var (
	// ErrRouterUnreached says that there was no answer from the other router.
	ErrRouterUnreached = errors.New("relay: the router can't be reached")
	// ErrUnavailable says that the other router passes on nothing now.
	ErrUnavailable = errors.New("relay: the router passes on nothing now")
)

// ErrTargetUnreached says that the other router does not reach the target either.
var ErrTargetUnreached = errors.New("relay: the router doesn't reach the target")

// Dial opens a connection to a target through the router at an address. The error wraps
// syscall.ECONNREFUSED if nothing listens at the target's address.
func Dial(ctx context.Context, address string, r *Request) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrRouterUnreached, err.Error())
	}
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	c := &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), ID: r.Connection}
	hello := &feedpb.Hello{Router: r.Router, Relay: &feedpb.RelayRequest{
		Instance: &feedpb.Instance{Target: r.Target, Born: r.StartUnixMilli}, Service: r.Service, Connection: r.Connection,
	}}
	reply := &feedpb.RelayReply{}
	if _, err = protodelim.MarshalTo(raw, hello); err == nil {
		err = protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(c.reader, reply)
	}
	if err == nil {
		err = errorOf(reply)
	} else {
		err = errors.Wrap(ErrRouterUnreached, err.Error())
	}
	if err == nil {
		return c, nil
	}
	raw.Close()
	return nil, err
}

// errorOf returns the error that a reply stands for; nil if the connection is open.
func errorOf(reply *feedpb.RelayReply) error {
	switch reply.GetResult() {
	case feedpb.RelayReply_OPENED:
		return nil
	case feedpb.RelayReply_REFUSED:
		return errors.Wrap(syscall.ECONNREFUSED, reply.GetDetail())
	case feedpb.RelayReply_UNAVAILABLE:
		return errors.Wrap(ErrUnavailable, reply.GetDetail())
	default:
		return errors.Wrap(ErrTargetUnreached, reply.GetDetail())
	}
}

// Conn is a connection to a target through another router. Reads are not safe for concurrent use.
type Conn struct {
	net.Conn
	// ID identifies the connection in the logs of both routers.
	ID     string
	reader *bufio.Reader
	// left is how many bytes of the current frame have not been read.
	left int
	// ended is set once the target has ended its connection, and leaving once the router is stopping.
	ended, leaving bool
}

// Read implements net.Conn. It returns io.EOF only if the target has ended its connection.
func (c *Conn) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, lostInsteadOfEOF(err)
}

// nextFrame reads the header of the next frame. A deadline that passes meanwhile loses nothing.
func (c *Conn) nextFrame() error {
	header, err := c.reader.Peek(frameHeader)
	if err != nil {
		return lostInsteadOfEOF(err)
	}
	kind, length := header[0], int(binary.BigEndian.Uint16(header[1:]))
	if _, err := c.reader.Discard(frameHeader); err != nil {
		return err
	}
	switch kind {
	case frameData:
		c.left = length
	case frameEnd:
		c.ended = true
	case frameLeaving:
		c.leaving = true
	default:
		return errors.Errorf("relay: a frame of unknown kind %d", kind)
	}
	return nil
}

// lostInsteadOfEOF replaces io.EOF, which readers take for the end of the target's connection.
func lostInsteadOfEOF(err error) error {
	if err == io.EOF {
		return errors.Wrap(io.ErrUnexpectedEOF, "relay: the router ended the connection")
	}
	return err
}

// SyscallConn implements syscall.Conn, for checks whether an idle connection can be used again.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("relay: the connection has no socket")
	}
	sock, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &idleSocket{sock, c}, nil
}

// idleSocket is the socket of a connection, which can be looked at only while the connection may carry
// another request.
type idleSocket struct {
	syscall.RawConn
	conn *Conn
}

// Control implements syscall.RawConn.
func (s *idleSocket) Control(f func(fd uintptr)) error {
	c := s.conn
	if c.left > 0 || c.ended || c.leaving || c.reader.Buffered() > 0 {
		return os.ErrClosed
	}
	return s.RawConn.Control(f)
}

// writeMessage writes a message with its length before it.
func writeMessage(conn net.Conn, m proto.Message) error {
	if err := conn.SetWriteDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(conn, m); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}
