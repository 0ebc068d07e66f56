package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/internal/pages"
)

// Every command and flag of this binary that a documentation page mentions must exist.
func TestCommandsNamedOnPagesExist(t *testing.T) {
	checked, err := pages.CheckAll("../..", "tarragongw", newCommand)
	assert.NilError(t, err)
	assert.Assert(t, checked > 2, "only %d command lines were found", checked)
}
