//go:build amd64 || arm64

package leasewrite

import (
	"io"
	"math"
	"math/bits"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// libcTunables is the environment variable, and noLibcArea its value, that keep glibc from
// registering areas, as older versions and other C libraries do.
const (
	libcTunables = "GLIBC_TUNABLES"
	noLibcArea   = "glibc.pthread.rseq=0"
)

// Guards against a sequence that is protected only where the C library registers areas.
func TestSequenceWithoutTheCLibrary(t *testing.T) {
	if os.Getenv(libcTunables) == noLibcArea {
		t.Skip("this is the process without the C library's areas")
	}
	child := exec.Command(os.Args[0], "-test.v", "-test.count=1")
	child.Env = append(os.Environ(), libcTunables+"="+noLibcArea)
	out, err := child.CombinedOutput()
	assert.NilError(t, err, "%s", out)
}

// Guards against an assembler that encodes the sequence at another length than its descriptor says.
func TestLayoutMatchesTheDescriptor(t *testing.T) {
	assert.NilError(t, layoutError())
	for _, change := range []func(*sequenceLayout){
		func(l *sequenceLayout) { l.length++ },
		func(l *sequenceLayout) { l.length-- },
		func(l *sequenceLayout) { l.abort = unsafe.Add(l.abort, 1) },
	} {
		wrong := *descriptor()
		change(&wrong)
		assert.Assert(t, wrong.check() != nil, "%+v", wrong)
	}
}

// Guards against a write that goes by a clock reading from before a suspension.
func TestOldClockReadingSendsNothing(t *testing.T) {
	near, far, sock := tcpPair(t)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	a := acquireArea()
	defer a.release()
	b := []byte("late")
	err := sock.Control(func(fd uintptr) {
		since := ticks()
		time.Sleep(2 * maxClockAge)
		// The bound in ticks may be a fraction of maxClockAge, never more.
		n := sendIfRecent(a.armed(), fd, &b[0], len(b), since, ticksPerClockAge())
		assert.Equal(t, n, int64(resultInterrupted))
	})
	assert.NilError(t, err)
	near.Close()
	got, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "")
}

// Guards against a send that is repeated after an interruption although its bytes have been sent.
func TestInterruptedSequenceIsRestarted(t *testing.T) {
	assert.NilError(t, Check())
	near, far, sock := tcpPair(t)
	received := make(chan int64, 1)
	go func() {
		n, err := io.Copy(io.Discard, far)
		assert.Check(t, err)
		received <- n
	}()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	stop := interruptThread(t, unix.Gettid())
	defer stop()

	before, sent := Count().Restarted, 0
	expiry := until(fromNow(time.Minute))
	for Count().Restarted < before+minRestarts && sent < maxInterruptedSends {
		n, err := Write(sock, []byte{1}, expiry)
		assert.NilError(t, err)
		sent += n
	}
	near.Close()
	assert.Equal(t, <-received, int64(sent))
	assert.Assert(t, Count().Restarted >= before+minRestarts, "%d restarts in %d sends", Count().Restarted-before, sent)
}

const (
	minRestarts         = 100
	maxInterruptedSends = 1_000_000
)

// Guards against a sequence that is never armed, which the age of the clock reading would hide.
func TestKernelRestartsTheSequenceWhateverTheAge(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	a := acquireArea()
	defer a.release()
	assert.NilError(t, a.err)
	stop := interruptThread(t, unix.Gettid())
	defer stop()
	b, calls := []byte{1}, 0
	for end := time.Now().Add(interruptionTimeout); time.Now().Before(end); {
		for range 1000 {
			calls++
			if n := sendIfRecent(a.armed(), ^uintptr(0), &b[0], len(b), 0, math.MaxUint64); n == resultInterrupted {
				t.Logf("interrupted after %d calls", calls)
				return
			}
		}
	}
	t.Fatalf("no interruption noticed in %d calls", calls)
}

// interruptionTimeout is how long an interruption within the sequence may take to occur.
const interruptionTimeout = 20 * time.Second

// maxInterruptPause bounds the random pauses between interruptions.
const maxInterruptPause = 20 * time.Microsecond

// interruptThread interrupts the thread until stop is called: another thread wakes up on its processor and sends it the
// signal by which the runtime interrupts threads. A signal from another processor hardly ever arrives within the sequence.
func interruptThread(t *testing.T, thread int) (stop func()) {
	var all, one unix.CPUSet
	assert.NilError(t, unix.SchedGetaffinity(thread, &all))
	for cpu := range len(all) * bits.UintSize {
		if all.IsSet(cpu) {
			one.Zero()
			one.Set(cpu)
		}
	}
	assert.NilError(t, unix.SchedSetaffinity(thread, &one))
	var stopped atomic.Bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runtime.LockOSThread() // the thread ends with the goroutine
		assert.Check(t, unix.SchedSetaffinity(0, &one))
		assert.Check(t, unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)) // nanosecond
		for !stopped.Load() {
			assert.Check(t, unix.Tgkill(unix.Getpid(), thread, unix.SIGURG))
			pause := unix.NsecToTimespec(rand.Int64N(int64(maxInterruptPause)))
			_ = unix.Nanosleep(&pause, nil) // a signal may end it
		}
	}()
	return func() {
		stopped.Store(true)
		<-ended
		assert.Check(t, unix.SchedSetaffinity(thread, &all))
	}
}

// Guards against writes that fail, or count as protected, where other code has registered an area.
func TestWritesGoOnWithoutAnArea(t *testing.T) {
	near, far, sock := tcpPair(t)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	other := acquireArea()
	defer other.release()
	if other.fromLibc != nil {
		t.Skip("the C library has registered an area, which Write uses; TestSequenceWithoutTheCLibrary runs this test without it")
	}
	assert.NilError(t, other.err)
	assert.ErrorContains(t, Check(), unix.EINVAL.Error())
	before := Count()
	_, err := Write(sock, []byte("x"), until(fromNow(time.Minute)))
	assert.NilError(t, err)
	_, err = Write(sock, []byte("x"), until(fromNow(0)))
	assert.ErrorIs(t, err, ErrExpired)
	after := Count()
	assert.Equal(t, after.Unprotected-before.Unprotected, int64(1))
	assert.Equal(t, after.Protected, before.Protected)
	near.Close()
	got, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
}
