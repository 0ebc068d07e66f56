package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"tarragongw/internal/pages"
)

// Every command and flag that a page of the documentation names must exist in this binary.
func TestCommandsNamedOnPagesExist(t *testing.T) {
	checked, err := pages.CheckAll("../..", "tarragonctl", newCommand)
	assert.NilError(t, err)
	assert.Assert(t, checked > 2, "only %d command lines were found", checked)
}
