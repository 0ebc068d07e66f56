package suspendtest

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
)

// receive returns the counts of a receiver that stalls before it reads a message that was sent late
// by the given time.
func receive(t *testing.T, late time.Duration) (arrived, lateArrived int, err error) {
	var received Receiver
	until := clock.Boot{}.Now() - late
	server := received.NewServer(t, func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * wireDelay)
		received.Arrived(r, until)
	})
	server.Start()
	defer server.Close()
	resp, err := server.Client().Get(server.URL)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return received.counts()
}

// Guards against a busy machine that fails the tests because their receiver stalls.
func TestStallOfTheReceiverMakesNoMessageLate(t *testing.T) {
	arrived, late, err := receive(t, 0)
	assert.NilError(t, err)
	assert.Equal(t, arrived, 1)
	assert.Equal(t, late, 0)
}

// Guards against a receiver that takes a message that was sent late for one that was sent in time.
func TestMessageAfterItsRightIsLate(t *testing.T) {
	_, late, err := receive(t, wireDelay+time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, late, 1)
}

// Guards against a receiver that counts a message as sent in time without knowing when it arrived.
func TestMessageWithoutATimeOfArrivalIsAnError(t *testing.T) {
	dated := new(timestampConn)
	dated.lastTimestamp.Store(time.Now().UnixNano())
	for want, c := range map[string]struct {
		conn net.Conn
		step time.Duration
	}{
		"the connection records no timestamps": {new(net.TCPConn), 0},
		"the message has no timestamp":         {new(timestampConn), 0},
		"the wall clock was stepped by":        {dated, 10 * time.Millisecond},
	} {
		received := Receiver{wallOffset: wallOffset() - c.step}
		message, err := http.NewRequest(http.MethodGet, "http://target/", nil)
		assert.NilError(t, err)
		received.Arrived(message.WithContext(withConn(message.Context(), c.conn)), clock.Boot{}.Now())
		_, _, err = received.counts()
		assert.ErrorContains(t, err, want)
	}
}
