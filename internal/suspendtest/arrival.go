package suspendtest

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"tarragongw/clock"
)

const (
	// clockReadingTime is how long reading the two clocks may take.
	clockReadingTime = 500 * time.Microsecond
	// timestampsTimeout is how long the kernel may take to start recording timestamps.
	timestampsTimeout = 10 * time.Second
)

// wallOffset returns the wall clock's time minus that of clock.Boot, or up to clockReadingTime
// less. Only a step of the wall clock changes it.
func wallOffset() time.Duration {
	for {
		before := clock.Boot{}.Now()
		wall := time.Duration(time.Now().UnixNano())
		if after := (clock.Boot{}).Now(); after-before <= clockReadingTime {
			return wall - after
		}
	}
}

// arrivalTime returns the time of clock.Boot at which the kernel received the message's last
// bytes, or up to clockReadingTime later. The kernel dates them by the wall clock: a step since its
// offset was initialOffset is an error, because it would make late messages look timely.
func arrivalTime(message *http.Request, initialOffset time.Duration) (time.Duration, error) {
	conn, ok := message.Context().Value(connKey{}).(*timestampConn)
	if !ok {
		return 0, errors.New("suspendtest: the connection records no timestamps")
	}
	at := conn.lastTimestamp.Load()
	if at == 0 {
		return 0, errors.New("suspendtest: the message has no timestamp")
	}
	offset := wallOffset()
	if (offset - initialOffset).Abs() > clockReadingTime {
		return 0, errors.Errorf("suspendtest: the wall clock was stepped by %v during the test", offset-initialOffset)
	}
	return time.Duration(at) - offset, nil
}

// connKey is the key of the connection in the context of a message.
type connKey struct{}

// withConn stores the raw connection, which is below TLS.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// timestampListener accepts TCP connections for whose bytes the kernel records timestamps.
type timestampListener struct{ net.Listener }

// listenWithTimestamps listens on the loopback interface.
func listenWithTimestamps() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, sock syscall.RawConn) error {
		// Accepted connections inherit the option, so that it covers bytes that arrive earlier.
		var optErr error
		err := sock.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "suspendtest: listen")
	}
	listener := timestampListener{l}
	if err := listener.awaitTimestamps(); err != nil {
		l.Close()
		return nil, err
	}
	return listener, nil
}

// Accept implements net.Listener.
func (l timestampListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sock, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "suspendtest: accept")
	}
	return &timestampConn{Conn: conn, sock: sock}, nil
}

// awaitTimestamps waits until the kernel records timestamps, which it starts to do some time after
// the first socket asks for them.
func (l timestampListener) awaitTimestamps() error {
	for start := time.Now(); time.Since(start) < timestampsTimeout; time.Sleep(time.Millisecond) {
		if recorded, err := l.recordsTimestamps(); err != nil || recorded {
			return err
		}
	}
	return errors.New("suspendtest: the kernel records no timestamps")
}

// recordsTimestamps reports whether a byte that is sent to the listener gets a timestamp.
func (l timestampListener) recordsTimestamps() (bool, error) {
	sender, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return false, errors.Wrap(err, "suspendtest: connect")
	}
	defer sender.Close()
	receiver, err := l.Accept()
	if err != nil {
		return false, errors.Wrap(err, "suspendtest: accept")
	}
	defer receiver.Close()
	b := make([]byte, 1)
	if _, err := sender.Write(b); err != nil {
		return false, errors.Wrap(err, "suspendtest: send a byte")
	}
	if _, err := receiver.Read(b); err != nil {
		return false, errors.Wrap(err, "suspendtest: receive a byte")
	}
	return receiver.(*timestampConn).lastTimestamp.Load() != 0, nil
}

// timestampConn is a TCP connection that knows when the kernel received the bytes that were read.
type timestampConn struct {
	net.Conn
	sock syscall.RawConn
	// lastTimestamp is the wall clock's time, in Unix nanoseconds, at which the kernel received the
	// last bytes of the last read; 0 means that it recorded none.
	lastTimestamp atomic.Int64
}

// Read implements net.Conn.
func (c *timestampConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	var (
		n       int
		readErr error
	)
	err := c.sock.Read(func(fd uintptr) bool {
		n, readErr = c.receive(int(fd), b)
		return readErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads from the socket and records the timestamp.
func (c *timestampConn) receive(fd int, b []byte) (int, error) {
	control := make([]byte, unix.CmsgSpace(int(unsafe.Sizeof(unix.Timespec{}))))
	for {
		n, controlBytes, _, _, err := unix.Recvmsg(fd, b, control, unix.MSG_DONTWAIT)
		if err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return 0, err
		}
		at, err := timestamp(control[:controlBytes])
		c.lastTimestamp.Store(at)
		return n, err
	}
}

// timestamp returns the timestamp among control messages, in Unix nanoseconds, or 0 if there is none.
func timestamp(control []byte) (int64, error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0, errors.Wrap(err, "suspendtest: control messages")
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS {
			continue
		}
		if len(m.Data) != int(unsafe.Sizeof(unix.Timespec{})) {
			return 0, errors.Errorf("suspendtest: a timestamp of %d bytes", len(m.Data))
		}
		return (*unix.Timespec)(unsafe.Pointer(&m.Data[0])).Nano(), nil
	}
	return 0, nil
}
