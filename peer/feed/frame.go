package feed

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"tarragongw/peer/feedpb"
)

const (
	// minPackedSize is the length in bytes from which an update is compressed.
	minPackedSize = 2 << 10
	// frameTTL is for how long a frame is reused for followers in the same state. Durations in
	// a frame count from when it was encoded, so an old one would be wrong.
	frameTTL = HeartbeatEvery
	// chunkSize is how many bytes are written at a time, each chunk within writeTimeout.
	chunkSize = 16 << 10
	// frameTimeout bounds writing or reading a whole frame.
	frameTimeout = 2 * time.Second
)

// frame is an encoded update without its heartbeat number.
type frame struct {
	data []byte
	// sizes are the bytes of data by part.
	sizes *partSizes
	// after is the state of a follower that has received the frame.
	after     sentState
	encodedAt time.Time
}

// newFrame encodes an update that brings a follower to the state after. The update is
// compressed ("packed") if it is long and the follower can unpack it.
func newFrame(u *feedpb.Update, after sentState, unpacks bool, now time.Time) (*frame, error) {
	data, err := proto.Marshal(u)
	if err != nil {
		return nil, errors.Wrap(err, "encode an update")
	}
	if unpacks && len(data) >= minPackedSize {
		packed, err := deflate(data)
		if err != nil {
			return nil, err
		}
		if data, err = proto.Marshal(&feedpb.Update{Packed: packed}); err != nil {
			return nil, errors.Wrap(err, "encode a packed update")
		}
	}
	return &frame{data: data, sizes: sizesOf(u, len(data)), after: after, encodedAt: now}, nil
}

// withHeartbeat returns the frame's bytes preceded by their length and followed by the
// heartbeat: concatenated encodings of a protobuf message are decoded as one message,
// so the rest of the frame can be shared.
func (f *frame) withHeartbeat(heartbeat *feedpb.Update) ([]byte, error) {
	tail, err := proto.Marshal(heartbeat)
	if err != nil {
		return nil, errors.Wrap(err, "encode a heartbeat")
	}
	framed := protowire.AppendVarint(make([]byte, 0, len(f.data)+len(tail)+protowire.SizeVarint(maxFrame)), uint64(len(f.data)+len(tail)))
	return append(append(framed, f.data...), tail...), nil
}

// unpack decompresses a packed update; it returns any other update unchanged.
func unpack(u *feedpb.Update) (*feedpb.Update, error) {
	if len(u.GetPacked()) == 0 {
		return u, nil
	}
	data, err := inflate(u.GetPacked(), maxFrame)
	if err != nil {
		return nil, err
	}
	unpacked := &feedpb.Update{}
	if err := proto.Unmarshal(data, unpacked); err != nil {
		return nil, errors.Wrap(err, "decode a packed update")
	}
	unpacked.Permits = u.GetPermits()
	unpacked.Beat, unpacked.SentMs, unpacked.ConfigConfirmedMs = u.GetBeat(), u.GetSentMs(), u.GetConfigConfirmedMs()
	return unpacked, nil
}

// writeInChunks writes chunk by chunk, so that a long frame on a busy link is written as long
// as it makes progress, up to frameTimeout.
func writeInChunks(conn net.Conn, data []byte) error {
	frameDeadline := time.Now().Add(frameTimeout)
	for len(data) > 0 {
		deadline := time.Now().Add(writeTimeout)
		if deadline.After(frameDeadline) {
			deadline = frameDeadline
		}
		if err := conn.SetWriteDeadline(deadline); err != nil {
			return errors.Wrap(err, "write to a router")
		}
		n, err := conn.Write(data[:min(len(data), chunkSize)])
		if err != nil {
			return errors.Wrap(err, "write to a router")
		}
		data = data[n:]
	}
	return nil
}

// chunkReader reads from a connection. A read fails if no bytes arrive within idleTimeout, or
// if the frame takes longer than frameTimeout.
type chunkReader struct {
	conn        net.Conn
	idleTimeout time.Duration
	// frameDeadline bounds the frame that is being read; zero before its first bytes.
	frameDeadline time.Time
}

// Read implements io.Reader.
func (r *chunkReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(r.idleTimeout)
	if !r.frameDeadline.IsZero() && deadline.After(r.frameDeadline) {
		deadline = r.frameDeadline
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if n > 0 && r.frameDeadline.IsZero() {
		r.frameDeadline = time.Now().Add(frameTimeout)
	}
	return n, err
}

// updateReader reads updates from a leader.
type updateReader struct {
	chunks *chunkReader
	buffer *bufio.Reader
}

func newUpdateReader(conn net.Conn) *updateReader {
	chunks := &chunkReader{conn: conn, idleTimeout: silenceTimeout}
	return &updateReader{chunks, bufio.NewReader(chunks)}
}

func (r *updateReader) next() (*feedpb.Update, error) {
	r.chunks.frameDeadline = time.Time{}
	u := &feedpb.Update{}
	if err := unmarshalFrom(r.buffer, u); err != nil {
		return nil, errors.Wrap(err, "read from a router")
	}
	return unpack(u)
}
