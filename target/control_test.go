package target

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/clock"
	"tarragongw/core/fault"
	"tarragongw/internal/faulttest"
	"tarragongw/leasewrite"
)

func newControl(t *testing.T, response string) *Control {
	s := startTarget(t, respondAlways(response))
	c, err := NewControl(newPool(t, s.addr(), nil))
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func responseOf(status, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestGrantRepliesAreDecodedWhenAcceptedOrRefused(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict"} {
		c := newControl(t, responseOf(status, `{"accepted":false,"term":9,"cause":"term"}`))
		reply, err := c.Grant(background, &GrantBatch{Term: 8}, math.MaxInt64)
		assert.NilError(t, err)
		assert.DeepEqual(t, reply, &GrantReply{Term: 9, Cause: "term"})
	}
}

// Guards against a grant that a suspended router writes when it resumes, although other routers
// have waited until its grants expired and a silent target would accept it.
func TestGrantIsNotSentAfterItsDeadline(t *testing.T) {
	c := newControl(t, responseOf("200 OK", `{"accepted":true}`))
	_, err := c.Grant(background, &GrantBatch{Term: 8}, clock.Boot{}.Now())
	assert.Assert(t, leasewrite.IsLeaseError(err), "%v", err)
	faulttest.Is(t, err.(*fault.Fault), fault.StaleRoute, fault.NotRun)
	reply, err := c.Grant(background, &GrantBatch{Term: 8}, math.MaxInt64)
	assert.NilError(t, err)
	assert.Assert(t, reply.Accepted)
}

func TestInvalidControlRepliesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"status":    responseOf("500 No", `{"ready":true}`),
		"not JSON":  responseOf("200 OK", "ready"),
		"too large": responseOf("200 OK", `{"ready":true}`+strings.Repeat(" ", maxControlBytes)),
		"truncated": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n{\"ready\":true}\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			health, err := newControl(t, response).Probe(background)
			assert.Assert(t, health == nil)
			f, ok := err.(*fault.Fault)
			assert.Assert(t, ok, "%v", err)
			assert.Assert(t, f.Ran != fault.NotRun)
		})
	}
}

// Guards against a busy target losing its grants. If no connections were reserved for control,
// work could take all of them, and the grants would expire before they are renewed.
func TestFullPoolDoesNotDelayControl(t *testing.T) {
	s := startTarget(t, respondAlways(responseOf("200 OK", `{"ready":true}`)))
	p := newPool(t, s.addr(), func(cfg *PoolConfig) { cfg.MaxConns = 3 })
	c, err := NewControl(p)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	inUse, f := p.acquire(background, &acquireOptions{})
	assert.Assert(t, f == nil)
	_, f = p.acquire(background, &acquireOptions{})
	assert.Equal(t, f.Kind, fault.QueueFull)
	ctx, cancel := context.WithTimeout(background, 10*time.Second)
	defer cancel()
	health, err := c.Probe(ctx)
	assert.NilError(t, err)
	assert.Assert(t, health.Ready)
	p.release(inUse)
}

func TestRequestHeadersRoundTrip(t *testing.T) {
	h := http.Header{HeaderDeadline: {"1"}, HeaderUnit: {"forged"}}
	sent := RequestHeaders{RequestID: "a", Unit: "faq/1", Token: 1 << 63, Term: 7}
	sent.Set(h)
	got, err := ParseRequestHeaders(h)
	assert.NilError(t, err)
	assert.Equal(t, got, sent)
	sent.TimeLeft = 1500 * time.Microsecond
	sent.Set(h)
	got, err = ParseRequestHeaders(h)
	assert.NilError(t, err)
	assert.Equal(t, got.TimeLeft, 2*time.Millisecond)
	h.Set(HeaderToken, "-1")
	_, err = ParseRequestHeaders(h)
	assert.ErrorContains(t, err, HeaderToken)
}

func TestDigestDoesNotDependOnOrder(t *testing.T) {
	a, b := UnitGrant{Unit: "faq/1", Token: 1}, UnitGrant{Unit: "faq/2", Token: 1}
	assert.Equal(t, Digest([]UnitGrant{a, b}), Digest([]UnitGrant{b, a}))
	assert.Equal(t, Digest([]UnitGrant{a, b}), DigestOf(a)+DigestOf(b))
	assert.Assert(t, DigestOf(a) != DigestOf(b))
	assert.Assert(t, DigestOf(a) != DigestOf(UnitGrant{Unit: "faq/1", Token: 256}))
	assert.Equal(t, Digest(nil), uint64(0))
	// FNV-1a of a zero byte after the empty name and of the token's eight zero bytes.
	assert.Equal(t, DigestOf(UnitGrant{}), fnvOfZeroBytes(9))
}

func fnvOfZeroBytes(n int) uint64 {
	h := uint64(14695981039346656037)
	for range n {
		h *= 1099511628211
	}
	return h
}

// countedConn counts and records the writes of a connection.
type countedConn struct {
	net.Conn
	writes *atomic.Int32
	sent   *bytes.Buffer
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	c.sent.Write(b)
	return c.Conn.Write(b)
}

func TestRenewalIsOneWriteWithoutUserAgent(t *testing.T) {
	s := startTarget(t, respondAlways(responseOf("200 OK", `{"accepted":true,"term":8}`)))
	var writes atomic.Int32
	var sent bytes.Buffer
	p := newPool(t, s.addr(), func(cfg *PoolConfig) {
		cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			return &countedConn{Conn: c, writes: &writes, sent: &sent}, err
		}
	})
	c, err := NewControl(p)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	for range 2 {
		reply, err := c.Grant(background, &GrantBatch{Term: 8, Grantor: "r", Service: "faq"}, math.MaxInt64)
		assert.NilError(t, err)
		assert.Assert(t, reply.Accepted)
	}
	assert.Equal(t, writes.Load(), int32(2))
	assert.Assert(t, !strings.Contains(sent.String(), "User-Agent"), sent.String())
	assert.Equal(t, p.Stats().Open, 0, "control must use its own connections")
	assert.Equal(t, c.Stats().Open, 1)
}
