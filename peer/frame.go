package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// lengthBytes is the size of the big-endian length in front of each message.
const lengthBytes = 4

// frameSlack is what a ControlFrame adds to its payload at most, its kind included.
const frameSlack = 256

// maxKind bounds the name of a control kind in bytes.
const maxKind = 128

// ErrFrameTooLarge means that a message exceeds the limit of its reader or writer.
var ErrFrameTooLarge = errors.New("peer: message exceeds the size limit")

// appendFrame appends the length-prefixed encoding of m to buf.
func appendFrame(buf []byte, m proto.Message, limit int) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, lengthBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	size := len(buf) - start - lengthBytes
	if size > limit {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// writeFrame writes m with one call of Write.
func writeFrame(w io.Writer, m proto.Message, limit int) error {
	buf, err := appendFrame(nil, m, limit)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return errors.WithStack(err)
}

// readFrame reads one message into m. It refuses a length above limit before it
// allocates, so that a broken or hostile peer cannot make it claim memory. At a
// clean end it returns io.EOF unwrapped.
func readFrame(r io.Reader, m proto.Message, limit int) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(limit) {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, limit)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return errors.WithStack(err)
	}
	return errors.WithStack(proto.Unmarshal(buf, m))
}
