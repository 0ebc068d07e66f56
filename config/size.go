package config

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Size is a number of bytes, written with a unit: B, KiB, MiB or GiB.
type Size int64

// sizeUnits are the units, largest first. B is last because the names of the others end with
// it.
var sizeUnits = []struct {
	name  string
	bytes Size
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// ParseSize reads a whole number with a unit, for instance 64KiB.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 63)
		if err != nil || n > uint64(math.MaxInt64/unit.bytes) {
			break
		}
		return Size(n) * unit.bytes, nil
	}
	return 0, errors.Errorf("%q is not a size", text)
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s != 0 && s%unit.bytes == 0 {
			return strconv.FormatInt(int64(s/unit.bytes), 10) + unit.name
		}
	}
	return "0B"
}
