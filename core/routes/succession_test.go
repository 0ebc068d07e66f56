package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a version far too high that keeps out all later ones, and against older ones that come back.
func TestLowerVersionReplacesOneFarTooHighAfterAWhile(t *testing.T) {
	const mistake = 0xfffffff0
	for name, c := range map[string]struct {
		versions []uint64 // one each second
		inForce  uint64
	}{
		"higher ones":                 {[]uint64{3, 5, 9}, 9},
		"older ones":                  {[]uint64{9, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5}, 9},
		"a mistake":                   {[]uint64{9, mistake, 12}, mistake},
		"a mistake that is mended":    {[]uint64{9, mistake, 12, 12, 12, 12, 12, 12, 12, 12, 12, 12, 12}, 12},
		"another one meanwhile":       {[]uint64{9, mistake, 12, 12, 12, 12, 12, 15, 15, 15, 15, 15, 15}, mistake},
		"the mistake once more":       {[]uint64{9, mistake, 12, 12, 12, 12, 12, mistake, 12, 12, 12, 12, 12}, mistake},
		"higher ones after a mistake": {[]uint64{9, mistake, mistake + 1, 12, 12, 12}, mistake + 1},
	} {
		t.Run(name, func(t *testing.T) {
			var s Succession
			var inForce *Config
			for i, version := range c.versions {
				next := &Config{Version: version}
				replaces, wait := s.Decide(time.Unix(int64(i), 0), inForce, next)
				assert.Assert(t, !replaces || wait == 0)
				if replaces {
					inForce = next
				}
			}
			assert.Equal(t, inForce.Version, c.inForce)
		})
	}
}
