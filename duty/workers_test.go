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

// bubblePattern matches the synctest bubble in the first line of a goroutine's stack.
var bubblePattern = regexp.MustCompile(`^goroutine .*(synctest bubble \d+)\]:`)

// runningWorkers counts the worker goroutines of the test's own bubble. Outside of it, routers
// of earlier tests may still be ending theirs.
func runningWorkers(t *testing.T) int {
	t.Helper()
	const maxStackBytes = 1 << 20
	buffer := make([]byte, maxStackBytes)
	n := runtime.Stack(buffer, true)
	assert.Assert(t, n < maxStackBytes)
	stacks := strings.Split(string(buffer[:n]), "\n\n")
	own := bubblePattern.FindStringSubmatch(stacks[0])
	assert.Assert(t, own != nil, "not in a bubble: %s", stacks[0])
	count := 0
	for _, stack := range stacks {
		bubble := bubblePattern.FindStringSubmatch(stack)
		if bubble != nil && bubble[1] == own[1] && strings.Contains(stack, "duty.(*Workers).work(") {
			count++
		}
	}
	return count
}

func TestWorkersRunJobsConcurrentlyAndKeepFewIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := NewWorkers(ctx)
		for range 3 {
			var started sync.WaitGroup
			release := make(chan struct{})
			// This would deadlock if one job waited for another.
			for range 3 * maxIdleWorkers {
				started.Add(1)
				w.Run(func() {
					started.Done()
					<-release
				})
			}
			started.Wait()
			close(release)
			synctest.Wait()
			assert.Equal(t, w.idle.Load(), int32(maxIdleWorkers))
			assert.Equal(t, runningWorkers(t), maxIdleWorkers)
		}
		cancel()
		synctest.Wait()
		assert.Equal(t, runningWorkers(t), 0)
		// The last messages of duties come after the lifetime of the router has ended.
		ran := false
		w.Run(func() { ran = true })
		synctest.Wait()
		assert.Assert(t, ran)
	})
}
