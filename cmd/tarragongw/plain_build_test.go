package main

import (
	"flag"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// inPlainBuild runs a test whose own callers and targets move so many bytes that the race detector would make them late. With the
// race detector it runs the test in a build of this package without it, with the flags of this package that were given.
func inPlainBuild(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if !hasRaceDetector(t) {
		test(t)
		return
	}
	program := filepath.Join(t.TempDir(), "plain.test")
	out, err := exec.Command("go", "test", "-race=false", "-c", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	args := []string{"-test.v", "-test.run=^" + t.Name() + "$"}
	flag.Visit(func(f *flag.Flag) {
		if !strings.HasPrefix(f.Name, "test.") {
			args = append(args, "-"+f.Name+"="+f.Value.String())
		}
	})
	run := exec.CommandContext(t.Context(), program, args...)
	out, err = run.CombinedOutput()
	t.Logf("without the race detector:\n%s", out)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(out), "--- PASS: "+t.Name()+" "), "the test did not run")
}

// hasRaceDetector returns whether this program was built with the race detector.
func hasRaceDetector(t *testing.T) bool {
	t.Helper()
	build, ok := debug.ReadBuildInfo()
	assert.Assert(t, ok)
	return slices.Contains(build.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}
