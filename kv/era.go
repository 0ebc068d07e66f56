package kv

// Era counts how often a store has come back from an older copy of itself. What was written
// since the copy is gone then, and revisions and leases are given out again. A store that does
// not count is always in era 0.
type Era uint32

const (
	// eraShift is how many bits of a Revision are the store's own number; the era stands above
	// them, so that no two eras share one and those of a later era are greater. JSON numbers
	// are exact up to as many bits.
	eraShift = 53
	// LastEra is the highest era that a Revision can have.
	LastEra Era = 1<<(64-eraShift) - 1
	// LastNumber is the highest number of a revision.
	LastNumber uint64 = 1<<eraShift - 1
)

// RevisionAt returns the revision of an era that the store itself calls number; neither may be
// beyond its last.
func RevisionAt(era Era, number uint64) Revision { return Revision(uint64(era)<<eraShift | number) }

// Era returns the era that the revision belongs to.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Number returns what the store itself calls the revision.
func (r Revision) Number() uint64 { return uint64(r) & LastNumber }

// LeaseID names a lease of a Ledger; the zero value is none.
type LeaseID struct {
	// Era is that in which the lease was taken; Number is the store's own name for it.
	Era    Era
	Number uint64
}
