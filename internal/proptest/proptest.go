// Package proptest runs the property-based tests of a package with a fixed seed, so that
// each run generates the same cases.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of a package's TestMain. The flag -rapid.seed overrides the seed. Main
// panics if the package's tests do not use rapid.
func Main(m *testing.M, seed string) {
	// m.Run parses the command line afterwards, so its flags override these values.
	setFlag("rapid.seed", seed)
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
