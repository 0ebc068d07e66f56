package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a quantile of the runs' times that follows a few runs, or that doesn't follow the work when it shifts.
func TestWorkTimeIsAQuantileOfManyRuns(t *testing.T) {
	s := newService(target("a", "here"))
	assert.Equal(t, s.WorkTime(0.99), time.Duration(0))
	random := rand.New(rand.NewPCG(1, 1))
	run := func(mean float64, n int) {
		for range n {
			s.targetByID["a"].inFlight++
			s.Done(start, "a", Answered, time.Duration(mean*random.ExpFloat64()*float64(time.Second)), 1)
		}
	}
	near := func(mean float64) {
		t.Helper()
		want := mean * -math.Log(0.01)
		got := s.WorkTime(0.99).Seconds()
		assert.Assert(t, got > want*0.85 && got < want*1.3, "%v, want %v", got, want)
	}
	run(0.1, 4000)
	near(0.1)
	run(0.8, 40000)
	near(0.8)
}
