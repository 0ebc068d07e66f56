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
	// packFrom is the length in bytes from which an update is deflated.
	packFrom = 2 << 10
	// frameLife is for how long followers that know the same are sent the same frame. The
	// times in it count from when it was made.
	frameLife = HeartbeatEvery
	// chunk is how many bytes are written at a time, each within writeTimeout.
	chunk = 16 << 10
	// frameTimeout bounds the way of a whole frame.
	frameTimeout = 2 * time.Second
)

// frame is an update without its beat, as it is sent.
type frame struct {
	data  []byte
	after sentState
	made  time.Time
}

// newFrame encodes an update after which a follower is in the state, packed if it is long and
// the follower unpacks.
func newFrame(u *feedpb.Update, after sentState, unpacks bool, now time.Time) (*frame, error) {
	data, err := proto.Marshal(u)
	if err != nil {
		return nil, errors.Wrap(err, "encode an update")
	}
	if unpacks && len(data) >= packFrom {
		packed, err := deflateAll(data)
		if err != nil {
			return nil, err
		}
		if data, err = proto.Marshal(&feedpb.Update{Packed: packed}); err != nil {
			return nil, errors.Wrap(err, "encode a packed update")
		}
	}
	return &frame{data: data, after: after, made: now}, nil
}

// withBeat returns the frame's bytes with their length in front and the beat behind:
// fields of one message may be encoded one after the other.
func (f *frame) withBeat(beat uint64) ([]byte, error) {
	tail, err := proto.Marshal(&feedpb.Update{Beat: beat})
	if err != nil {
		return nil, errors.Wrap(err, "encode a beat")
	}
	sent := protowire.AppendVarint(make([]byte, 0, len(f.data)+len(tail)+protowire.SizeVarint(maxFrame)), uint64(len(f.data)+len(tail)))
	return append(append(sent, f.data...), tail...), nil
}

// unpack returns the update that a received one stands for.
func unpack(u *feedpb.Update) (*feedpb.Update, error) {
	if len(u.GetPacked()) == 0 {
		return u, nil
	}
	data, err := inflateAll(u.GetPacked(), maxFrame)
	if err != nil {
		return nil, err
	}
	whole := &feedpb.Update{}
	if err := proto.Unmarshal(data, whole); err != nil {
		return nil, errors.Wrap(err, "decode a packed update")
	}
	whole.Beat = u.GetBeat()
	return whole, nil
}

// writeAll writes chunk by chunk, so that a long frame on a busy link is given as much time
// as it makes progress, up to frameTimeout.
func writeAll(conn net.Conn, data []byte) error {
	end := time.Now().Add(frameTimeout)
	for len(data) > 0 {
		due := time.Now().Add(writeTimeout)
		if due.After(end) {
			due = end
		}
		if err := conn.SetWriteDeadline(due); err != nil {
			return errors.Wrap(err, "write to a router")
		}
		n, err := conn.Write(data[:min(len(data), chunk)])
		if err != nil {
			return errors.Wrap(err, "write to a router")
		}
		data = data[n:]
	}
	return nil
}

// chunkReader ends a connection on which nothing comes for the time of silence, and a frame
// that takes longer than frameTimeout.
type chunkReader struct {
	conn    net.Conn
	silence time.Duration
	// end bounds the frame that is being read; zero before its first bytes.
	end time.Time
}

// Read implements io.Reader.
func (r *chunkReader) Read(b []byte) (int, error) {
	due := time.Now().Add(r.silence)
	if !r.end.IsZero() && due.After(r.end) {
		due = r.end
	}
	if err := r.conn.SetReadDeadline(due); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if n > 0 && r.end.IsZero() {
		r.end = time.Now().Add(frameTimeout)
	}
	return n, err
}

// updateReader reads updates from a leader.
type updateReader struct {
	chunks *chunkReader
	buffer *bufio.Reader
}

func newUpdateReader(conn net.Conn) *updateReader {
	chunks := &chunkReader{conn: conn, silence: Silence}
	return &updateReader{chunks, bufio.NewReader(chunks)}
}

func (r *updateReader) next() (*feedpb.Update, error) {
	r.chunks.end = time.Time{}
	u := &feedpb.Update{}
	if err := unmarshalFrom(r.buffer, u); err != nil {
		return nil, errors.Wrap(err, "read from a router")
	}
	return unpack(u)
}
