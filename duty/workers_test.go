package duty

import (
	"context"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// bubbleOf finds the synctest bubble in the first line of a goroutine's stack.
var bubbleOf = regexp.MustCompile(`^goroutine .*(synctest bubble \d+)\]:`)

// workersAt counts the goroutines of the test's own bubble that are at work or wait for
// it. Outside it the routers of earlier tests may still be ending theirs.
func workersAt(t *testing.T) int {
	t.Helper()
	const enough = 1 << 20
	buffer := make([]byte, enough)
	n := runtime.Stack(buffer, true)
	assert.Assert(t, n < enough)
	stacks := strings.Split(string(buffer[:n]), "\n\n")
	own := bubbleOf.FindStringSubmatch(stacks[0])
	assert.Assert(t, own != nil, "not in a bubble: %s", stacks[0])
	count := 0
	for _, stack := range stacks {
		bubble := bubbleOf.FindStringSubmatch(stack)
		if bubble != nil && bubble[1] == own[1] && strings.Contains(stack, "duty.(*Workers).work(") {
			count++
		}
	}
	return count
}

func TestWorkersRunAllAtOnceAndKeepFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := NewWorkers(ctx)
		for range 3 {
			var all sync.WaitGroup
			release := make(chan struct{})
			// Were one to wait for another, this would deadlock.
			for range 3 * maxIdleWorkers {
				all.Add(1)
				w.Run(func() {
					all.Done()
					<-release
				})
			}
			all.Wait()
			close(release)
			synctest.Wait()
			assert.Equal(t, w.idle.Load(), int32(maxIdleWorkers))
			assert.Equal(t, workersAt(t), maxIdleWorkers)
		}
		cancel()
		synctest.Wait()
		assert.Equal(t, workersAt(t), 0)
		// The duties' last messages come after the end of the router.
		ran := false
		w.Run(func() { ran = true })
		synctest.Wait()
		assert.Assert(t, ran)
	})
}
