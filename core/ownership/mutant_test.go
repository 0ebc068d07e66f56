package ownership_test

import (
	"testing"

	"pgregory.net/rapid"

	"tarragongw/core/ownership"
)

// TestMutantsAreCaught disables one rule at a time. The histories that the complete code
// passes must then show a violation within the given number of histories.
func TestMutantsAreCaught(t *testing.T) {
	const histories = 400
	mutants := map[string]ownership.Omitted{
		"no wait-out":                   ownership.OmitWaitOut,
		"no term check":                 ownership.OmitTermCheck,
		"lost reply not read back":      ownership.OmitReadBack,
		"act on expired authority":      ownership.OmitValidity,
		"renew after release":           ownership.OmitRelease,
		"no confirmation before a move": ownership.OmitConfirm,
		"store extends in promise mode": ownership.OmitPromiseMode,
		"no wait for former grantors":   ownership.OmitFormers,
	}
	for name, rule := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gen := rapid.Custom(func(t *rapid.T) []string { return generatedHistory(t, rule).Violations })
			for seed := range histories {
				if v := gen.Example(seed); len(v) > 0 {
					t.Logf("history %d: %s", seed, v[0])
					return
				}
			}
			t.Errorf("not caught in %d histories", histories)
		})
	}
}
