package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/fault"
)

// runQueueing simulates a target that queues the requests above its slots, so that
// latency grows in proportion. Over the second half of the rounds it returns the range of
// the limit without the reduction by probes, and the mean limit with it.
func runQueueing(l *Limiter, slots int, service time.Duration, rounds int) (low, high, mean float64) {
	low = 1000
	for i := range rounds {
		n := l.Limit()
		latency := service * time.Duration(max(n, slots)) / time.Duration(slots)
		l.Finished(latency, n)
		if i >= rounds/2 {
			low, high = min(low, l.limit), max(high, l.limit)
			mean += float64(n) / float64(rounds-rounds/2)
		}
	}
	return low, high, mean
}

func TestLimitFindsUnknownSlots(t *testing.T) {
	for _, slots := range []float64{3, 6, 24} {
		l := NewLimiter(LimiterConfig{}, true)
		low, high, mean := runQueueing(l, int(slots), 10*time.Millisecond, 20000)
		assert.Assert(t, low >= slots*0.75, "%v slots: limit fell to %.1f", slots, low)
		assert.Assert(t, high <= slots*1.5+2, "%v slots: limit rose to %.1f", slots, high)
		assert.Assert(t, mean >= slots*0.9 && mean <= slots*1.5, "%v slots: mean limit %.1f", slots, mean)
	}
}

// With random service times the limit must also stay near the slots: a lucky window must
// not pull it down to the floor, and its own queue must not raise it to the cap.
func TestLimitFindsSlotsUnderRandomServiceTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	l := NewLimiter(LimiterConfig{}, true)
	const slots, rounds = 6, 60000
	sum := 0
	for i := range rounds {
		n := l.Limit()
		service := random.ExpFloat64() * 10e6 * float64(max(n, slots)) / slots
		l.Finished(time.Duration(service), n)
		if i >= rounds/2 {
			sum += n
		}
	}
	mean := float64(sum) / (rounds / 2)
	assert.Assert(t, mean > 0.75*slots && mean < 1.75*slots, "mean limit %.2f of %d slots", mean, slots)
}

// Guards against a limit far too high for a target that was cold at first: its first
// answers take 100 ms, later ones 10 ms, and the latency of the cold target must not
// remain the baseline.
func TestLimitRecoversFromColdStart(t *testing.T) {
	l := NewLimiter(LimiterConfig{}, true)
	for range 100 {
		l.Finished(100*time.Millisecond, l.Limit())
	}
	_, high, mean := runQueueing(l, 6, 10*time.Millisecond, 20000)
	assert.Assert(t, high <= 11 && mean <= 9, "limit up to %.1f, mean %.1f, of 6", high, mean)
}

func TestLimitStaysWithinBoundsAndGrowsOnlyWhenUsed(t *testing.T) {
	l := NewLimiter(LimiterConfig{Floor: 2, Cap: 5, Initial: 3}, true)
	for range 1000 {
		l.Finished(time.Millisecond, l.Limit())
	}
	assert.Equal(t, l.Limit(), 5)
	for i := range 100 {
		l.Shed(epoch.Add(time.Duration(i)*time.Second), time.Millisecond)
	}
	assert.Equal(t, l.Limit(), 2)
	for range 1000 {
		l.Finished(time.Millisecond, 1)
	}
	assert.Equal(t, l.Limit(), 2, "a limit that is not used does not grow")
}

// Guards against a limit that stays at the floor after a target became slower for good:
// if the baseline of 10 ms were only ever lowered and not measured again, each window at
// 40 ms would look overloaded.
func TestLimitRecoversAfterLastingSlowdown(t *testing.T) {
	l := NewLimiter(LimiterConfig{}, true)
	runQueueing(l, 6, 10*time.Millisecond, 5000)
	low, _, mean := runQueueing(l, 6, 40*time.Millisecond, 20000)
	assert.Assert(t, low >= 4.5 && mean >= 5.4, "limit is at least %.1f, mean %.1f, of 6", low, mean)
}

// Guards against a configured number of slots that is too high: a target with 3 slots
// whose settings say 6 would refuse half of its requests if its refusals did not lower
// the limit.
func TestRefusalsCorrectTooManyConfiguredSlots(t *testing.T) {
	g := New(Config{Slots: 6})
	now := epoch
	working := []ID{}
	shed, total := 0, 0
	for i := range 3000 {
		now = now.Add(3 * ms)
		if i%3 == 0 && len(working) > 0 {
			g.Done(now, working[0], Finished, 10*ms)
			working = working[1:]
		}
		id := ID(i + 1)
		if g.Offer(now, Item{ID: id, Deadline: now.Add(ms)}).Verdict != Admit {
			continue
		}
		total++
		if len(working) < 3 {
			working = append(working, id)
			continue
		}
		shed++
		g.Done(now, id, Shed, 0)
	}
	assert.Assert(t, total > 900, "%d admitted", total)
	assert.Assert(t, float64(shed) < 0.25*float64(total), "%d of %d shed", shed, total)
	assert.Equal(t, fault.TargetRefused.Row().Ran, fault.NotRun)
}
