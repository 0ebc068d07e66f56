package reqctx

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func newWithDeadline(left time.Duration) (*Context, time.Time) {
	c := New(context.Background())
	deadline := time.Now().Add(left)
	c.SetAnswerDeadline(deadline, left)
	return c, deadline
}

func TestContextEndsAtDeadline(t *testing.T) {
	c, deadline := newWithDeadline(time.Hour)
	defer c.End()
	child, cancel := context.WithCancel(c)
	defer cancel()
	got, ok := c.Deadline()
	assert.Assert(t, ok && got.Equal(deadline))
	assert.NilError(t, c.Err())
	c.Expire()
	<-child.Done()
	assert.Equal(t, c.Err(), context.DeadlineExceeded)
	assert.Equal(t, context.Cause(child), context.DeadlineExceeded)
	assert.Equal(t, context.Cause(c), context.DeadlineExceeded)
	assert.Assert(t, c.Expired())
}

func TestContextEndsByItsTimer(t *testing.T) {
	c, _ := newWithDeadline(time.Nanosecond)
	defer c.End()
	<-c.Done()
	assert.Assert(t, c.Expired())
}

// Guards against a long export that breaks off after the service's timeout: the deadline for
// the beginning of the answer must not end an answer that began in time and streams for
// longer.
func TestAnswerDeadlineIsRemovedOnceTheAnswerBegan(t *testing.T) {
	c, _ := newWithDeadline(time.Hour)
	defer c.End()
	c.AnswerBegan()
	c.Expire()
	assert.NilError(t, c.Err())
	_, ok := c.Deadline()
	assert.Assert(t, !ok)
}

func TestContextEndsWithItsParent(t *testing.T) {
	parent, cancel := context.WithCancel(context.Background())
	c := New(parent)
	defer c.End()
	cancel()
	<-c.Done()
	assert.Equal(t, c.Err(), context.Canceled)
	assert.Assert(t, !c.Expired())
}

func TestContextReturnsValuesOfItsParent(t *testing.T) {
	type key struct{}
	c := New(context.WithValue(context.Background(), key{}, 1))
	defer c.End()
	assert.Equal(t, c.Value(key{}), 1)
}

func TestListenersAreCalledOnceUnlessStopped(t *testing.T) {
	c := New(context.Background())
	called := make(chan string, 8)
	stops := map[string]func() bool{}
	for _, name := range []string{"a", "b", "c", "d"} {
		stops[name] = AfterFunc(c, func() { called <- name })
	}
	assert.Assert(t, stops["b"]())
	assert.Assert(t, !stops["b"](), "stopped twice")
	c.Cancel()
	c.Cancel()
	got := map[string]int{}
	for range 3 {
		got[<-called]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": 1, "c": 1, "d": 1})
	assert.Assert(t, !stops["a"](), "stopped after it was called")
	c.End()
	assert.Equal(t, len(called), 0)
}

func TestListenerOfAnEndedContextIsCalledAtOnce(t *testing.T) {
	c := New(context.Background())
	c.End()
	called := make(chan struct{})
	stop := AfterFunc(c, func() { close(called) })
	<-called
	assert.Assert(t, !stop())
	<-c.Done()
}

func TestCancelledChildContextIsUnregistered(t *testing.T) {
	c := New(context.Background())
	defer c.End()
	for range 10 {
		_, cancel := context.WithCancel(c)
		cancel()
	}
	assert.Equal(t, len(c.listeners), 0)
}

func TestAfterFuncOfOtherContexts(t *testing.T) {
	assert.Assert(t, AfterFunc(context.Background(), func() { t.Error("called") })())
	ctx, cancel := context.WithCancel(context.Background())
	called := make(chan struct{})
	AfterFunc(ctx, func() { close(called) })
	cancel()
	<-called
}

func TestAnswerThatHasBegunEndsAfterItsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(context.Background())
		defer c.End()
		c.LimitAnswer(time.Second)
		c.SetAnswerDeadline(time.Now().Add(time.Minute), time.Minute)
		c.AnswerBegan()
		time.Sleep(time.Minute + time.Second - time.Millisecond)
		assert.NilError(t, c.Err())
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, c.Err(), context.DeadlineExceeded)
	})
}
