package main

import (
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// onCores calls start such that processes that it starts share the first n of the cores that this process may use; zero for all.
func onCores(t *testing.T, n int, start func()) {
	t.Helper()
	if n == 0 {
		start()
		return
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, some unix.CPUSet
	assert.NilError(t, unix.SchedGetaffinity(0, &all))
	for core := 0; some.Count() < min(n, all.Count()); core++ {
		if all.IsSet(core) {
			some.Set(core)
		}
	}
	assert.NilError(t, unix.SchedSetaffinity(0, &some))
	start()
	assert.NilError(t, unix.SchedSetaffinity(0, &all))
}
