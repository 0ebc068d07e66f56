package patch

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragongw/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "1") }

var text = strings.Repeat("0123456789", 7) + strings.Repeat("abcdefghijklm", 9) + strings.Repeat("nopqrstuvwxyz!", 8)

func TestPatchIsSmallAndRestoresTheValue(t *testing.T) {
	for _, tt := range []struct {
		name, base, next string
		maxLength        int
	}{
		{"both empty", "", "", 1},
		{"from nothing", "", text, len(text) + 4},
		{"to nothing", text, "", 1},
		{"the same", text, text, 6},
		{"changed in the middle", text, text[:100] + "?" + text[101:], 14},
		{"inserted", text, text[:150] + "new" + text[150:], 16},
		{"removed", text, text[:60] + text[90:], 12},
		{"halves swapped", text, text[150:] + text[:150], 13},
		{"nothing in common", text, strings.Repeat("#", 50), 54},
	} {
		p := Make([]byte(tt.base), []byte(tt.next))
		got, err := Apply([]byte(tt.base), p, len(tt.next))
		assert.NilError(t, err, tt.name)
		assert.Equal(t, string(got), tt.next, tt.name)
		assert.Assert(t, len(p) <= tt.maxLength, "%s: %d bytes", tt.name, len(p))
	}
	_, err := Apply([]byte(text), Make([]byte(text), []byte(text)), len(text)-1)
	assert.ErrorIs(t, err, ErrTooLarge)
}

// TestApplyUndoesMake checks that Apply returns the new value, whatever bytes were removed,
// moved, repeated and inserted.
func TestApplyUndoesMake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 90).Draw(t, "base"), rapid.IntRange(0, 5).Draw(t, "times"))
		next := slices.Clone(base)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			from := rapid.IntRange(0, len(next)).Draw(t, "from")
			to := rapid.IntRange(from, len(next)).Draw(t, "to")
			at := rapid.IntRange(0, len(next)).Draw(t, "at")
			piece := append(slices.Clone(next[from:to]), rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "new")...)
			next = slices.Insert(next, at, piece...)
		}
		got, err := Apply(base, Make(base, next), len(next))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, next))
	})
}

func FuzzApply(f *testing.F) {
	complete := Make([]byte(text), []byte(text[20:]+"tail"))
	f.Add(complete)
	f.Add(complete[:len(complete)-2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2})
	f.Add([]byte{9, 0, 0})
	f.Fuzz(func(t *testing.T, p []byte) {
		const limit = 1 << 12
		got, err := Apply([]byte(text), p, limit)
		assert.Assert(t, err != nil || len(got) <= limit)
	})
}
