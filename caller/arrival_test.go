package caller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
	"tarragongw/core/request"
)

// Guards against requests that begin their time anew in their turn, after they have waited for those before them on their connection.
func TestRequestsKeepTheirTimeWhileTheyWaitForTheirTurn(t *testing.T) {
	const deadline, bound = time.Second, 1500 * time.Millisecond
	get := fmt.Sprintf("GET /faq/k/a HTTP/1.1\r\nHost: h\r\nX-Deadline: %d\r\n\r\n", deadline.Milliseconds())
	long := strings.Replace(get, "Host", "X-Fill: "+strings.Repeat("a", 2*kibibyte)+"\r\nHost", 1)
	post := strings.Replace(strings.Replace(get, "GET", "POST", 1), "Host", "Content-Length: 4\r\nHost", 1) + "body"
	atMostOnce := strings.Replace(get, "/a", "/a?repeat=at-most-once", 1)
	for name, texts := range map[string][]string{
		"beyond those that begin early":  {strings.Repeat(get, 8)},
		"beyond what is buffered":        {strings.Repeat(long, 2*pipelineBufferBytes/len(long))},
		"at most once":                   {get + atMostOnce + atMostOnce},
		"bodies":                         {post + post + get + post},
		"sent while the first is served": {post, get, post, get},
		"refused before their turn":      {get + strings.Repeat(strings.Replace(get, "/a", "/refused", 1), 3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			s := startServer(t, Config{MaxPipelined: 3}, func(_ http.ResponseWriter, r *http.Request, _ *request.Meta) *fault.Fault {
				if strings.HasSuffix(r.URL.Path, "/refused") && time.Since(began) < deadline/2 {
					return fault.New(fault.QueueFull, "")
				}
				<-r.Context().Done()
				return fault.New(fault.DeadlineExceeded, "")
			})
			p := dialPipelining(t, s)
			sent, n := time.Now(), 0
			for _, text := range texts {
				p.send(text)
				n += strings.Count(text, "Host: h")
				time.Sleep(10 * time.Millisecond)
			}
			for i := range n {
				status, _ := p.answer()
				assert.Assert(t, status == http.StatusGatewayTimeout || status == http.StatusServiceUnavailable, "%d", status)
				assert.Assert(t, time.Since(sent) < bound, "answer %d of %d came after %v", i+1, n, time.Since(sent))
			}
		})
	}
}

func TestReadBufferKnowsWhenBytesArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		b := &readBuffer{}
		for range 3 {
			b.add([]byte("abcd"), time.Now())
			time.Sleep(time.Second)
		}
		arrived := func(n int) time.Duration { return b.arrivalOf(n).Sub(began) }
		assert.Equal(t, arrived(4), time.Duration(0))
		assert.Equal(t, arrived(5), time.Second)
		dst := make([]byte, 6)
		assert.Equal(t, b.take(dst), 6)
		assert.Equal(t, string(dst)+string(b.unused()), "abcdababcdabcd"[:6]+"cdabcd")
		assert.Equal(t, b.ofOneRead(), 2)
		assert.Equal(t, arrived(2), time.Second)
		assert.Equal(t, arrived(3), 2*time.Second)
		assert.Equal(t, b.take(dst), 6)
		assert.Equal(t, len(b.unused()), 0)
		b.add([]byte("e"), time.Now())
		assert.Equal(t, arrived(1), 3*time.Second)
	})
}
