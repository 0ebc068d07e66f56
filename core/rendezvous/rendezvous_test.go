package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("router-%03d", i)
	}
	return out
}

func TestTopDoesNotDependOnTheOrderOfNames(t *testing.T) {
	all := names(50)
	reversed := names(50)
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	assert.DeepEqual(t, Top("watch", 3, all), Top("watch", 3, reversed))
	assert.Equal(t, len(Top("watch", 3, all[:2])), 2)
}

func TestLossMovesOnlyTheDutiesOfTheLostMember(t *testing.T) {
	all := names(50)
	for d := range 200 {
		duty := fmt.Sprint("duty-", d)
		before := Top(duty, 2, all)
		remaining := make([]string, 0, 49)
		for _, n := range all {
			if n != before[0] {
				remaining = append(remaining, n)
			}
		}
		assert.Equal(t, Top(duty, 1, remaining)[0], before[1], duty)
	}
}

func TestDutiesAreSpread(t *testing.T) {
	all := names(20)
	held := map[string]int{}
	for d := range 2000 {
		held[Top(fmt.Sprint("duty-", d), 1, all)[0]]++
	}
	for _, n := range all {
		assert.Assert(t, held[n] > 60 && held[n] < 140, "%s holds %d of an expected 100", n, held[n])
	}
}
