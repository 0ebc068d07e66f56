package target

// Digest returns the checksum of a set of grants, which doesn't depend on their order. It is
// the sum, modulo 2^64, of one 64-bit FNV-1a hash per grant over the unit's name, a zero byte
// and the token's eight bytes, least significant byte first.
func Digest(units []UnitGrant) uint64 {
	var sum uint64
	for i := range units {
		sum += DigestOf(units[i])
	}
	return sum
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// DigestOf returns the summand of one grant in Digest, so that a digest can be updated
// incrementally by adding and subtracting.
func DigestOf(g UnitGrant) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(g.Unit); i++ {
		h = (h ^ uint64(g.Unit[i])) * fnvPrime
	}
	h *= fnvPrime // the zero byte
	for shift := 0; shift < 64; shift += 8 {
		h = (h ^ (g.Token >> shift & 0xff)) * fnvPrime
	}
	return h
}
