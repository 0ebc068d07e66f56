package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/platform"
	"tarragongw/platform/platformtest"
)

const splitConfig = `"routes":[
{"name":"read","host":"h.example","prefix":"/read/","route_type":"safe","timeout":"1000ms","target_latency":"400ms","traffic_split":[{"service":"any","weight":50},{"service":"other","weight":50}],"max_attempts":2}],
"services":[{"name":"any","max_connections":400},{"name":"other","max_connections":40}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}`

// pipeline sends requests at once over one connection and returns the statuses of their answers.
func (f *fleet) pipeline(g *Gateway, path string, n int) (statuses []int) {
	conn, err := net.Dial("tcp", g.callerListener.Addr().String())
	assert.NilError(f.t, err)
	defer conn.Close()
	var all strings.Builder
	for range n {
		fmt.Fprintf(&all, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n\r\n", path, host, platform.HeaderRequestID, f.newID(), platform.HeaderDeadline)
	}
	_, err = io.WriteString(conn, all.String())
	assert.NilError(f.t, err)
	assert.NilError(f.t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	in := bufio.NewReader(conn)
	for range n {
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(f.t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(f.t, err)
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}

// Guards against requests that move to another part of a split because the part for which they were drawn is short of room.
func TestSharesOfASplitHoldWhileAPartIsShortOfRoom(t *testing.T) {
	for name, atOnce := range map[string]int{"one after the other": 1, "pipelined": 7} {
		t.Run(name, func(t *testing.T) {
			short := platformtest.NewTarget("b", "other", "hall", false)
			short.Slots = 1
			short.SetServiceTime(150 * time.Millisecond)
			roomy := plainTarget("a")
			roomy.Slots = 100
			f := newFleet(t, 1, splitConfig, roomy, short)
			f.awaitTarget("a")
			f.awaitTarget("b")
			const rounds, callers = 4, 12
			var sending sync.WaitGroup
			for range callers {
				sending.Go(func() {
					for range rounds * 7 / atOnce {
						f.pipeline(f.gateways[0], "/read/1", atOnce)
					}
				})
			}
			sending.Wait()
			share := float64(len(roomy.Runs())) / (rounds * 7 * callers)
			assert.Assert(t, math.Abs(share-0.5) < 0.1, "the part with room has a share of %.2f", share)
		})
	}
}
